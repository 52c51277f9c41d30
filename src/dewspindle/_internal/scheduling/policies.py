"""Registry of placement policies, one for each kind of work."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from functools import partial
from itertools import chain, islice

from ..models.enums import Objective, RecordKind
from ..models.resources import Amounts
from .index import CapacityIndex, Slot, SpreadCounts

CANDIDATES = 12  # Workers that are scored for one task.


@dataclass(slots=True)
class Request:
    """One task that asks for a worker."""

    need: Amounts
    zones: tuple[str, ...]
    racks: tuple[str, ...]
    spread: str
    objective: Objective
    counts: SpreadCounts
    is_allowed: Callable[[Slot], bool] | None = None


@dataclass(frozen=True, slots=True)
class Choice:
    """The worker chosen for a task, and why."""

    slot: Slot
    why: str


class Policy(ABC):
    """Chooses a worker for one task."""

    @abstractmethod
    def choose(self, index: CapacityIndex, request: Request) -> Choice | None:
        """Return the choice, or None where no usable worker holds the task."""


_POLICIES: dict[RecordKind, Policy] = {}


def policy(kind: RecordKind) -> Callable[[type[Policy]], type[Policy]]:
    """Register the class that places a kind of work."""

    def register(cls: type[Policy]) -> type[Policy]:
        _POLICIES[kind] = cls()
        return cls

    return register


def get_policy(kind: RecordKind) -> Policy:
    """Return the policy for a kind of work."""
    return _POLICIES[kind]


def get_zones(index: CapacityIndex, request: Request) -> list[str]:
    """Return the zones that a request allows."""
    if not request.zones:
        return index.zones
    return [zone for zone in index.zones if zone in request.zones]


def _filter(slots: Iterable[Slot], request: Request) -> Iterator[Slot]:
    is_allowed = request.is_allowed
    for slot in slots:
        if request.racks and slot.rack not in request.racks:
            continue
        if is_allowed is None or is_allowed(slot):
            yield slot


def _find_accelerated(index: CapacityIndex, request: Request) -> Choice | None:
    zones = get_zones(index, request)
    for slot in _filter(index.iterate_accelerated(request.need), request):
        if slot.zone in zones:
            return Choice(slot=slot, why="fewest free accelerators that hold it")
    return None


def _score_leftover(need: Amounts, slot: Slot) -> float:
    """Return how lopsided a worker is left: its scarcest free share beside its largest."""
    free, capacity = slot.free, slot.capacity
    processors = (free.processors - need.processors) / (capacity.processors or 1)
    memory = (free.memory_mb - need.memory_mb) / (capacity.memory_mb or 1)
    # Plain workers go first, so that accelerators stay free for those who need them.
    accelerators = 2.0 if capacity.accelerators and not need.accelerators else 0.0
    return abs(processors - memory) + min(processors, memory) + accelerators


@policy(RecordKind.BATCH)
class BatchPolicy(Policy):
    """Fills the tightest worker that holds the task, in whichever zone."""

    def choose(self, index: CapacityIndex, request: Request) -> Choice | None:
        """Return the choice, or None where no usable worker holds the task."""
        if request.need.accelerators:
            return _find_accelerated(index, request)
        zones = get_zones(index, request) if request.zones else [None]
        slots = chain.from_iterable(index.iterate_tightest(request.need, z) for z in zones)
        candidates = islice(_filter(slots, request), CANDIDATES)
        best = min(candidates, key=partial(_score_leftover, request.need), default=None)
        if best is None:
            return None
        return Choice(slot=best, why=f"tightest fit, {best.free.processors} millicores free")


@policy(RecordKind.GANG)
class GangPolicy(BatchPolicy):
    """Places each task of a gang as a batch task; the scheduler sees that all fit."""


@policy(RecordKind.SERVICE)
class ServicePolicy(Policy):
    """Spreads a service's tasks over zones, then racks, then workers."""

    def choose(self, index: CapacityIndex, request: Request) -> Choice | None:
        """Return the choice, or None where no usable worker holds the task."""
        if request.need.accelerators:
            return _find_accelerated(index, request)
        counts = request.counts
        for zone in sorted(get_zones(index, request), key=lambda z: (counts.zones[z], z)):
            best = self._choose_in_zone(index, request, zone)
            if best is not None:
                return Choice(
                    slot=best,
                    why=f"zone {zone} holds {counts.zones[zone]} of its tasks, "
                    f"rack {best.rack} {counts.racks[best.rack]}",
                )
        return None

    def _choose_in_zone(self, index: CapacityIndex, request: Request, zone: str) -> Slot | None:
        counts = request.counts
        is_packing = request.objective is Objective.PACKING
        iterate = index.iterate_tightest if is_packing else index.iterate_emptiest
        candidates = islice(_filter(iterate(request.need, zone), request), CANDIDATES * 2)
        return min(
            candidates,
            key=lambda slot: (
                counts.racks[slot.rack] if request.spread != "none" else 0,
                counts.workers[slot.worker],
                _score_leftover(request.need, slot),
            ),
            default=None,
        )
