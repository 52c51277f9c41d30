"""Orders to a polling worker, derived from the replicated state."""

from ..cell.state import CellState
from ..cell.worker_table import WorkerInfo
from ..models.enums import OrderKind, ReportState
from ..models.ids import make_task_id
from ..schema import cell_pb2, documents_pb2, settings_pb2
from ..schema.cell_pb2 import TASK_PENDING, TASK_PLACED, TASK_STOPPING


def make_orders(
    state: CellState,
    worker_info: WorkerInfo,
    poll: documents_pb2.PollDocument,
    *,
    settings: settings_pb2.Settings,
) -> list[documents_pb2.OrderDocument]:
    """Return the orders that reconcile a worker's running tasks with the state.

    An order is repeated until the worker's reports show that it was carried out.
    """
    running = {
        (report.task, report.epoch): ReportState(report.state)
        for report in poll.tasks
        if not ReportState(report.state).is_final
    }
    orders: list[documents_pb2.OrderDocument] = []
    for record_id, index in sorted(worker_info.tasks):
        record = state.records[record_id]
        task = record.tasks[index]
        key = (make_task_id(record_id, index), task.epoch)
        reported = running.pop(key, None)
        if task.state == TASK_PLACED and reported is None:
            orders.append(_make_start_order(record, task, settings))
        elif task.state == TASK_STOPPING:
            orders.extend(_make_stop_orders(record, task, reported, settings))
    # The worker should no longer run the remaining tasks.
    for task_id, epoch in running:
        orders.append(_make_order(OrderKind.STOP, task_id, epoch))
    return orders


def _make_order(
    kind: OrderKind, task_id: str, epoch: int, *, grace_ms: int = 0
) -> documents_pb2.OrderDocument:
    return documents_pb2.OrderDocument(
        kind=kind.value, task=task_id, epoch=epoch, grace_ms=grace_ms
    )


def _make_start_order(
    record: cell_pb2.Record, task: cell_pb2.Task, settings: settings_pb2.Settings
) -> documents_pb2.OrderDocument:
    order = _make_order(OrderKind.START, make_task_id(record.id, task.index), task.epoch)
    order.lease_ms = settings.task_lease_ms
    order.command.extend(record.command)
    order.resources.processors = task.reserved.processors
    order.resources.memory_mb = task.reserved.memory_mb
    order.resources.accelerators = task.reserved.accelerators
    return order


def _make_stop_orders(
    record: cell_pb2.Record,
    task: cell_pb2.Task,
    reported: ReportState | None,
    settings: settings_pb2.Settings,
) -> list[documents_pb2.OrderDocument]:
    """Return the orders for the next stage of a stop.

    A task that will be requeued (preempted, over its memory, or of a gang that restarts) is
    checkpointed first.
    """
    task_id = make_task_id(record.id, task.index)
    will_be_requeued = task.after_stop == TASK_PENDING
    if will_be_requeued and reported is ReportState.RUNNING:
        return [_make_order(OrderKind.CHECKPOINT, task_id, task.epoch)]
    if will_be_requeued and reported is ReportState.CHECKPOINTED:
        throttle = _make_order(OrderKind.THROTTLE, task_id, task.epoch)
        stop = _make_order(OrderKind.STOP, task_id, task.epoch, grace_ms=settings.stop_grace_ms)
        return [throttle, stop]
    grace_ms = settings.stop_grace_ms if will_be_requeued else 0
    return [_make_order(OrderKind.STOP, task_id, task.epoch, grace_ms=grace_ms)]
