"""Capacity and reservations of each polling worker."""

from collections.abc import Iterator

from ..models.resources import NO_RESOURCES, Amounts, make_amounts
from ..schema import cell_pb2

RecordTaskKey = tuple[str, int]


class WorkerInfo:
    """One polling worker's capacity, reservations and tasks."""

    __slots__ = ("message", "tasks", "used")

    def __init__(self, message: cell_pb2.Worker) -> None:
        self.message = message
        self.used = NO_RESOURCES
        self.tasks: set[RecordTaskKey] = set()

    @property
    def capacity(self) -> Amounts:
        """Return the worker's total resources."""
        return make_amounts(self.message.capacity)

    @property
    def free(self) -> Amounts:
        """Return the resources that are neither reserved nor used by strays.

        They are negative if the capacity was reduced, or if the worker returned with tasks that
        had been taken from it.
        """
        return self.capacity - self.used - make_amounts(self.message.strays)

    @property
    def is_usable(self) -> bool:
        """Return whether the worker takes any task; a quarantined one gets probe tasks at most."""
        return not self.message.lost and not self.message.quarantined


class WorkerTable:
    """Table of all polling workers by id, also of lost ones; `JobStore` has the called workers."""

    def __init__(self) -> None:
        self._workers: dict[str, WorkerInfo] = {}
        self._counted: dict[str, Amounts] = {}
        self._total = NO_RESOURCES

    def __iter__(self) -> Iterator[WorkerInfo]:
        return iter(self._workers.values())

    def __len__(self) -> int:
        return len(self._workers)

    def get(self, worker: str) -> WorkerInfo | None:
        """Return the entry of a worker, or None."""
        return self._workers.get(worker)

    def add(self, message: cell_pb2.Worker) -> WorkerInfo:
        """Add a worker, replacing any entry with its id."""
        worker_info = WorkerInfo(message)
        self._workers[message.id] = worker_info
        self.update_total(worker_info)
        return worker_info

    def update_total(self, worker_info: WorkerInfo) -> None:
        """Update the total with the current capacity of a worker, zero if it is lost."""
        worker = worker_info.message.id
        amounts = NO_RESOURCES if worker_info.message.lost else worker_info.capacity
        self._total += amounts - self._counted.get(worker, NO_RESOURCES)
        self._counted[worker] = amounts

    def reserve(self, worker: str, key: RecordTaskKey, amounts: Amounts) -> None:
        """Reserve amounts for a task."""
        worker_info = self._workers[worker]
        worker_info.used += amounts
        worker_info.tasks.add(key)

    def release(self, worker: str, key: RecordTaskKey, amounts: Amounts) -> None:
        """Give back the resources reserved for a task."""
        worker_info = self._workers.get(worker)
        if worker_info is None or key not in worker_info.tasks:
            return
        worker_info.used -= amounts
        worker_info.tasks.remove(key)

    @property
    def total(self) -> Amounts:
        """Return the total capacity of all workers that are not lost."""
        return self._total
