"""Conversion of the cell's state to JSON values for operators."""

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


def serialize_amounts(amounts: Amounts) -> dict[str, int]:
    """Return resource amounts as a JSON object."""
    return {
        "processors": amounts.processors,
        "memory_mb": amounts.memory_mb,
        "accelerators": amounts.accelerators,
    }


def serialize_task(record: cell_pb2.Record, task: cell_pb2.Task) -> dict[str, Any]:
    """Return a task as a JSON object."""
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


def serialize_record_summary(record: cell_pb2.Record) -> dict[str, Any]:
    """Return a record as a JSON object, with task counts by state."""
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


def serialize_record(record: cell_pb2.Record, *, schema_version: int) -> dict[str, Any]:
    """Return a record with its tasks, and its document in the given schema version."""
    serialized = serialize_record_summary(record)
    serialized["tasks"] = [serialize_task(record, task) for task in record.tasks]
    # `written_under` is the schema version in which the record is stored.
    serialized["written_under"] = record.schema_version
    serialized["document"] = convert_document(record, schema_version)
    return serialized


def serialize_explanation(state: CellState, record: cell_pb2.Record) -> dict[str, Any]:
    """Return the decisions about a record and the reason for which it waits."""
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


def serialize_worker(worker_info: WorkerInfo) -> dict[str, Any]:
    """Return a worker as a JSON object."""
    message = worker_info.message
    return {
        "id": message.id,
        "zone": message.zone,
        "rack": message.rack,
        "state": _get_worker_state(message),
        "capacity": serialize_amounts(worker_info.capacity),
        "free": serialize_amounts(worker_info.free),
        "tasks": len(worker_info.tasks),
        "failed_records": list(message.failed_records),
    }


def _get_worker_state(message: cell_pb2.Worker) -> str:
    if message.lost:
        return "lost"
    if message.quarantined:
        return "probing" if message.probing else "quarantined"
    return "ready"


def serialize_backend(directory: BackendDirectory, backend: Backend) -> dict[str, Any]:
    """Return a backend server as a JSON object."""
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


def serialize_config(entry: cell_pb2.ConfigEntry) -> dict[str, Any]:
    """Return a configuration as a JSON object."""
    return {"name": entry.name, "revision": entry.revision, "value": json.loads(entry.value)}


def serialize_instance(status: peers_pb2.InstanceStatus) -> dict[str, Any]:
    """Return an instance as a JSON object."""
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
