"""State transitions of tasks and records, and their side effects."""

from ..models.enums import RecordKind
from ..models.resources import Amounts, make_amounts
from ..models.tasks import ACTIVE_TASK_STATES, FINAL_RECORD_STATES, FINAL_TASK_STATES
from ..schema import cell_pb2
from ..schema.cell_pb2 import (
    RECORD_CANCELLED,
    RECORD_FAILED,
    RECORD_RUNNING,
    RECORD_SUCCEEDED,
    RECORD_UNKNOWN,
    RECORD_WAITING,
    TASK_CANCELLED,
    TASK_PENDING,
    TASK_PLACED,
    TASK_STOPPING,
    RecordState,
    TaskState,
)
from .state import CellState

MAX_HISTORY = 32


def add_decision(state: CellState, record: cell_pb2.Record, *, what: str, why: str) -> None:
    """Append a decision to the bounded history of a record."""
    record.history.add(revision=state.applying_index, at_ms=state.at_ms, what=what, why=why)
    if len(record.history) > MAX_HISTORY:
        del record.history[0]


def set_task_state(
    state: CellState,
    record: cell_pb2.Record,
    task: cell_pb2.Task,
    new_state: TaskState.ValueType,
    *,
    reason: str = "",
) -> None:
    """Move a task to another state, and update counts and reservations."""
    was_reserved = task.state in ACTIVE_TASK_STATES
    was_pending = task.state == TASK_PENDING
    is_reserved = new_state in ACTIVE_TASK_STATES
    if was_reserved and not is_reserved:
        _release(state, record, task)
    elif is_reserved and not was_reserved:
        _reserve(state, record, task)
    state.team_waiting[record.team] += (new_state == TASK_PENDING) - was_pending
    task.state = new_state
    task.reason = reason
    if new_state in FINAL_TASK_STATES:
        task.ended_ms = state.at_ms
    for listener in state.listeners:
        listener.on_task(record, task)


def _reserve(state: CellState, record: cell_pb2.Record, task: cell_pb2.Task) -> None:
    amounts = make_amounts(task.reserved)
    state.worker_table.reserve(task.worker, (record.id, task.index), amounts)
    state.team_usage[record.team] += amounts
    _notify_worker_changed(state, task.worker)


def _release(state: CellState, record: cell_pb2.Record, task: cell_pb2.Task) -> None:
    amounts = make_amounts(task.reserved)
    state.worker_table.release(task.worker, (record.id, task.index), amounts)
    state.team_usage[record.team] -= amounts
    _notify_worker_changed(state, task.worker)


def _notify_worker_changed(state: CellState, worker: str) -> None:
    worker_info = state.worker_table.get(worker)
    if worker_info is None:
        return
    for listener in state.listeners:
        listener.on_worker(worker_info)


def place_task(
    state: CellState,
    record: cell_pb2.Record,
    task: cell_pb2.Task,
    *,
    worker: str,
    reserved: Amounts,
) -> None:
    """Reserve resources on a worker for a pending task, in a new epoch."""
    task.worker = worker
    task.epoch += 1
    # Counts placements except those that were preempted, lost with the worker or stopped without an
    # order. A record whose tasks all have 0 counts as not started and may still be refused. The
    # limit `max_attempts` applies to the failures in `failed_workers` instead.
    task.attempts += 1
    task.placed_ms = state.at_ms
    task.started_ms = 0
    task.reserved.CopyFrom(reserved.to_message())
    set_task_state(state, record, task, TASK_PLACED)


def stop_task(
    state: CellState,
    record: cell_pb2.Record,
    task: cell_pb2.Task,
    *,
    after: TaskState.ValueType,
    reason: str,
) -> None:
    """Stop a task, which then goes to the state `after`.

    A task on a worker keeps its resources until the worker confirms the stop or is lost.
    """
    if task.state == TASK_PENDING:
        set_task_state(state, record, task, after, reason=reason)
    elif task.state in ACTIVE_TASK_STATES:
        # A task that is already stopping for good is not requeued.
        if task.state != TASK_STOPPING or after != TASK_PENDING:
            task.after_stop = after
        set_task_state(state, record, task, TASK_STOPPING, reason=reason)


def end_record(
    state: CellState,
    record: cell_pb2.Record,
    new_state: RecordState.ValueType,
    *,
    code: str = "",
    reason: str = "",
) -> None:
    """Set the final state of a record and stop its remaining tasks."""
    if record.state in FINAL_RECORD_STATES:
        return
    record.state = new_state
    record.code = code
    record.reason = reason
    record.ended_ms = state.at_ms
    add_decision(
        state, record, what=RecordState.Name(new_state).removeprefix("RECORD_").lower(), why=reason
    )
    for task in record.tasks:
        stop_task(state, record, task, after=TASK_CANCELLED, reason=reason)
    close_record_if_idle(state, record)
    for listener in state.listeners:
        listener.on_record(record)


def close_record_if_idle(state: CellState, record: cell_pb2.Record) -> None:
    """Remove an ended record from the open records once no task has resources reserved."""
    if record.state not in FINAL_RECORD_STATES:
        return
    if any(task.state in ACTIVE_TASK_STATES for task in record.tasks):
        return
    state.open_records.pop(record.id, None)


def update_record_state(state: CellState, record: cell_pb2.Record) -> None:
    """Update a record's state from the states of its tasks."""
    if record.state in FINAL_RECORD_STATES:
        close_record_if_idle(state, record)
        return
    states = {task.state for task in record.tasks}
    if not states <= FINAL_TASK_STATES:
        record.state = RECORD_RUNNING if states & ACTIVE_TASK_STATES else RECORD_WAITING
        return
    if cell_pb2.TASK_UNKNOWN in states:
        end_record(
            state,
            record,
            RECORD_UNKNOWN,
            code="outcome-unknown",
            reason="a task that is not repeatable was lost with its worker",
        )
    elif cell_pb2.TASK_FAILED in states:
        end_record(state, record, RECORD_FAILED, reason="a task failed")
    elif states == {TASK_CANCELLED}:
        end_record(state, record, RECORD_CANCELLED, reason="all tasks were cancelled")
    else:
        end_record(state, record, RECORD_SUCCEEDED, reason="all tasks succeeded")


def restart_gang(state: CellState, record: cell_pb2.Record, *, reason: str) -> None:
    """Stop and requeue the other tasks of a gang, since a gang runs all of its tasks or none."""
    if record.kind != RecordKind.GANG.value:
        return
    for task in record.tasks:
        if task.state in (TASK_PLACED, cell_pb2.TASK_RUNNING):
            stop_task(state, record, task, after=TASK_PENDING, reason=reason)
        elif task.state == cell_pb2.TASK_SUCCEEDED:
            set_task_state(state, record, task, TASK_PENDING, reason=reason)
