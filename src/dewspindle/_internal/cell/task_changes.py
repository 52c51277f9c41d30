"""Commands that place tasks, apply worker reports or preempt tasks."""

from collections import defaultdict

from ..models.enums import RecordKind, ReportState
from ..models.resources import Amounts, make_amounts
from ..models.tasks import ACTIVE_TASK_STATES, FINAL_RECORD_STATES
from ..schema import cell_pb2
from ..schema.cell_pb2 import (
    RECORD_FAILED,
    TASK_CANCELLED,
    TASK_FAILED,
    TASK_PENDING,
    TASK_PLACED,
    TASK_RUNNING,
    TASK_STOPPING,
    TASK_SUCCEEDED,
    Assignment,
    Command,
    Record,
    Result,
    Task,
)
from ..utils.refusals import Refusal
from .estimates import update_run_estimate, update_usage_estimate
from .registry import applies
from .state import CellState
from .transitions import (
    add_decision,
    end_record,
    place_task,
    restart_gang,
    set_task_state,
    stop_task,
    update_record_state,
)
from .worker_health import clear_worker_failures, count_effective_failures, count_worker_failure

BACKOFF_BASE_MS = 1000
BACKOFF_MAX_MS = 300_000
MAX_TOTAL_FAILURES_FACTOR = 3  # Limit on failures on any worker, as a multiple of `max_attempts`.


@applies("place_tasks")
def apply_place_tasks(state: CellState, command: Command) -> Result:
    """Reserve resources for each assignment that is still valid, and skip the others."""
    by_record: dict[str, list[Assignment]] = defaultdict(list)
    for assignment in command.place_tasks.assignments:
        by_record[assignment.record].append(assignment)
    result = Result(status=200)
    for record_id, assignments in by_record.items():
        record = state.open_records.get(record_id)
        if record is None or record.state in FINAL_RECORD_STATES:
            continue
        result.count += _place_record(state, record, assignments)
    return result


def _place_record(state: CellState, record: Record, assignments: list[Assignment]) -> int:
    if record.kind == RecordKind.GANG.value and not _can_place_gang(state, record, assignments):
        return 0
    placed = 0
    for assignment in assignments:
        task = _find_pending_task(record, assignment)
        if task is None or not _can_place(state, assignment):
            continue
        place_task(
            state,
            record,
            task,
            worker=assignment.worker,
            reserved=make_amounts(assignment.reserved),
        )
        add_decision(
            state,
            record,
            what=f"task {task.index} placed on {assignment.worker}",
            why=assignment.why,
        )
        placed += 1
    if placed:
        update_record_state(state, record)
    return placed


def _find_pending_task(record: Record, assignment: Assignment) -> Task | None:
    if assignment.index >= len(record.tasks):
        return None
    task = record.tasks[assignment.index]
    if task.state != TASK_PENDING or assignment.epoch != task.epoch + 1:
        return None
    return task


def _can_place(state: CellState, assignment: Assignment) -> bool:
    worker_info = state.worker_table.get(assignment.worker)
    if worker_info is None or worker_info.message.lost:
        return False
    if worker_info.message.quarantined and (not worker_info.message.probing or worker_info.tasks):
        return False
    return make_amounts(assignment.reserved).fits_in(worker_info.free)


def _can_place_gang(state: CellState, record: Record, assignments: list[Assignment]) -> bool:
    unfinished = [t for t in record.tasks if t.state not in (TASK_SUCCEEDED, TASK_CANCELLED)]
    chosen = {assignment.index for assignment in assignments}
    if chosen != {task.index for task in unfinished}:
        return False
    needed: dict[str, Amounts] = defaultdict(Amounts)
    for assignment in assignments:
        if _find_pending_task(record, assignment) is None:
            return False
        needed[assignment.worker] += make_amounts(assignment.reserved)
    for worker, amounts in needed.items():
        worker_info = state.worker_table.get(worker)
        if (
            worker_info is None
            or not worker_info.is_usable
            or not amounts.fits_in(worker_info.free)
        ):
            return False
    return True


@applies("report_tasks")
def apply_report_tasks(state: CellState, command: Command) -> Result:
    """Apply a worker's reports on tasks assigned to it in their current epoch."""
    body = command.report_tasks
    worker_info = state.worker_table.get(body.worker)
    if worker_info is None or worker_info.message.session != body.session:
        return Result(status=200)
    changed: dict[str, Record] = {}
    for report in body.reports:
        record = state.open_records.get(report.record)
        if record is None or report.index >= len(record.tasks):
            continue
        task = record.tasks[report.index]
        is_current = task.worker == body.worker and task.epoch == report.epoch
        if not is_current or task.state not in ACTIVE_TASK_STATES:
            continue
        _apply_report(state, record, task, report)
        changed[record.id] = record
    for record in changed.values():
        update_record_state(state, record)
    return Result(status=200, count=len(changed))


def _apply_report(
    state: CellState, record: Record, task: Task, report: cell_pb2.TaskReport
) -> None:
    if report.memory_mb or report.processors:
        update_usage_estimate(state, record, report)
    if report.memory_mb > task.reserved.memory_mb and task.state == TASK_RUNNING:
        _stop_oversized(state, record, task, report)
    if not report.state:
        return
    reported = ReportState(report.state)
    if reported is ReportState.SUCCEEDED:
        _finish_task(state, record, task)
    elif reported is ReportState.FAILED:
        _fail_task(state, record, task, reason=report.reason or "the task failed")
    elif reported is ReportState.STOPPED:
        _handle_stopped(state, record, task, reason=report.reason)
    elif task.state == TASK_PLACED:
        task.started_ms = state.at_ms
        set_task_state(state, record, task, TASK_RUNNING)


def _stop_oversized(
    state: CellState, record: Record, task: Task, report: cell_pb2.TaskReport
) -> None:
    """Stop a repeatable task that exceeds its reserved memory, and retry it with more memory.

    Stop it for good, and fail the record, once its attempts are used up.
    """
    what = f"used {report.memory_mb} MB of the {task.reserved.memory_mb} MB it was given"
    add_decision(state, record, what=f"task {task.index} is over its memory", why=what)
    if not record.repeatable:
        return
    task.failed_workers.append(task.worker)
    if len(task.failed_workers) >= record.max_attempts:
        stop_task(state, record, task, after=TASK_FAILED, reason=what)
        end_record(
            state,
            record,
            RECORD_FAILED,
            code="memory-exceeded",
            reason=f"task {task.index} {what}, after {len(task.failed_workers)} attempts",
        )
        return
    stop_task(state, record, task, after=TASK_PENDING, reason=what)
    restart_gang(state, record, reason=f"task {task.index} {what}")


def _finish_task(state: CellState, record: Record, task: Task) -> None:
    update_run_estimate(state, record, task)
    clear_worker_failures(state, task.worker)
    set_task_state(state, record, task, TASK_SUCCEEDED)


def _handle_stopped(state: CellState, record: Record, task: Task, *, reason: str) -> None:
    """Complete an ordered stop, or take the task from its worker if no stop was ordered."""
    if task.state == TASK_STOPPING:
        after = task.after_stop
        if after == TASK_PENDING and record.state in FINAL_RECORD_STATES:
            after = TASK_CANCELLED
        set_task_state(state, record, task, after, reason=task.reason)
        return
    # The task stopped without an order, for example because the worker's task lease ended.
    unassign_task(state, record, task, reason=reason or "the worker stopped it")


def unassign_task(state: CellState, record: Record, task: Task, *, reason: str) -> None:
    """Take a task from a worker that no longer runs it, and requeue it if repeatable."""
    if task.state == TASK_STOPPING:
        _handle_stopped(state, record, task, reason=reason)
        return
    if record.state in FINAL_RECORD_STATES:
        set_task_state(state, record, task, TASK_CANCELLED, reason=reason)
        return
    if not record.repeatable:
        set_task_state(state, record, task, cell_pb2.TASK_UNKNOWN, reason=reason)
        return
    task.attempts -= 1  # The placement does not count; see `place_task`.
    set_task_state(state, record, task, TASK_PENDING, reason=reason)
    add_decision(state, record, what=f"task {task.index} waits again", why=reason)
    restart_gang(state, record, reason=f"task {task.index}: {reason}")


def _fail_task(state: CellState, record: Record, task: Task, *, reason: str) -> None:
    worker = task.worker
    if task.state == TASK_STOPPING:
        _handle_stopped(state, record, task, reason=reason)
        return
    task.failed_workers.append(worker)
    count_worker_failure(state, worker, record)
    failures = count_effective_failures(state, task)
    exhausted = (
        failures >= record.max_attempts
        or len(task.failed_workers) >= record.max_attempts * MAX_TOTAL_FAILURES_FACTOR
    )
    if not record.repeatable or exhausted:
        set_task_state(state, record, task, TASK_FAILED, reason=reason)
        code = Refusal.ATTEMPTS_EXHAUSTED.value if record.repeatable else "task-failed"
        tried = ", ".join(sorted(set(task.failed_workers)))
        end_record(
            state,
            record,
            RECORD_FAILED,
            code=code,
            reason=f"task {task.index} failed {len(task.failed_workers)} times "
            f"(on {tried}): {reason}",
        )
        return
    task.not_before_ms = state.at_ms + compute_backoff_ms(len(task.failed_workers))
    set_task_state(state, record, task, TASK_PENDING, reason=reason)
    add_decision(state, record, what=f"task {task.index} failed on {worker}", why=reason)
    restart_gang(state, record, reason=f"task {task.index} failed")


def compute_backoff_ms(failures: int) -> int:
    """Return the exponential backoff before the next attempt of a failed task."""
    return int(min(BACKOFF_MAX_MS, BACKOFF_BASE_MS * 2 ** (failures - 1)))


@applies("preempt")
def apply_preempt(state: CellState, command: Command) -> Result:
    """Stop tasks to free their resources for others; the stopped tasks are requeued."""
    count = 0
    for victim in command.preempt.tasks:
        record = state.open_records.get(victim.record)
        if record is None or not record.repeatable or victim.index >= len(record.tasks):
            continue
        task = record.tasks[victim.index]
        if task.epoch != victim.epoch or task.state not in (TASK_PLACED, TASK_RUNNING):
            continue
        task.preemptions += 1
        task.attempts -= 1  # The placement does not count; see `place_task`.
        stop_task(state, record, task, after=TASK_PENDING, reason=victim.why)
        add_decision(state, record, what=f"task {task.index} preempted", why=victim.why)
        restart_gang(state, record, reason=victim.why)
        count += 1
    return Result(status=200, count=count)
