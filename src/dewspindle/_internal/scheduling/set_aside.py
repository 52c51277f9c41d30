"""Workers set aside for a gang that has waited long, with backfill until it starts.

Resources on a worker are reserved only by the placement of a task.
"""

from dataclasses import dataclass

from ..cell.estimates import get_expected_run_s
from ..cell.state import CellState
from ..cell.worker_table import WorkerInfo
from ..models.enums import RecordKind
from ..models.resources import NO_RESOURCES, Amounts, make_amounts
from ..schema import cell_pb2
from .index import Candidate, CapacityIndex

SET_ASIDE_LIFETIME_S = 5.0  # Then workers are set aside anew, from the state at that time.
DEFAULT_RUN_S = 60.0  # For tasks without an expected run time.
SET_ASIDE_AFTER_S = 2.0  # Waiting time after which workers may be set aside for a gang.


@dataclass(frozen=True, slots=True)
class SetAsideWorkers:
    """Workers set aside for one gang until it starts, or until `expires_at`.

    `ready_at_ms` is the log time by which the gang is expected to fit on them.
    """

    record_id: str
    workers: frozenset[str]
    ready_at_ms: int
    expires_at: float

    def allows(self, candidate: Candidate, *, record: cell_pb2.Record, end_ms: float) -> bool:
        """Return whether a record's task may be placed on a worker without delaying the gang.

        Other records' tasks may if they are expected to end before the gang can start; tasks of
        services never end by themselves.
        """
        if candidate.worker not in self.workers or record.id == self.record_id:
            return True
        return record.kind != RecordKind.SERVICE.value and end_ms <= self.ready_at_ms


def set_aside_workers(
    state: CellState,
    index: CapacityIndex,
    record: cell_pb2.Record,
    need: Amounts,
    *,
    now: float,
) -> SetAsideWorkers | None:
    """Return the workers that can fit a gang soonest, or None if the gang can't fit."""
    unplaced = sum(task.state == cell_pb2.TASK_PENDING for task in record.tasks)
    drained = []
    for candidate in index.iterate_all():
        worker_info = state.worker_table.get(candidate.worker)
        if worker_info is None or not _is_allowed(candidate, record):
            continue
        drain = _estimate_drain(state, worker_info, need)
        if drain is not None:
            drained.append((drain[0], candidate.worker, drain[1]))
    drained.sort()
    workers: set[str] = set()
    ready_at_ms = state.at_ms
    for drained_ms, worker, count in drained:
        workers.add(worker)
        ready_at_ms = max(ready_at_ms, drained_ms)
        unplaced -= count
        if unplaced <= 0:
            return SetAsideWorkers(
                record_id=record.id,
                workers=frozenset(workers),
                ready_at_ms=ready_at_ms,
                expires_at=now + SET_ASIDE_LIFETIME_S,
            )
    return None


def _is_allowed(candidate: Candidate, record: cell_pb2.Record) -> bool:
    if record.zones and candidate.zone not in record.zones:
        return False
    return not record.racks or candidate.rack in record.racks


def _estimate_drain(
    state: CellState, worker_info: WorkerInfo, need: Amounts
) -> tuple[int, int] | None:
    """Return the log time at which a worker is drained, and how many tasks of the need then fit.

    A worker counts as drained once all its tasks except those of services are expected to have
    ended. Returns None if no task of the need would fit then.
    """
    retained = NO_RESOURCES
    drained_ms = state.at_ms
    for record_id, task_index in worker_info.tasks:
        record = state.records[record_id]
        task = record.tasks[task_index]
        if record.kind == RecordKind.SERVICE.value:
            retained += make_amounts(task.reserved)
            continue
        run_s = get_expected_run_s(state, record) or DEFAULT_RUN_S
        end_ms = (task.started_ms or task.placed_ms) + int(run_s * 1000)
        drained_ms = max(drained_ms, end_ms)
    count = count_tasks_fitting(worker_info.capacity - retained, need)
    return (drained_ms, count) if count else None


def count_tasks_fitting(free: Amounts, need: Amounts) -> int:
    """Return how many tasks of a need fit in the free amounts."""
    counts = []
    for available, each in (
        (free.processors, need.processors),
        (free.memory_mb, need.memory_mb),
        (free.accelerators, need.accelerators),
    ):
        if each > 0:
            counts.append(max(0, available) // each)
    return min(counts, default=0)
