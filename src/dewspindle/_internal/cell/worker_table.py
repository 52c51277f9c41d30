"""What each worker has, and what of it is reserved."""

from collections.abc import Iterator

from ..models.resources import NOTHING, Amounts, make_amounts
from ..schema import cell_pb2

TaskKey = tuple[str, int]


class WorkerInfo:
    """One worker's capacity, reservations and tasks."""

    __slots__ = ("message", "tasks", "used")

    def __init__(self, message: cell_pb2.Worker) -> None:
        self.message = message
        self.used = NOTHING
        self.tasks: set[TaskKey] = set()

    @property
    def capacity(self) -> Amounts:
        """Return what the worker has."""
        return make_amounts(self.message.capacity)

    @property
    def free(self) -> Amounts:
        """Return what is not reserved; below zero where the worker shrank."""
        return self.capacity - self.used - make_amounts(self.message.strays)

    @property
    def is_usable(self) -> bool:
        """Tell whether new tasks may be placed here."""
        return not self.message.lost and not self.message.quarantined


class WorkerTable:
    """Accounts of all workers."""

    def __init__(self) -> None:
        self._accounts: dict[str, WorkerInfo] = {}
        self._counted: dict[str, Amounts] = {}
        self._total = NOTHING

    def __iter__(self) -> Iterator[WorkerInfo]:
        return iter(self._accounts.values())

    def __len__(self) -> int:
        return len(self._accounts)

    def get(self, worker: str) -> WorkerInfo | None:
        """Return the account of a worker, if there is one."""
        return self._accounts.get(worker)

    def add(self, message: cell_pb2.Worker) -> WorkerInfo:
        """Open an account."""
        worker_info = WorkerInfo(message)
        self._accounts[message.id] = worker_info
        self.count(worker_info)
        return worker_info

    def count(self, worker_info: WorkerInfo) -> None:
        """Take over into the total what a worker has now, nothing where it is lost."""
        worker = worker_info.message.id
        amounts = NOTHING if worker_info.message.lost else worker_info.capacity
        self._total += amounts - self._counted.get(worker, NOTHING)
        self._counted[worker] = amounts

    def reserve(self, worker: str, key: TaskKey, amounts: Amounts) -> None:
        """Reserve amounts for a task."""
        worker_info = self._accounts[worker]
        worker_info.used += amounts
        worker_info.tasks.add(key)

    def release(self, worker: str, key: TaskKey, amounts: Amounts) -> None:
        """Give back what a task held."""
        worker_info = self._accounts.get(worker)
        if worker_info is None or key not in worker_info.tasks:
            return
        worker_info.used -= amounts
        worker_info.tasks.remove(key)

    @property
    def total(self) -> Amounts:
        """Return what all workers that are not lost have together."""
        return self._total
