"""Index of what is free on the usable workers."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from sortedcontainers import SortedList

from ..cell.worker_table import WorkerInfo
from ..models.resources import Amounts


@dataclass(slots=True)
class Slot:
    """A usable worker and what the next placement may take of it."""

    worker: str
    zone: str
    rack: str
    free: Amounts
    capacity: Amounts
    is_probe: bool = False


class CapacityIndex:
    """Finds workers by how many processors are free, in each availability zone."""

    def __init__(self) -> None:
        self._slots: dict[str, Slot] = {}
        self._everywhere: SortedList = SortedList()
        self._by_zone: dict[str, SortedList] = {}
        self._with_accelerators: SortedList = SortedList()

    def __len__(self) -> int:
        return len(self._slots)

    @property
    def zones(self) -> list[str]:
        """Return the zones that have usable workers."""
        return [zone for zone, entries in self._by_zone.items() if entries]

    def get(self, worker: str) -> Slot | None:
        """Return a usable worker."""
        return self._slots.get(worker)

    def update(self, worker_info: WorkerInfo) -> None:
        """Take over what an account says of its worker."""
        message = worker_info.message
        self._remove(message.id)
        is_probe = message.quarantined and message.probing
        if message.lost or (message.quarantined and not is_probe):
            return
        if is_probe and worker_info.tasks:
            return
        slot = Slot(
            worker=message.id,
            zone=message.zone,
            rack=message.rack,
            free=worker_info.free,
            capacity=worker_info.capacity,
            is_probe=is_probe,
        )
        self._slots[message.id] = slot
        self._insert(slot)

    def _insert(self, slot: Slot) -> None:
        entries = self._by_zone.get(slot.zone)
        if entries is None:
            entries = self._by_zone[slot.zone] = SortedList()
        entry = (slot.free.processors, slot.worker)
        entries.add(entry)
        self._everywhere.add(entry)
        if slot.capacity.accelerators:
            self._with_accelerators.add((slot.free.accelerators, slot.worker))

    def _remove(self, worker: str) -> None:
        slot = self._slots.pop(worker, None)
        if slot is not None:
            self._withdraw(slot)

    def _withdraw(self, slot: Slot) -> None:
        entry = (slot.free.processors, slot.worker)
        self._by_zone[slot.zone].remove(entry)
        self._everywhere.remove(entry)
        if slot.capacity.accelerators:
            self._with_accelerators.remove((slot.free.accelerators, slot.worker))

    def take(self, worker: str, amounts: Amounts) -> None:
        """Count amounts as taken before the log has reserved them."""
        slot = self._slots[worker]
        self._withdraw(slot)
        slot.free -= amounts
        if slot.is_probe:
            del self._slots[worker]
            return
        self._insert(slot)

    def give_back(self, worker: str, amounts: Amounts) -> None:
        """Undo a `take`."""
        slot = self._slots.get(worker)
        if slot is None:
            return
        self._withdraw(slot)
        slot.free += amounts
        self._insert(slot)

    def iterate_tightest(self, need: Amounts, zone: str | None) -> Iterator[Slot]:
        """Yield the workers of one or all zones that hold a need, the least free first."""
        entries = self._everywhere if zone is None else self._by_zone.get(zone)
        if entries is None:
            return
        start = entries.bisect_left((need.processors, ""))
        for _, worker in entries.islice(start):
            slot = self._slots[worker]
            if need.fits_in(slot.free):
                yield slot

    def iterate_emptiest(self, need: Amounts, zone: str) -> Iterator[Slot]:
        """Yield the workers of a zone that hold a need, the most free processors first."""
        entries = self._by_zone.get(zone)
        if entries is None:
            return
        start = entries.bisect_left((need.processors, ""))
        for _, worker in entries.islice(start, reverse=True):
            slot = self._slots[worker]
            if need.fits_in(slot.free):
                yield slot

    def iterate_accelerated(self, need: Amounts) -> Iterator[Slot]:
        """Yield the workers that hold a need of accelerators, the least free ones first."""
        start = self._with_accelerators.bisect_left((need.accelerators, ""))
        for _, worker in self._with_accelerators.islice(start):
            slot = self._slots[worker]
            if need.fits_in(slot.free):
                yield slot

    def iterate_all(self) -> Iterator[Slot]:
        """Yield every usable worker."""
        yield from self._slots.values()


class SpreadCounts:
    """How many tasks of one record each zone, rack and worker holds."""

    def __init__(self) -> None:
        self.zones: Counter[str] = Counter()
        self.racks: Counter[str] = Counter()
        self.workers: Counter[str] = Counter()

    def add(self, slot: Slot) -> None:
        """Count one more task."""
        self.zones[slot.zone] += 1
        self.racks[slot.rack] += 1
        self.workers[slot.worker] += 1
