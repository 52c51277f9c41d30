"""Moves the starts of a planning round to workers on which the tasks are expected to end sooner.

The round is planned first as if all workers and neighbours were alike. A start only moves to
capacity that the whole round has left free, so that it takes nothing from any other start.
"""

import heapq
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import replace
from itertools import islice

from ..models.ids import TaskKind
from ..models.resources import Amounts
from ..scheduling.job_placement import compute_max_free_fraction, pack_gang
from ..scheduling.slowdowns import TIME_COST_WEIGHT, Slowdowns
from .advice import AdviceClient, StepKey
from .fleet import Fleet
from .fleet_worker import FleetWorker
from .planning_round import PlannedStart, PlanningRound
from .runs import StepRun, UnitRun

# Step between two classes of speed, as a logarithm of the run time. The estimates of equal workers
# differ by less.
SPEED_CLASS_WIDTH = 0.3

# Smaller gains are within the error of what is learnt: a tenth of the estimate of a task.
MIN_GAIN = 0.1 * TIME_COST_WEIGHT
# Workers that are passed over for one task, as it may not run there or gains too little.
MAX_PASSED_TARGETS = 16
# Workers with the lowest cost on which a step fits. Of so many, one is a good fit as well.
MAX_TARGETS = 32

CandidateLister = Callable[[StepRun, PlanningRound], list[FleetWorker]]
PenaltyGetter = Callable[[FleetWorker], float]


class RoundNeighbours:
    """Which kinds of tasks each worker runs or gets in a round, and the cost of one more."""

    def __init__(self, slowdowns: Slowdowns, round_: PlanningRound) -> None:
        self._slowdowns = slowdowns
        self._kinds: dict[str, Counter[TaskKind]] = {}  # Of workers with starts in the round.
        self._costs: dict[TaskKind, dict[str, float]] = {}
        self._sorted: dict[TaskKind, list[FleetWorker]] = {}
        self._related: dict[TaskKind, frozenset[TaskKind]] = {}
        self._speed_costs = slowdowns.compute_speed_costs()
        for start in round_.starts:
            for worker_id in start.workers.values():
                kinds = self._kinds.setdefault(worker_id, Counter())
                kinds[start.unit.step.kind] += 1
        self._is_complete: set[str] = set()  # Workers whose running tasks are counted, too.

    def get(self, worker: FleetWorker) -> Counter[TaskKind]:
        """Return the number of tasks on a worker by kind, not to be changed."""
        kinds = self._kinds.get(worker.id)
        if kinds is None:
            return worker.kinds
        if worker.id not in self._is_complete:
            kinds.update(worker.kinds)
            self._is_complete.add(worker.id)
        return kinds

    def get_others(self, worker: FleetWorker, kind: TaskKind, own_count: int) -> Counter[TaskKind]:
        """Return the tasks on a worker by kind, except for some of one kind."""
        kinds = self.get(worker).copy()
        kinds[kind] -= own_count
        return +kinds

    def _get_related(self, kind: TaskKind) -> frozenset[TaskKind]:
        related = self._related.get(kind)
        if related is None:
            related = self._related[kind] = self._slowdowns.list_related(kind)
        return related

    def compute_cost(self, kind: TaskKind, worker: FleetWorker) -> float:
        """Return the cost of one more task of a kind on a worker."""
        costs = self._costs.get(kind)
        if costs is None:
            costs = self._costs[kind] = {}
        cost = costs.get(worker.id)
        if cost is None:
            kinds = self.get(worker)
            if self._get_related(kind).isdisjoint(kinds):
                cost = self._speed_costs.get(worker.id, 0.0)
            else:
                cost = self._slowdowns.compute_cost(kind, worker.id, kinds)
            costs[worker.id] = cost
        return cost

    def sort_workers(self, kind: TaskKind, fleet: Fleet) -> list[FleetWorker]:
        """Return all workers by the cost of one more task of a kind, as it was at first."""
        workers = self._sorted.get(kind)
        if workers is None:
            workers = sorted(fleet, key=lambda worker: self.compute_cost(kind, worker))
            self._sorted[kind] = workers
        return workers

    def move(self, kind: TaskKind, source: FleetWorker, target: FleetWorker) -> None:
        """Record that a task of the round moves to another worker."""
        self._kinds[source.id] = self.get_others(source, kind, 1)
        self._kinds[target.id] = self.get(target).copy()
        self._kinds[target.id][kind] += 1
        self._is_complete.update((source.id, target.id))
        for costs in self._costs.values():
            costs.pop(source.id, None)
            costs.pop(target.id, None)


class StepTargets:
    """Workers to which tasks of one step may move, those with the lowest score first.

    Scores that other moves have changed are corrected when a worker comes first.
    """

    def __init__(
        self, candidates: list[FleetWorker], *, score: Callable[[FleetWorker], float | None]
    ) -> None:
        self._candidates = candidates
        self._score = score
        self._heap: list[tuple[float, int]] = []
        for number, worker in enumerate(candidates):
            value = score(worker)
            if value is not None:
                self._heap.append((value, number))
        heapq.heapify(self._heap)

    def find(
        self, below: float, *, is_allowed: Callable[[FleetWorker], bool]
    ) -> FleetWorker | None:
        """Return the first allowed worker with a lower score than a value, or None."""
        passed: list[tuple[float, int]] = []
        found = None
        while self._heap and self._heap[0][0] < below and len(passed) < MAX_PASSED_TARGETS:
            value, number = heapq.heappop(self._heap)
            worker = self._candidates[number]
            current = self._score(worker)
            if current is None:
                continue
            if current > value:
                heapq.heappush(self._heap, (current, number))
                continue
            passed.append((current, number))
            if is_allowed(worker):
                found = worker
                break
        for entry in passed:
            heapq.heappush(self._heap, entry)
        return found


class StartRelocator:
    """Reduces the cost in time of the starts of each round."""

    def __init__(
        self,
        slowdowns: Slowdowns,
        *,
        fleet: Fleet,
        advice: AdviceClient,
        list_candidates: CandidateLister,
        get_penalty: PenaltyGetter,
    ) -> None:
        self._slowdowns = slowdowns
        self._fleet = fleet
        self._advice = advice
        self._list_candidates = list_candidates
        self._get_penalty = get_penalty

    def relocate(self, round_: PlanningRound) -> None:
        """Move the starts of a round; without beliefs, each stays where it is."""
        if not self._slowdowns.has_beliefs or not round_.starts:
            return
        self._slowdowns.fade()
        neighbours = RoundNeighbours(self._slowdowns, round_)
        targets: dict[StepKey, StepTargets] = {}
        lowest = self._slowdowns.compute_lowest_cost()
        for number, start in enumerate(round_.starts):
            step = start.unit.step
            # Tasks under which workers crashed keep the workers that were chosen for that.
            if start.unit.is_suspect:
                continue
            if step.message.gang:
                workers = self._relocate_gang(start, round_, neighbours, lowest)
            else:
                workers = self._relocate_task(start, round_, neighbours, lowest, targets)
            if workers is not None:
                tickets = self._advice.get(step.key).select_tickets(workers.values())
                round_.starts[number] = replace(start, workers=workers, tickets=tickets)

    def _get_worker(self, worker_id: str) -> FleetWorker:
        worker = self._fleet.get(worker_id)
        assert worker is not None
        return worker

    def _relocate_task(
        self,
        start: PlannedStart,
        round_: PlanningRound,
        neighbours: RoundNeighbours,
        lowest: float,
        targets: dict[StepKey, StepTargets],
    ) -> dict[int, str] | None:
        unit, step = start.unit, start.unit.step
        [(position, worker_id)] = start.workers.items()
        source = self._get_worker(worker_id)
        others = neighbours.get_others(source, step.kind, 1)
        highest = self._slowdowns.compute_cost(step.kind, source.id, others) - MIN_GAIN
        if highest < lowest:
            return None
        full = self._list_full_workers(step, round_) if step.message.max_per_worker else ()

        def score(worker: FleetWorker) -> float | None:
            fit = self._score_fit(step, worker, round_.get_free(worker))
            return None if fit is None else fit + neighbours.compute_cost(step.kind, worker)

        if step.key not in targets:
            candidates = set(self._list_candidates(step, round_))
            fitting = (
                worker
                for worker in neighbours.sort_workers(step.kind, self._fleet)
                if worker in candidates and step.amounts.fits_in(round_.get_free(worker))
            )
            targets[step.key] = StepTargets(list(islice(fitting, MAX_TARGETS)), score=score)
        fit = self._score_fit(step, source, round_.get_free(source) + step.amounts)
        assert fit is not None
        target = targets[step.key].find(
            fit + highest,
            is_allowed=lambda worker: (
                neighbours.compute_cost(step.kind, worker) <= highest
                and worker is not source
                and worker.id not in full
                and worker.id not in unit.avoided
            ),
        )
        if target is None:
            return None
        round_.move(source, target, step.amounts)
        neighbours.move(step.kind, source, target)
        self._slowdowns.record_changed_placement(step.kind, others)
        return {position: target.id}

    def _score_fit(self, step: StepRun, worker: FleetWorker, free: Amounts) -> float | None:
        """Return the score without the cost in time, or None if a task does not fit."""
        if not step.amounts.fits_in(free):
            return None
        fraction = compute_max_free_fraction(step.amounts, free, worker.capacity)
        return self._get_penalty(worker) + fraction

    @staticmethod
    def _list_full_workers(step: StepRun, round_: PlanningRound) -> set[str]:
        """Return the workers that have as many tasks of a step as they may."""
        counts = Counter(
            placement.worker.id
            for unit in step.units.values()
            for placement in unit.placements.values()
        )
        for start in round_.starts:
            if start.unit.step is step:
                counts.update(start.workers.values())
        return {worker for worker, n in counts.items() if n >= step.message.max_per_worker}

    def _relocate_gang(
        self,
        start: PlannedStart,
        round_: PlanningRound,
        neighbours: RoundNeighbours,
        lowest: float,
    ) -> dict[int, str] | None:
        """Move a gang to workers of one speed on which all its members end sooner, if they fit."""
        unit, step = start.unit, start.unit.step
        own = Counter(start.workers.values())
        depends_on_neighbours = bool(self._slowdowns.list_related(step.kind))
        speed_cost = max(self._slowdowns.compute_cost(step.kind, w, {}) for w in own)
        if not depends_on_neighbours and speed_cost - MIN_GAIN < lowest:
            return None
        candidates = self._list_candidates(step, round_)
        others: dict[str, Counter[TaskKind]] = defaultdict(Counter)
        if depends_on_neighbours:
            for worker in (*candidates, *map(self._get_worker, own)):
                others[worker.id] = neighbours.get_others(worker, step.kind, own[worker.id])

        def get_worst(workers: Iterable[str]) -> float:
            # All members wait for the one that takes longest.
            return max(self._slowdowns.compute_cost(step.kind, w, others[w]) for w in workers)

        best, best_cost = own, get_worst(own) - MIN_GAIN
        for group in self._group_for_gang(step, candidates, others):
            chosen = self._pack(step, unit, group, own, round_)
            if chosen is None:
                continue
            cost = get_worst(chosen)
            if cost < best_cost:
                best, best_cost = chosen, cost
        if best is own:
            return None
        self._move_gang(step, own, best, round_, neighbours)
        for worker_id in own - best:
            self._slowdowns.record_changed_placement(step.kind, others[worker_id])
        return dict(zip(unit.unit.positions, best.elements(), strict=True))

    def _group_for_gang(
        self,
        step: StepRun,
        candidates: list[FleetWorker],
        others: dict[str, Counter[TaskKind]],
    ) -> list[list[FleetWorker]]:
        """Return the workers of each class of speed, first those without bad neighbours."""
        bad = {
            worker.id
            for worker in candidates
            if self._slowdowns.has_bad_neighbours(step.kind, others[worker.id])
        }
        groups = []
        for workers in ([w for w in candidates if w.id not in bad], candidates if bad else []):
            by_class: dict[int, list[FleetWorker]] = {}
            for worker in workers:
                believed = self._slowdowns.speeds.get_believed(worker.id)
                by_class.setdefault(round(believed / SPEED_CLASS_WIDTH), []).append(worker)
            groups += [by_class[speed] for speed in sorted(by_class)]
        return groups

    @staticmethod
    def _pack(
        step: StepRun,
        unit: UnitRun,
        workers: list[FleetWorker],
        own: Counter[str],
        round_: PlanningRound,
    ) -> Counter[str] | None:
        return pack_gang(
            step.amounts,
            unit.unit.size,
            [(w.id, round_.get_free(w) + step.amounts * own[w.id]) for w in workers],
            limit_per_worker=step.message.max_per_worker,
        )

    def _move_gang(
        self,
        step: StepRun,
        own: Counter[str],
        chosen: Counter[str],
        round_: PlanningRound,
        neighbours: RoundNeighbours,
    ) -> None:
        sources = (own - chosen).elements()
        targets = (chosen - own).elements()
        for source_id, target_id in zip(sources, targets, strict=True):
            source, target = self._get_worker(source_id), self._get_worker(target_id)
            round_.move(source, target, step.amounts)
            neighbours.move(step.kind, source, target)
