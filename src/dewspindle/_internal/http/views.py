"""What operators are shown of the state."""

import json
from typing import Any

from ..cell.state import CellState
from ..cell.worker_table import WorkerInfo
from ..models.ids import make_task_id
from ..models.resources import Amounts
from ..models.tasks import FINAL_RECORD_STATES, get_record_state_name, get_task_state_name
from ..records.conversion import convert_document
from ..routing.directory import Backend, BackendDirectory
from ..scheduling.explain import explain_waiting
from ..schema import cell_pb2, peers_pb2


def show_amounts(amounts: Amounts) -> dict[str, int]:
    """Return amounts for an answer."""
    return {
        "processors": amounts.processors,
        "memory_mb": amounts.memory_mb,
        "accelerators": amounts.accelerators,
    }


def show_task(record: cell_pb2.Record, task: cell_pb2.Task) -> dict[str, Any]:
    """Return a task for an answer."""
    return {
        "id": make_task_id(record.id, task.index),
        "state": get_task_state_name(task.state),
        "worker": task.worker,
        "epoch": task.epoch,
        "attempts": task.attempts,
        "placed_ms": task.placed_ms,
        "started_ms": task.started_ms,
        "ended_ms": task.ended_ms,
        "reason": task.reason,
    }


def show_record_line(record: cell_pb2.Record) -> dict[str, Any]:
    """Return a record without its tasks for a list."""
    counts: dict[str, int] = {}
    for task in record.tasks:
        name = get_task_state_name(task.state)
        counts[name] = counts.get(name, 0) + 1
    return {
        "id": record.id,
        "revision": record.revision,
        "name": record.name,
        "team": record.team,
        "kind": record.kind,
        "priority": record.priority,
        "state": get_record_state_name(record.state),
        "code": record.code,
        "reason": record.reason,
        "tasks": counts,
        "submitted_ms": record.submitted_ms,
        "ended_ms": record.ended_ms,
    }


def show_record(record: cell_pb2.Record, *, schema_version: int) -> dict[str, Any]:
    """Return a record with its tasks and its document in a version of the schema."""
    shown = show_record_line(record)
    shown["tasks"] = [show_task(record, task) for task in record.tasks]
    shown["written_under"] = record.schema_version
    shown["document"] = convert_document(record, schema_version)
    return shown


def show_explanation(state: CellState, record: cell_pb2.Record) -> dict[str, Any]:
    """Return the decisions about a record, and why it waits."""
    is_open = record.state not in FINAL_RECORD_STATES
    return {
        "id": record.id,
        "state": get_record_state_name(record.state),
        "code": record.code,
        "reason": record.reason,
        "waits": explain_waiting(state, record) if is_open else "",
        "decisions": [
            {"revision": d.revision, "at_ms": d.at_ms, "what": d.what, "why": d.why}
            for d in record.history
        ],
    }


def show_worker(worker_info: WorkerInfo) -> dict[str, Any]:
    """Return a worker for an answer."""
    message = worker_info.message
    return {
        "id": message.id,
        "zone": message.zone,
        "rack": message.rack,
        "state": _get_worker_state(message),
        "capacity": show_amounts(worker_info.capacity),
        "free": show_amounts(worker_info.free),
        "tasks": len(worker_info.tasks),
        "failed_records": list(message.failed_records),
    }


def _get_worker_state(message: cell_pb2.Worker) -> str:
    if message.lost:
        return "lost"
    if message.quarantined:
        return "probing" if message.probing else "quarantined"
    return "ready"


def show_backend(directory: BackendDirectory, backend: Backend) -> dict[str, Any]:
    """Return a backend server for an answer."""
    document = backend.document
    return {
        "id": document.id,
        "service": document.service,
        "address": document.address,
        "availability_zone": document.availability_zone,
        "slots": document.slots,
        "connections": document.connections,
        "state": document.state,
        "ejected": directory.is_ejected(backend),
    }


def show_config(entry: cell_pb2.ConfigEntry) -> dict[str, Any]:
    """Return a configuration for an answer."""
    return {"name": entry.name, "revision": entry.revision, "value": json.loads(entry.value)}


def show_instance(status: peers_pb2.InstanceStatus) -> dict[str, Any]:
    """Return an instance for an answer."""
    return {
        "id": status.instance_id,
        "availability_zone": status.availability_zone,
        "revision": status.revision,
        "age_ms": status.age_ms,
        "ready": status.ready,
        "leader": status.leader,
        "replica": status.replica,
        "lag": status.lag,
        "version": status.version,
    }
