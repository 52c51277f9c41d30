"""Reservation of workers for a gang that has waited long, with backfill that it allows."""

from dataclasses import dataclass

from ..cell.estimates import get_expected_run_s
from ..cell.state import CellState
from ..cell.worker_table import WorkerInfo
from ..models.enums import RecordKind
from ..models.resources import NO_RESOURCES, Amounts, make_amounts
from ..schema import cell_pb2
from .index import CapacityIndex, Slot

LIFETIME_S = 5.0  # After which the workers are chosen anew.
UNKNOWN_RUN_S = 60.0
MAX_PATIENCE_S = 2.0  # Waiting time after which a gang gets a reservation.


@dataclass(frozen=True, slots=True)
class Reservation:
    """Workers kept for one gang until it starts."""

    record_id: str
    workers: frozenset[str]
    ready_at_ms: int
    expires_at: float

    def allows(self, slot: Slot, *, record: cell_pb2.Record, end_ms: float) -> bool:
        """Tell whether a task may be placed on a worker without delaying the gang."""
        if slot.worker not in self.workers or record.id == self.record_id:
            return True
        return record.kind != RecordKind.SERVICE.value and end_ms <= self.ready_at_ms


def make_reservation(
    state: CellState,
    index: CapacityIndex,
    record: cell_pb2.Record,
    need: Amounts,
    *,
    now: float,
) -> Reservation | None:
    """Choose the workers that can hold a gang soonest, or return None where none can."""
    missing = sum(task.state == cell_pb2.TASK_PENDING for task in record.tasks)
    candidates = []
    for slot in index.iterate_all():
        worker_info = state.worker_table.get(slot.worker)
        if worker_info is None or not _is_allowed(slot, record):
            continue
        drain = _estimate_drain(state, worker_info, need)
        if drain is not None:
            candidates.append((drain[0], slot.worker, drain[1]))
    candidates.sort()
    workers: set[str] = set()
    ready_at_ms = state.at_ms
    for drained_ms, worker, count in candidates:
        workers.add(worker)
        ready_at_ms = max(ready_at_ms, drained_ms)
        missing -= count
        if missing <= 0:
            return Reservation(
                record_id=record.id,
                workers=frozenset(workers),
                ready_at_ms=ready_at_ms,
                expires_at=now + LIFETIME_S,
            )
    return None


def _is_allowed(slot: Slot, record: cell_pb2.Record) -> bool:
    if record.zones and slot.zone not in record.zones:
        return False
    return not record.racks or slot.rack in record.racks


def _estimate_drain(
    state: CellState, worker_info: WorkerInfo, need: Amounts
) -> tuple[int, int] | None:
    """Return when a worker's batch work should have ended and how many tasks then fit."""
    kept = NO_RESOURCES
    drained_ms = state.at_ms
    for record_id, task_index in worker_info.tasks:
        record = state.records[record_id]
        task = record.tasks[task_index]
        if record.kind == RecordKind.SERVICE.value:
            kept += make_amounts(task.reserved)
            continue
        run_s = get_expected_run_s(state, record) or UNKNOWN_RUN_S
        end_ms = (task.started_ms or task.placed_ms) + int(run_s * 1000)
        drained_ms = max(drained_ms, end_ms)
    count = count_fitting(worker_info.capacity - kept, need)
    return (drained_ms, count) if count else None


def count_fitting(room: Amounts, need: Amounts) -> int:
    """Return how many tasks of a need a room holds."""
    counts = []
    for available, each in (
        (room.processors, need.processors),
        (room.memory_mb, need.memory_mb),
        (room.accelerators, need.accelerators),
    ):
        if each > 0:
            counts.append(max(0, available) // each)
    return min(counts, default=0)
