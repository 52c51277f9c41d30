"""Index of the free capacity of usable workers."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from sortedcontainers import SortedList

from ..cell.worker_table import WorkerInfo
from ..models.resources import Amounts


@dataclass(slots=True)
class Candidate:
    """A usable worker with its total capacity and the part that is free for placements.

    `is_probe` is set for a worker on probation, which takes a single task.
    """

    worker: str
    zone: str
    rack: str
    free: Amounts
    capacity: Amounts
    is_probe: bool = False


class CapacityIndex:
    """Usable workers ordered by free processors, in all and by availability zone."""

    def __init__(self) -> None:
        self._candidates: dict[str, Candidate] = {}
        self._all_entries: SortedList = SortedList()
        self._by_zone: dict[str, SortedList] = {}
        self._with_accelerators: SortedList = SortedList()
        # Workers on probation whose single task is planned, by worker.
        self._planned_probes: dict[str, Candidate] = {}

    def __len__(self) -> int:
        return len(self._candidates)

    @property
    def zones(self) -> list[str]:
        """Return the availability zones that have usable workers."""
        return [zone for zone, entries in self._by_zone.items() if entries]

    def get(self, worker: str) -> Candidate | None:
        """Return the candidate for a worker, or None if the worker is not usable."""
        return self._candidates.get(worker)

    def update(self, worker_info: WorkerInfo) -> None:
        """Update a worker's entry, or remove it if no task may be placed on the worker."""
        message = worker_info.message
        self._remove(message.id)
        self._planned_probes.pop(message.id, None)
        is_probe = message.quarantined and message.probing
        if message.lost or (message.quarantined and not is_probe):
            return
        if is_probe and worker_info.tasks:
            return
        candidate = Candidate(
            worker=message.id,
            zone=message.zone,
            rack=message.rack,
            free=worker_info.free,
            capacity=worker_info.capacity,
            is_probe=is_probe,
        )
        self._candidates[message.id] = candidate
        self._add_entries(candidate)

    def _add_entries(self, candidate: Candidate) -> None:
        entries = self._by_zone.get(candidate.zone)
        if entries is None:
            entries = self._by_zone[candidate.zone] = SortedList()
        entry = (candidate.free.processors, candidate.worker)
        entries.add(entry)
        self._all_entries.add(entry)
        if candidate.capacity.accelerators:
            self._with_accelerators.add((candidate.free.accelerators, candidate.worker))

    def _remove(self, worker: str) -> None:
        candidate = self._candidates.pop(worker, None)
        if candidate is not None:
            self._remove_entries(candidate)

    def _remove_entries(self, candidate: Candidate) -> None:
        entry = (candidate.free.processors, candidate.worker)
        self._by_zone[candidate.zone].remove(entry)
        self._all_entries.remove(entry)
        if candidate.capacity.accelerators:
            self._with_accelerators.remove((candidate.free.accelerators, candidate.worker))

    def allocate(self, worker: str, amounts: Amounts) -> None:
        """Subtract amounts planned for a worker, before the command that reserves them is applied.

        A worker on probation takes one task only, so it leaves the index.
        """
        candidate = self._candidates[worker]
        self._remove_entries(candidate)
        candidate.free -= amounts
        if candidate.is_probe:
            self._planned_probes[worker] = self._candidates.pop(worker)
            return
        self._add_entries(candidate)

    def release(self, worker: str, amounts: Amounts) -> None:
        """Undo an `allocate`; do nothing for a worker that is no longer usable."""
        candidate = self._planned_probes.pop(worker, None)
        if candidate is not None:
            self._candidates[worker] = candidate
        else:
            candidate = self._candidates.get(worker)
            if candidate is None:
                return
            self._remove_entries(candidate)
        candidate.free += amounts
        self._add_entries(candidate)

    def iterate_tightest(self, need: Amounts, zone: str | None) -> Iterator[Candidate]:
        """Yield the workers of one or all zones that fit a need, fewest free processors first."""
        entries = self._all_entries if zone is None else self._by_zone.get(zone)
        if entries is None:
            return
        start = entries.bisect_left((need.processors, ""))
        for _, worker in entries.islice(start):
            candidate = self._candidates[worker]
            if need.fits_in(candidate.free):
                yield candidate

    def iterate_emptiest(self, need: Amounts, zone: str) -> Iterator[Candidate]:
        """Yield the workers of a zone that fit a need, most free processors first."""
        entries = self._by_zone.get(zone)
        if entries is None:
            return
        start = entries.bisect_left((need.processors, ""))
        for _, worker in entries.islice(start, reverse=True):
            candidate = self._candidates[worker]
            if need.fits_in(candidate.free):
                yield candidate

    def iterate_accelerated(self, need: Amounts) -> Iterator[Candidate]:
        """Yield the workers that fit a need, fewest free accelerators first."""
        start = self._with_accelerators.bisect_left((need.accelerators, ""))
        for _, worker in self._with_accelerators.islice(start):
            candidate = self._candidates[worker]
            if need.fits_in(candidate.free):
                yield candidate

    def iterate_all(self) -> Iterator[Candidate]:
        """Yield every usable worker."""
        yield from self._candidates.values()


class SpreadCounts:
    """Number of tasks of one record in each zone and rack and on each worker."""

    def __init__(self) -> None:
        self.zones: Counter[str] = Counter()
        self.racks: Counter[str] = Counter()
        self.workers: Counter[str] = Counter()

    def add(self, candidate: Candidate) -> None:
        """Count one more task on a worker."""
        self.zones[candidate.zone] += 1
        self.racks[candidate.rack] += 1
        self.workers[candidate.worker] += 1
