"""Choice of the tasks to preempt for tasks that are more urgent or entitled by quota."""

from dataclasses import dataclass

from ..cell.state import CellState
from ..cell.worker_table import WorkerInfo
from ..models.enums import Priority
from ..models.resources import NO_RESOURCES, Amounts, make_amounts
from ..schema import cell_pb2
from ..schema.cell_pb2 import TASK_PENDING, TASK_PLACED, TASK_RUNNING, TASK_STOPPING
from .index import Candidate, CapacityIndex
from .teams import QuotaUsage

MAX_PREEMPTIONS_PER_TASK = 3
MAX_SCANNED_WORKERS = 128  # For one task; the next task's scan starts further on.


@dataclass(frozen=True, slots=True)
class Victims:
    """Tasks of one worker to preempt so that another task fits there.

    The cost consists of the highest rank of a victim, the number of victims and the number of
    their earlier preemptions, compared in this order.
    """

    worker: str
    tasks: tuple[cell_pb2.Assignment, ...]
    cost: tuple[int, int, int]


class Preemption:
    """Finds victims for tasks that fit on no worker."""

    def __init__(self, state: CellState, index: CapacityIndex, quota_usage: QuotaUsage) -> None:
        self._state = state
        self._index = index
        self._quota_usage = quota_usage
        self._offset = 0

    def find_victims(
        self,
        record: cell_pb2.Record,
        need: Amounts,
        *,
        earmarked: dict[str, Amounts],
    ) -> Victims | None:
        """Return the cheapest victims among the workers scanned, or None.

        `earmarked` is the capacity of each worker that is freed by earlier victims for other tasks.
        """
        best: Victims | None = None
        for candidate in self._scan(record):
            worker_info = self._state.worker_table.get(candidate.worker)
            if worker_info is None:
                continue
            available = candidate.free + self._sum_stopping(worker_info)
            available -= earmarked.get(candidate.worker, NO_RESOURCES)
            victims = self._choose_victims_on(worker_info, record, need, available)
            if victims is not None and (best is None or victims.cost < best.cost):
                best = victims
        return best

    def _scan(self, record: cell_pb2.Record) -> list[Candidate]:
        candidates = [
            candidate
            for candidate in self._index.iterate_all()
            if (not record.zones or candidate.zone in record.zones)
            and (not record.racks or candidate.rack in record.racks)
        ]
        if len(candidates) <= MAX_SCANNED_WORKERS:
            return candidates
        self._offset = (self._offset + MAX_SCANNED_WORKERS) % len(candidates)
        rotated = candidates[self._offset :] + candidates[: self._offset]
        return rotated[:MAX_SCANNED_WORKERS]

    def _sum_stopping(self, worker_info: WorkerInfo) -> Amounts:
        available = NO_RESOURCES
        for record_id, index in worker_info.tasks:
            task = self._state.records[record_id].tasks[index]
            if task.state == TASK_STOPPING:
                available += make_amounts(task.reserved)
        return available

    def _choose_victims_on(
        self,
        worker_info: WorkerInfo,
        record: cell_pb2.Record,
        need: Amounts,
        available: Amounts,
    ) -> Victims | None:
        if need.fits_in(available):
            # Tasks that are already stopping free enough capacity on this worker.
            return Victims(worker=worker_info.message.id, tasks=(), cost=(0, 0, 0))
        eligible = self._list_eligible(worker_info, record)
        chosen = []
        highest = 0
        for rank, _, _, victim, task in eligible:
            available += make_amounts(task.reserved)
            highest = max(highest, rank)
            chosen.append(
                cell_pb2.Assignment(
                    record=victim.id,
                    index=task.index,
                    epoch=task.epoch,
                    worker=worker_info.message.id,
                    why=f"made room for {record.priority} record {record.id}",
                )
            )
            if need.fits_in(available):
                cost = (highest, len(chosen), sum(item[1] for item in eligible[: len(chosen)]))
                return Victims(worker=worker_info.message.id, tasks=tuple(chosen), cost=cost)
        return None

    def _list_eligible(
        self, worker_info: WorkerInfo, record: cell_pb2.Record
    ) -> list[tuple[int, int, int, cell_pb2.Record, cell_pb2.Task]]:
        """Return the tasks that may be preempted for a record, cheapest first."""
        found = []
        for record_id, index in worker_info.tasks:
            victim = self._state.records[record_id]
            task = victim.tasks[index]
            if task.state not in (TASK_PLACED, TASK_RUNNING):
                continue
            if not victim.repeatable or task.preemptions >= MAX_PREEMPTIONS_PER_TASK:
                continue
            rank = self._rank_victim(victim, record)
            if rank is not None:
                started_ms = task.started_ms or task.placed_ms
                found.append((rank, task.preemptions, -started_ms, victim, task))
        found.sort(key=lambda item: (item[0], item[1], item[2], item[3].id, item[4].index))
        return found

    def _rank_victim(self, victim: cell_pb2.Record, record: cell_pb2.Record) -> int | None:
        """Return the cost rank of a victim, or None if it may not be preempted.

        The rank is 0 for a task of a team that borrows, else 1 for low and 2 for normal priority.
        """
        victim_priority = Priority(victim.priority)
        priority = Priority(record.priority)
        is_borrower = victim.team != record.team and self._quota_usage.is_borrowing(victim.team)
        if victim_priority.rank > priority.rank and priority is Priority.URGENT:
            return 0 if is_borrower else 3 - victim_priority.rank
        is_entitled = self._quota_usage.has_quota(
            record.team
        ) and not self._quota_usage.is_borrowing(record.team, make_amounts(record.resources))
        if is_borrower and is_entitled and victim_priority.rank >= priority.rank:
            return 0
        return None

    def find_shrink_victims(self, worker_info: WorkerInfo) -> list[cell_pb2.Assignment]:
        """Return the tasks to preempt on a worker whose free amounts are negative.

        They are if its capacity was reduced, or if it still runs tasks of older epochs (strays).
        """
        free_after_stops = worker_info.free
        victims = []
        tasks = sorted(worker_info.tasks)
        for record_id, index in tasks:
            if NO_RESOURCES.fits_in(free_after_stops):
                break
            record = self._state.records[record_id]
            task = record.tasks[index]
            if task.state == TASK_STOPPING:
                free_after_stops += make_amounts(task.reserved)
            elif record.repeatable and task.state != TASK_PENDING:
                free_after_stops += make_amounts(task.reserved)
                victims.append(
                    cell_pb2.Assignment(
                        record=record_id,
                        index=index,
                        epoch=task.epoch,
                        worker=worker_info.message.id,
                        why=f"worker {worker_info.message.id} lacks capacity for all its tasks",
                    )
                )
        return victims
