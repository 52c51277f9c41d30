"""Explanations of why a record waits, derived from the replicated state alone."""

from ..cell.estimates import estimate_task_resources
from ..cell.state import CellState
from ..cell.team_limits import exceeds_quota, get_quotas, make_quota_amounts
from ..models.enums import RecordKind
from ..models.resources import Amounts, make_amounts
from ..schema import cell_pb2
from ..schema.cell_pb2 import TASK_PENDING
from .set_aside import count_tasks_fitting


def explain_waiting(state: CellState, record: cell_pb2.Record) -> str:
    """Return why a record's pending tasks wait, with figures; empty if none are pending."""
    pending = [task for task in record.tasks if task.state == TASK_PENDING]
    if not pending:
        return ""
    delayed = [task for task in pending if task.not_before_ms > state.at_ms]
    if len(delayed) == len(pending):
        wait_s = (min(task.not_before_ms for task in delayed) - state.at_ms) / 1000
        return f"retried in {wait_s:.1f} s after a failure: {delayed[0].reason}"
    quota_reason = _explain_quota(state, record)
    if quota_reason:
        return quota_reason
    return _explain_capacity(state, record, len(pending))


def _explain_quota(state: CellState, record: cell_pb2.Record) -> str:
    quota = get_quotas(state).teams.get(record.team)
    if quota is None or not quota.no_borrowing:
        return ""
    used = state.team_usage[record.team]
    limit = make_quota_amounts(quota)
    need = make_amounts(record.resources)
    if record.kind == RecordKind.GANG.value:
        need *= sum(task.state == TASK_PENDING for task in record.tasks)
    if not exceeds_quota(used + need, limit):
        return ""
    return f"team {record.team} uses {used} of its quota of {limit} and may not borrow"


def _explain_capacity(state: CellState, record: cell_pb2.Record, pending: int) -> str:
    need = estimate_task_resources(state, record)
    # Elsewhere: in a zone or rack that the record does not allow. Quarantined: also on probation.
    counts = {"lost": 0, "quarantined": 0, "elsewhere": 0, "too small": 0, "full": 0}
    fitting = 0
    shortages = {"processors": 0, "memory": 0, "accelerators": 0}
    for worker_info in state.worker_table:
        message = worker_info.message
        if message.lost:
            counts["lost"] += 1
        elif message.quarantined:
            counts["quarantined"] += 1
        elif not _is_allowed(message, record):
            counts["elsewhere"] += 1
        elif not need.fits_in(worker_info.capacity):
            counts["too small"] += 1
        elif not need.fits_in(worker_info.free):
            counts["full"] += 1
            _count_shortages(shortages, need, worker_info.free)
        else:
            fitting += count_tasks_fitting(worker_info.free, need)
    if not len(state.worker_table):
        return f"{pending} tasks of {need} wait; no worker has polled yet"
    is_gang = record.kind == RecordKind.GANG.value
    worker_counts = ", ".join(f"{number} {name}" for name, number in counts.items() if number)
    shortage_counts = ", ".join(
        f"{number} short of {name}" for name, number in shortages.items() if number
    )
    text = f"{pending} tasks of {need} wait; room for {fitting} now"
    if is_gang:
        text += ", all needed at once"
    if worker_counts:
        text += f"; of {len(state.worker_table)} workers {worker_counts}"
    return f"{text} ({shortage_counts})" if shortage_counts else text


def _is_allowed(worker: cell_pb2.Worker, record: cell_pb2.Record) -> bool:
    if record.zones and worker.zone not in record.zones:
        return False
    return not record.racks or worker.rack in record.racks


def _count_shortages(shortages: dict[str, int], need: Amounts, free: Amounts) -> None:
    shortages["processors"] += need.processors > free.processors
    shortages["memory"] += need.memory_mb > free.memory_mb
    shortages["accelerators"] += need.accelerators > free.accelerators
