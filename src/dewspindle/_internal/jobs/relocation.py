"""Moves the starts of a planning round to workers on which the tasks are expected to end sooner.

The round is planned first as if all workers and neighbours were alike. A start only moves to
capacity that the whole round has left free, so that it takes nothing from any other start.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import replace

from ..models.ids import TaskKind
from ..models.resources import Amounts
from ..scheduling.job_placement import compute_max_free_fraction, pack_gang
from ..scheduling.slowdowns import Slowdowns
from .advice import AdviceClient
from .fleet import Fleet, FleetWorker
from .planning_round import PlannedStart, PlanningRound
from .runs import StepRun, UnitRun

# Step between two classes of speed, as a logarithm of the run time. The estimates of equal workers
# differ by less.
SPEED_CLASS_WIDTH = 0.3

CandidateLister = Callable[[StepRun, PlanningRound], list[FleetWorker]]
PenaltyGetter = Callable[[FleetWorker], float]


class RoundNeighbours:
    """Which kinds of tasks each worker runs or gets in a round, and the cost of one more."""

    def __init__(self, slowdowns: Slowdowns, round_: PlanningRound) -> None:
        self._slowdowns = slowdowns
        self._started: dict[str, Counter[TaskKind]] = {}
        for start in round_.starts:
            for worker_id in start.workers.values():
                kinds = self._started.setdefault(worker_id, Counter())
                kinds[start.unit.step.kind] += 1
        self._kinds: dict[str, Counter[TaskKind]] = {}
        self._costs: dict[TaskKind, dict[str, float]] = {}

    def get(self, worker: FleetWorker) -> Counter[TaskKind]:
        """Return the number of tasks on a worker by kind."""
        kinds = self._kinds.get(worker.id)
        if kinds is None:
            kinds = Counter(p.kind for p in worker.placements.values() if p.kind)
            kinds.update(self._started.get(worker.id, ()))
            self._kinds[worker.id] = kinds
        return kinds

    def get_others(self, worker: FleetWorker, kind: TaskKind, own_count: int) -> Counter[TaskKind]:
        """Return the tasks on a worker by kind, except for some of one kind."""
        kinds = self.get(worker).copy()
        kinds[kind] -= own_count
        return +kinds

    def get_costs(self, kind: TaskKind) -> dict[str, float]:
        """Return the known costs of one more task of a kind, by worker."""
        return self._costs.setdefault(kind, {})

    def compute_cost(self, kind: TaskKind, worker: FleetWorker) -> float:
        """Return the cost of one more task of a kind on a worker, and remember it."""
        needs_kinds = self._slowdowns.depends_on_neighbours(kind)
        kinds = self.get(worker) if needs_kinds else Counter()
        cost = self._slowdowns.compute_cost(kind, worker.id, kinds)
        self._costs.setdefault(kind, {})[worker.id] = cost
        return cost

    def move(self, kind: TaskKind, source: FleetWorker, target: FleetWorker, count: int) -> None:
        """Record that tasks of the round move to another worker."""
        self._kinds[source.id] = self.get_others(source, kind, count)
        self.get(target)[kind] += count
        for costs in self._costs.values():
            costs.pop(source.id, None)
            costs.pop(target.id, None)


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
        candidates: dict[tuple[str, int, int], list[FleetWorker]] = {}
        for number, start in enumerate(round_.starts):
            step = start.unit.step
            # Tasks under which workers crashed keep the workers that were chosen for that.
            if start.unit.is_suspect or not self._may_improve(start):
                continue
            if step.key not in candidates:
                candidates[step.key] = self._list_candidates(step, round_)
            usable = candidates[step.key]
            if step.message.gang:
                workers = self._relocate_gang(start, usable, round_, neighbours)
            else:
                workers = self._relocate_task(start, usable, round_, neighbours)
            if workers is not None:
                tickets = self._advice.get(step.key).select_tickets(workers.values())
                round_.starts[number] = replace(start, workers=workers, tickets=tickets)

    def _may_improve(self, start: PlannedStart) -> bool:
        """Return whether any other worker may be better than those of a start."""
        if self._slowdowns.depends_on_neighbours(start.unit.step.kind):
            return True
        speeds = self._slowdowns.speeds
        fastest = min((s.believed for s in speeds.believed.values()), default=0.0)
        slowest = max(map(speeds.get_believed, start.workers.values()))
        return slowest > min(0.0, fastest)

    def _get_worker(self, worker_id: str) -> FleetWorker:
        worker = self._fleet.get(worker_id)
        assert worker is not None
        return worker

    def _relocate_task(
        self,
        start: PlannedStart,
        candidates: list[FleetWorker],
        round_: PlanningRound,
        neighbours: RoundNeighbours,
    ) -> dict[int, str] | None:
        unit, step = start.unit, start.unit.step
        [(position, worker_id)] = start.workers.items()
        source = self._get_worker(worker_id)
        others = neighbours.get_others(source, step.kind, 1)
        source_cost = self._slowdowns.compute_cost(step.kind, source.id, others)
        full = self._list_full_workers(step, round_) if step.message.max_per_worker else ()
        best: FleetWorker | None = None
        source_free = round_.get_free(source) + step.amounts
        best_score = source_cost + self._score_fit(step, source, source_free)
        costs = neighbours.get_costs(step.kind)
        for worker in candidates:
            cost = costs.get(worker.id)
            if cost is None:
                cost = neighbours.compute_cost(step.kind, worker)
            if cost >= source_cost or worker is source:
                continue
            free = round_.get_free(worker)
            if not step.amounts.fits_in(free) or worker.id in full or worker.id in unit.avoided:
                continue
            score = cost + self._score_fit(step, worker, free)
            if score < best_score:
                best, best_score = worker, score
        if best is None:
            return None
        round_.move(source, best, step.amounts)
        neighbours.move(step.kind, source, best, 1)
        self._slowdowns.record_changed_placement(step.kind, others)
        return {position: best.id}

    def _score_fit(self, step: StepRun, worker: FleetWorker, free: Amounts) -> float:
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
        candidates: list[FleetWorker],
        round_: PlanningRound,
        neighbours: RoundNeighbours,
    ) -> dict[int, str] | None:
        """Move a gang to workers of one speed on which all its members end sooner, if they fit."""
        unit, step = start.unit, start.unit.step
        own = Counter(start.workers.values())
        others: dict[str, Counter[TaskKind]] = defaultdict(Counter)
        if self._slowdowns.depends_on_neighbours(step.kind):
            for worker in (*candidates, *map(self._get_worker, own)):
                others[worker.id] = neighbours.get_others(worker, step.kind, own[worker.id])

        def get_worst(workers: Iterable[str]) -> float:
            # All members wait for the one that takes longest.
            return max(self._slowdowns.compute_cost(step.kind, w, others[w]) for w in workers)

        best, lowest = own, get_worst(own)
        for group in self._group_for_gang(step, candidates, others):
            chosen = self._pack(step, unit, group, own, round_)
            worst = lowest if chosen is None else get_worst(chosen)
            if chosen is not None and worst < lowest:
                best, lowest = chosen, worst
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
            neighbours.move(step.kind, source, target, 1)
