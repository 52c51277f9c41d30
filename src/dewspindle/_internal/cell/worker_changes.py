"""Commands that record polling workers, mark them as lost or allow probes on them."""

from ..models.tasks import ACTIVE_TASK_STATES
from ..schema.cell_pb2 import Command, Result
from .registry import applies
from .state import CellState
from .task_changes import unassign_task
from .transitions import update_record_state
from .worker_table import WorkerInfo

MAX_REPLACED_SESSIONS = 8  # Remembered for each worker.


@applies("see_worker")
def apply_see_worker(state: CellState, command: Command) -> Result:
    """Record a polling worker, or update its entry."""
    seen = command.see_worker.worker
    worker_info = state.worker_table.get(seen.id)
    if worker_info is None:
        worker_info = state.worker_table.add(seen)
    else:
        if worker_info.message.session != seen.session:
            unassign_tasks(state, worker_info, reason=f"worker {seen.id} restarted")
        _update_worker(worker_info, seen.session, command)
    state.worker_table.update_total(worker_info)
    _update_fleet_maximums(state, worker_info)
    _notify_listeners(state, worker_info)
    return Result(status=200)


def _update_worker(worker_info: WorkerInfo, session: str, command: Command) -> None:
    seen = command.see_worker.worker
    message = worker_info.message
    message.zone = seen.zone
    message.rack = seen.rack
    if message.session != session:
        replaced = [*message.replaced_sessions, message.session][-MAX_REPLACED_SESSIONS:]
        message.replaced_sessions[:] = replaced
    message.session = session
    message.lost = False
    message.capacity.CopyFrom(seen.capacity)
    message.strays.CopyFrom(seen.strays)


def _update_fleet_maximums(state: CellState, worker_info: WorkerInfo) -> None:
    shape = worker_info.capacity
    if not any(shape.fits_in(known) for known in state.worker_shapes):
        state.worker_shapes = [k for k in state.worker_shapes if not k.fits_in(shape)]
        state.worker_shapes.append(shape)
    state.largest_fleet = state.largest_fleet.get_elementwise_max(state.worker_table.total)


def unassign_tasks(state: CellState, worker_info: WorkerInfo, *, reason: str) -> None:
    """Take all tasks from a worker that is known to no longer run them."""
    for record_id, index in sorted(worker_info.tasks):
        record = state.open_records.get(record_id)
        if record is None or record.tasks[index].state not in ACTIVE_TASK_STATES:
            continue
        unassign_task(state, record, record.tasks[index], reason=reason)
        update_record_state(state, record)


@applies("lose_worker")
def apply_lose_worker(state: CellState, command: Command) -> Result:
    """Mark a worker as lost, after its task lease and the lease margin, and take its tasks."""
    body = command.lose_worker
    worker_info = state.worker_table.get(body.worker)
    if worker_info is None or worker_info.message.session != body.session:
        return Result(status=200)
    worker_info.message.lost = True
    worker_info.message.ClearField("strays")
    state.worker_table.update_total(worker_info)
    unassign_tasks(state, worker_info, reason=f"worker {body.worker} was lost")
    _notify_listeners(state, worker_info)
    return Result(status=200, count=1)


@applies("release_worker")
def apply_release_worker(state: CellState, command: Command) -> Result:
    """Start or end the probation of a quarantined worker, in which it gets one probe task."""
    body = command.release_worker
    worker_info = state.worker_table.get(body.worker)
    if worker_info is None or not worker_info.message.quarantined:
        return Result(status=200)
    worker_info.message.probing = not body.quarantined
    _notify_listeners(state, worker_info)
    return Result(status=200, count=1)


def _notify_listeners(state: CellState, worker_info: WorkerInfo) -> None:
    for listener in state.listeners:
        listener.on_worker(worker_info)
