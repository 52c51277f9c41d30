"""Placement policies, one for each kind of work, and their registry."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from functools import partial
from itertools import chain, islice

from ..models.enums import Objective, RecordKind
from ..models.resources import Amounts
from .index import Candidate, CapacityIndex, SpreadCounts

MAX_CANDIDATES = 12  # Scored for one task; twice as many for a task of a service.


@dataclass(slots=True)
class PlacementRequest:
    """Requirements of one task to be placed."""

    need: Amounts
    zones: tuple[str, ...]
    racks: tuple[str, ...]
    spread: str
    objective: Objective
    counts: SpreadCounts
    is_allowed: Callable[[Candidate], bool] | None = None


@dataclass(frozen=True, slots=True)
class Choice:
    """The worker chosen for a task, and why."""

    candidate: Candidate
    why: str


class Policy(ABC):
    """Strategy that chooses a worker for one task."""

    @abstractmethod
    def choose(self, index: CapacityIndex, request: PlacementRequest) -> Choice | None:
        """Return the choice, or None if the task fits on no usable worker."""


_POLICIES: dict[RecordKind, Policy] = {}


def policy(kind: RecordKind) -> Callable[[type[Policy]], type[Policy]]:
    """Register the policy class for a kind of work."""

    def register(cls: type[Policy]) -> type[Policy]:
        _POLICIES[kind] = cls()
        return cls

    return register


def get_policy(kind: RecordKind) -> Policy:
    """Return the policy for a kind of work."""
    return _POLICIES[kind]


def get_allowed_zones(index: CapacityIndex, request: PlacementRequest) -> list[str]:
    """Return the zones of the index that a request allows."""
    if not request.zones:
        return index.zones
    return [zone for zone in index.zones if zone in request.zones]


def _filter(candidates: Iterable[Candidate], request: PlacementRequest) -> Iterator[Candidate]:
    is_allowed = request.is_allowed
    for candidate in candidates:
        if request.racks and candidate.rack not in request.racks:
            continue
        if is_allowed is None or is_allowed(candidate):
            yield candidate


def _find_accelerated(index: CapacityIndex, request: PlacementRequest) -> Choice | None:
    zones = get_allowed_zones(index, request)
    for candidate in _filter(index.iterate_accelerated(request.need), request):
        if candidate.zone in zones:
            return Choice(candidate=candidate, why="fewest free accelerators that hold it")
    return None


def _score_fit(need: Amounts, candidate: Candidate) -> float:
    """Return the score of a worker; lower is better.

    It grows with the imbalance of free processors and memory after the placement and with the
    smaller of their free fractions.
    """
    free, capacity = candidate.free, candidate.capacity
    processors = (free.processors - need.processors) / (capacity.processors or 1)
    memory = (free.memory_mb - need.memory_mb) / (capacity.memory_mb or 1)
    # Workers without accelerators come first, to keep accelerators free for tasks that need them.
    accelerators = 2.0 if capacity.accelerators and not need.accelerators else 0.0
    return abs(processors - memory) + min(processors, memory) + accelerators


@policy(RecordKind.BATCH)
class BatchPolicy(Policy):
    """Best-fit placement over all allowed zones."""

    def choose(self, index: CapacityIndex, request: PlacementRequest) -> Choice | None:
        """Return the choice, or None if the task fits on no usable worker."""
        if request.need.accelerators:
            return _find_accelerated(index, request)
        zones = get_allowed_zones(index, request) if request.zones else [None]
        fitting = chain.from_iterable(index.iterate_tightest(request.need, z) for z in zones)
        candidates = islice(_filter(fitting, request), MAX_CANDIDATES)
        best = min(candidates, key=partial(_score_fit, request.need), default=None)
        if best is None:
            return None
        return Choice(candidate=best, why=f"tightest fit, {best.free.processors} millicores free")


@policy(RecordKind.GANG)
class GangPolicy(BatchPolicy):
    """Places each task of a gang as a batch task; the planner places all of them or none."""


@policy(RecordKind.SERVICE)
class ServicePolicy(Policy):
    """Spreads the tasks of a service over zones, then racks, then workers."""

    def choose(self, index: CapacityIndex, request: PlacementRequest) -> Choice | None:
        """Return the choice, or None if the task fits on no usable worker."""
        if request.need.accelerators:
            return _find_accelerated(index, request)
        counts = request.counts
        for zone in sorted(get_allowed_zones(index, request), key=lambda z: (counts.zones[z], z)):
            best = self._choose_in_zone(index, request, zone)
            if best is not None:
                return Choice(
                    candidate=best,
                    why=f"zone {zone} holds {counts.zones[zone]} of its tasks, "
                    f"rack {best.rack} {counts.racks[best.rack]}",
                )
        return None

    def _choose_in_zone(
        self, index: CapacityIndex, request: PlacementRequest, zone: str
    ) -> Candidate | None:
        counts = request.counts
        is_packing = request.objective is Objective.PACKING
        iterate = index.iterate_tightest if is_packing else index.iterate_emptiest
        candidates = islice(_filter(iterate(request.need, zone), request), MAX_CANDIDATES * 2)
        return min(
            candidates,
            key=lambda candidate: (
                counts.racks[candidate.rack] if request.spread != "none" else 0,
                counts.workers[candidate.worker],
                _score_fit(request.need, candidate),
            ),
            default=None,
        )
