"""Workers that appear, change, vanish or return from quarantine."""

from ..models.tasks import HOLDING_STATES
from ..schema.cell_pb2 import Command, Result
from .registry import applies
from .state import CellState
from .task_changes import release_lost_task
from .transitions import update_record_state
from .worker_table import WorkerInfo


@applies("see_worker")
def apply_see(state: CellState, command: Command) -> Result:
    """Add a worker or take over what changed about it."""
    seen = command.see_worker.worker
    worker_info = state.worker_table.get(seen.id)
    if worker_info is None:
        worker_info = state.worker_table.add(seen)
    else:
        if worker_info.message.session != seen.session:
            release_tasks(state, worker_info, reason=f"worker {seen.id} restarted")
        _take_over(worker_info, seen.session, command)
    state.worker_table.count(worker_info)
    _note_fleet(state, worker_info)
    _tell(state, worker_info)
    return Result(status=200)


def _take_over(worker_info: WorkerInfo, session: str, command: Command) -> None:
    seen = command.see_worker.worker
    message = worker_info.message
    message.zone = seen.zone
    message.rack = seen.rack
    message.session = session
    message.lost = False
    message.capacity.CopyFrom(seen.capacity)
    message.strays.CopyFrom(seen.strays)


def _note_fleet(state: CellState, worker_info: WorkerInfo) -> None:
    shape = worker_info.capacity
    if not any(shape.fits_in(known) for known in state.worker_shapes):
        state.worker_shapes = [k for k in state.worker_shapes if not k.fits_in(shape)]
        state.worker_shapes.append(shape)
    state.largest_fleet = state.largest_fleet.get_largest(state.worker_table.total)


def release_tasks(state: CellState, worker_info: WorkerInfo, *, reason: str) -> None:
    """Take all tasks off a worker that surely runs none of them any more."""
    for record_id, index in sorted(worker_info.tasks):
        record = state.open_records.get(record_id)
        if record is None or record.tasks[index].state not in HOLDING_STATES:
            continue
        release_lost_task(state, record, record.tasks[index], reason=reason)
        update_record_state(state, record)


@applies("lose_worker")
def apply_lose(state: CellState, command: Command) -> Result:
    """Take a worker out of use whose lease and margin are past."""
    body = command.lose_worker
    worker_info = state.worker_table.get(body.worker)
    if worker_info is None or worker_info.message.session != body.session:
        return Result(status=200)
    worker_info.message.lost = True
    worker_info.message.ClearField("strays")
    state.worker_table.count(worker_info)
    release_tasks(state, worker_info, reason=f"worker {body.worker} was lost")
    _tell(state, worker_info)
    return Result(status=200, count=1)


@applies("release_worker")
def apply_release(state: CellState, command: Command) -> Result:
    """Let a quarantined worker be probed with one task, or quarantine it again."""
    body = command.release_worker
    worker_info = state.worker_table.get(body.worker)
    if worker_info is None or not worker_info.message.quarantined:
        return Result(status=200)
    worker_info.message.probing = not body.quarantined
    _tell(state, worker_info)
    return Result(status=200, count=1)


def _tell(state: CellState, worker_info: WorkerInfo) -> None:
    for listener in state.listeners:
        listener.on_worker(worker_info)
