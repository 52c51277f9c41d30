"""What the leader has learnt about slow workers and interfering tasks, and what it costs in time.

Answers uneven workers and interference at once, as each would be taken for the other: a run time is
explained by the worker's speed, the neighbours' effects and the rest, from which both learn.
"""

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from ..models.ids import TaskKind
from ..utils.logs import get_logger
from ..utils.metrics import Metrics
from ..utils.timers import TimerService
from .interference import InterferenceModel
from .run_times import Comparison, IgnoredRunTime, RunTime, StepComparer
from .worker_speeds import WorkerSpeeds

# A task that takes twice as long is as bad as a worse fit by half a worker. Best fit keeps room for
# wide gangs, so that it must not be outweighed by small differences.
TIME_COST_WEIGHT = 0.5
# Limits of the extra time as a fraction of the estimate. The cost stays below the penalty of a
# worker that is set aside for a gang.
MIN_EXTRA, MAX_EXTRA = -0.5, 1.5

logger = get_logger(__name__)


@dataclass(frozen=True, slots=True)
class PairDescription:
    """A pair of kinds of which one is believed to slow the other down."""

    slowed: TaskKind
    neighbour: TaskKind
    factor: float  # By which the run time grows.
    samples: float  # Recent run times beside the neighbour.
    age_s: float  # Of the belief.
    last_sample_age_s: float
    changed_placements: int


@dataclass(frozen=True, slots=True)
class WorkerDescription:
    """A worker that is believed to be slower or faster than is usual."""

    worker: str
    factor: float  # By which run times grow there; below 1 on a fast worker.
    samples: float
    last_sample_age_s: float


@dataclass(frozen=True, slots=True)
class SlowdownsDescription:
    """All that is believed at one time."""

    is_enabled: bool
    pairs: list[PairDescription]
    workers: list[WorkerDescription]
    changed_placements: int  # Since the leader began, for all reasons.


def _limit_cost(extra: float) -> float:
    return TIME_COST_WEIGHT * max(MIN_EXTRA, min(MAX_EXTRA, extra))


class Slowdowns:
    """Speeds of workers and effects of neighbours, learnt from the ends of tasks.

    A new leader knows nothing, and then chooses workers as if there were no differences.
    """

    def __init__(
        self, *, timers: TimerService, metrics: Metrics | None = None, is_enabled: bool = True
    ) -> None:
        self._timers = timers
        self._metrics = metrics
        self._is_enabled = is_enabled
        self._speeds = WorkerSpeeds()
        self._pairs = InterferenceModel(on_change=self._count_belief)
        self._steps = StepComparer(model=self)
        self._changed_placements = 0

    @property
    def is_enabled(self) -> bool:
        """Return whether run times are learnt from."""
        return self._is_enabled

    @property
    def speeds(self) -> WorkerSpeeds:
        """Return the speeds of the workers."""
        return self._speeds

    @property
    def pairs(self) -> InterferenceModel:
        """Return the effects of neighbours."""
        return self._pairs

    @property
    def has_beliefs(self) -> bool:
        """Return whether anything is believed that may change a choice."""
        return bool(self._speeds.believed) or self._pairs.has_beliefs

    def record(self, run_time: RunTime) -> None:
        """Learn from the end of a task."""
        if not self._is_enabled:
            return
        if not run_time.is_valid:
            logger.warning("malformed run time ignored", run_time=str(run_time)[:200])
            self.count_ignored(IgnoredRunTime.MALFORMED)
            return
        now = self._timers.now()
        for comparison in self._steps.add(run_time, now):
            self._learn(comparison, now)

    def count_ignored(self, why: IgnoredRunTime) -> None:
        """Count an end of a task that teaches nothing."""
        if self._metrics is not None:
            self._metrics.count("dewspindle_run_times_ignored", reason=why.value)

    def estimate_slowness(self, worker: str) -> float:
        """Return what a worker adds to a run time, as a logarithm."""
        return self._speeds.estimate(worker, self._timers.now())

    def estimate_effect(self, kind: TaskKind, exposure: Mapping[TaskKind, float]) -> float:
        """Return what neighbours add to a run time, as a logarithm."""
        return self._pairs.estimate(kind, exposure)

    def _learn(self, comparison: Comparison, now: float) -> None:
        run, exposure = comparison.run_time, comparison.exposure
        slowness = self.estimate_slowness(run.worker)
        effect = self.estimate_effect(run.kind, exposure)
        self._speeds.record(run.worker, comparison.excess - effect, now)
        self._pairs.record(
            run.kind,
            worker=run.worker,
            exposure=exposure,
            residual=comparison.excess - effect - slowness,
            now=now,
        )

    def _count_belief(self, is_believed: bool) -> None:
        if self._metrics is not None:
            change = "came" if is_believed else "went"
            self._metrics.count("dewspindle_interference_beliefs", change=change)

    def fade(self) -> None:
        """Drop beliefs that stand for too few recent tasks."""
        now = self._timers.now()
        self._speeds.fade(now)
        self._pairs.fade(now)

    def compute_lowest_cost(self) -> float:
        """Return the lowest cost of any placement, which is one on the fastest worker."""
        fastest = min((s.believed for s in self._speeds.believed.values()), default=0.0)
        return _limit_cost(math.exp(min(0.0, fastest)) - 1.0)

    def compute_speed_costs(self) -> dict[str, float]:
        """Return the cost of a placement without neighbours on each worker that is not usual."""
        return {
            worker: _limit_cost(math.exp(speed.believed) - 1.0)
            for worker, speed in self._speeds.believed.items()
        }

    def list_related(self, kind: TaskKind) -> frozenset[TaskKind]:
        """Return the kinds that are believed to slow a kind or to be slowed by it."""
        return frozenset((*self._pairs.get_slowed_by(kind), *self._pairs.get_slows(kind)))

    def compute_cost(
        self, kind: TaskKind, worker: str, neighbours: Mapping[TaskKind, int]
    ) -> float:
        """Return the cost of a placement, to be added to the score of the fit.

        It stands for the extra time of the task and of its neighbours.
        """
        log_factor = self._speeds.get_believed(worker)
        slowed_by = self._pairs.get_slowed_by(kind)
        for other, pair in slowed_by.items():
            if other in neighbours:
                log_factor += pair.believed
        extra = math.exp(log_factor) - 1.0
        # Neighbours that already are beside the kind are not slowed down more.
        if not neighbours.get(kind):
            for other, pair in self._pairs.get_slows(kind).items():
                extra += neighbours.get(other, 0) * (math.exp(pair.believed) - 1.0)
        return _limit_cost(extra)

    def has_bad_neighbours(self, kind: TaskKind, neighbours: Mapping[TaskKind, int]) -> bool:
        """Return whether a kind and any of its neighbours are believed to interfere."""
        return not self.list_related(kind).isdisjoint(neighbours)

    def record_changed_placement(self, kind: TaskKind, neighbours: Counter[TaskKind]) -> None:
        """Count a placement that avoids a worker with the given tasks."""
        self._changed_placements += 1
        if self._metrics is not None:
            self._metrics.count("dewspindle_placements_changed")
        for row in (self._pairs.get_slowed_by(kind), self._pairs.get_slows(kind)):
            for other, pair in row.items():
                pair.changed_placements += other in neighbours

    def describe(self) -> SlowdownsDescription:
        """Return what is believed now."""
        now = self._timers.now()
        pairs = [
            PairDescription(
                slowed=kind,
                neighbour=other,
                factor=math.exp(pair.believed),
                samples=pair.beside.get_weight(now),
                age_s=now - pair.believed_at,
                last_sample_age_s=pair.beside.get_age_s(now),
                changed_placements=pair.changed_placements,
            )
            for kind, other, pair in self._pairs.list_believed()
            if pair.check(now)
        ]
        workers = [
            WorkerDescription(
                worker=worker,
                factor=math.exp(speed.believed),
                samples=speed.slowness.get_weight(now),
                last_sample_age_s=speed.slowness.get_age_s(now),
            )
            for worker, speed in self._speeds.believed.items()
            if speed.is_recent(now)
        ]
        return SlowdownsDescription(self._is_enabled, pairs, workers, self._changed_placements)
