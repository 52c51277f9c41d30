"""Attribution of task failures to workers or records, and quarantine of workers."""

from ..schema import cell_pb2
from .state import CellState

QUARANTINE_THRESHOLD = 3  # Distinct records that failed since the last success.
# Fraction of all polling workers, lost ones included. Failures on more workers than these at once
# have another cause than the workers. One worker can always be quarantined.
MAX_QUARANTINED_FRACTION = 0.25


def count_worker_failure(state: CellState, worker: str, record: cell_pb2.Record) -> None:
    """Count a failure on a worker, and quarantine it if several distinct records failed there."""
    worker_info = state.worker_table.get(worker)
    if worker_info is None:
        return
    message = worker_info.message
    name = f"{record.team}/{record.name}"
    if name not in message.failed_records:
        message.failed_records.append(name)
    if message.probing:
        message.probing = False
        message.quarantined_ms = state.at_ms
    elif len(message.failed_records) >= QUARANTINE_THRESHOLD and not message.quarantined:
        _quarantine(state, message)
    for listener in state.listeners:
        listener.on_worker(worker_info)


def _quarantine(state: CellState, message: cell_pb2.Worker) -> None:
    quarantined = sum(worker_info.message.quarantined for worker_info in state.worker_table)
    if (quarantined + 1) > max(1, len(state.worker_table) * MAX_QUARANTINED_FRACTION):
        return
    message.quarantined = True
    message.quarantined_ms = state.at_ms


def clear_worker_failures(state: CellState, worker: str) -> None:
    """Clear the failures and the quarantine of a worker on which a task succeeded."""
    worker_info = state.worker_table.get(worker)
    if worker_info is None or not (
        worker_info.message.failed_records or worker_info.message.quarantined
    ):
        return
    del worker_info.message.failed_records[:]
    worker_info.message.quarantined = False
    worker_info.message.probing = False
    for listener in state.listeners:
        listener.on_worker(worker_info)


def count_effective_failures(state: CellState, task: cell_pb2.Task) -> int:
    """Return the number of a task's failures on workers that are not quarantined."""
    count = 0
    for worker in task.failed_workers:
        worker_info = state.worker_table.get(worker)
        count += worker_info is None or not worker_info.message.quarantined
    return count
