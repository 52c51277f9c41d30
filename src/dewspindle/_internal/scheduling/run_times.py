"""Compares the run time of each ended task with those of the same step on other workers.

Answers estimates that are off by up to a factor of two, but in common for all tasks of a step: the
tasks of a step are compared with each other once the step has ended. Steps of few tasks are
compared with what is usual for their kind.
"""

import math
import statistics
from collections import OrderedDict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from ..models.ids import JobId, TaskKind
from .fading_mean import FadingMean

# With three tasks, the median is a usual run time although one of them is a straggler.
MIN_PEERS = 3
MAX_PEERS = 64  # Run times of one step that are compared; more would not change the median much.
# Steps with ended and open tasks; the fleet of the largest deployment runs some hundred at a time.
MAX_OPEN_STEPS = 500
MAX_OPEN_S = 30.0  # After which a step is evaluated although it has not ended.
# Shorter run times consist mostly of the time of orders and lists.
MIN_RUN_S = 0.05
MAX_RUN_S = 3600.0
KIND_HALF_LIFE_S = 60.0
KIND_WINDOW = 50.0
MIN_KIND_SAMPLES = 8.0  # Before a kind is known well enough to compare small steps with it.
MAX_KINDS = 256

StepId = tuple[JobId, int, int]  # The job, occurrence and index of a step.


class IgnoredRunTime(Enum):
    """Why the end of a task teaches nothing."""

    MALFORMED = "malformed"
    LATE = "late"  # The worker did not answer for a while, so the time of the end is not known.
    NOT_COMPARABLE = "not-comparable"  # The task did not run whole, alone or at full speed.


# When tasks of a kind ran beside another task, in seconds since its start, in order and
# without overlaps.
Periods = list[tuple[float, float]]


def add_period(periods: Periods, from_s: float, until_s: float) -> None:
    """Add a period that ends last, and join it with those that it overlaps."""
    while periods and periods[-1][1] >= from_s:
        from_s = min(from_s, periods.pop()[0])
    periods.append((from_s, until_s))


@dataclass(frozen=True, slots=True)
class RunTime:
    """The run time of a task that was done."""

    kind: TaskKind
    step: StepId
    step_size: int
    worker: str
    ran_s: float
    estimate_s: float
    beside: Mapping[TaskKind, Periods]  # Other tasks on its worker.

    @property
    def is_valid(self) -> bool:
        """Return whether all values are possible."""
        return (
            bool(self.kind and self.worker)
            and self.step_size > 0
            and MIN_RUN_S <= self.ran_s <= MAX_RUN_S
            and 0.0 <= self.estimate_s < math.inf
            and all(
                0.0 <= from_s <= until_s < math.inf
                for periods in self.beside.values()
                for from_s, until_s in periods
            )
        )

    def compute_exposure(self, expected_s: float) -> dict[TaskKind, float]:
        """Return during which part of the run a task of each kind ran beside it.

        Counts up to the expected end, as long runs would otherwise meet more neighbours than short
        ones for that reason alone.
        """
        observed_s = min(self.ran_s, expected_s)
        return {
            kind: sum(max(0.0, min(until, observed_s) - from_s) for from_s, until in periods)
            / observed_s
            for kind, periods in self.beside.items()
        }


@dataclass(frozen=True, slots=True)
class Comparison:
    """A run time, and by how much it exceeds what is usual, as a logarithm."""

    run_time: RunTime
    exposure: Mapping[TaskKind, float]  # Part of the run beside each kind.
    excess: float


class ExcessModel(Protocol):
    """What is known of the reasons for long run times, as logarithms."""

    def estimate_slowness(self, worker: str) -> float:
        """Return what a worker adds to a run time."""

    def estimate_effect(self, kind: TaskKind, exposure: Mapping[TaskKind, float]) -> float:
        """Return what neighbours add to a run time."""


class StepComparer:
    """Collects run times by step and compares those of a step when it ends."""

    def __init__(self, *, model: ExcessModel) -> None:
        self._model = model
        self._open: OrderedDict[StepId, tuple[float, list[RunTime]]] = OrderedDict()
        self._usual: OrderedDict[TaskKind, FadingMean] = OrderedDict()  # Of run time to estimate.

    def __len__(self) -> int:
        return len(self._open)

    def add(self, run_time: RunTime, now: float) -> Iterator[Comparison]:
        """Add a run time, and yield the comparisons of steps that have ended by now."""
        _, found = self._open.setdefault(run_time.step, (now, []))
        found.append(run_time)
        if len(found) >= min(run_time.step_size, MAX_PEERS):
            del self._open[run_time.step]
            yield from self._compare(found, now)
        while self._open:
            step, (opened_at, older) = next(iter(self._open.items()))
            if len(self._open) <= MAX_OPEN_STEPS and now - opened_at < MAX_OPEN_S:
                return
            del self._open[step]
            yield from self._compare(older, now)

    def _compare(self, found: list[RunTime], now: float) -> Iterator[Comparison]:
        has_peers = len(found) >= MIN_PEERS and len({run.worker for run in found}) > 1
        usual_s = statistics.median(run.ran_s for run in found)
        expected = self._expect(found[0], now)
        expected_s = usual_s if has_peers or expected is None else math.exp(expected)
        exposures, rest = [], []
        for run in found:
            slowness = self._model.estimate_slowness(run.worker)
            exposure = run.compute_exposure(expected_s * math.exp(slowness))
            effect = self._model.estimate_effect(run.kind, exposure)
            exposures.append(exposure)
            rest.append(math.log(run.ran_s) - slowness - effect)
        usual = statistics.median(rest)
        if found[0].estimate_s > 0:
            self._get_usual(found[0].kind).add(usual - math.log(found[0].estimate_s), now)
        if has_peers:
            expected = usual
        if expected is None:
            return
        for run, exposure in zip(found, exposures, strict=True):
            yield Comparison(run, exposure, math.log(run.ran_s) - expected)

    def _expect(self, run: RunTime, now: float) -> float | None:
        """Return the usual run time of a kind as a logarithm, or None if it is not known."""
        usual = self._get_usual(run.kind)
        if run.estimate_s <= 0 or usual.get_weight(now) < MIN_KIND_SAMPLES:
            return None
        return usual.mean + math.log(run.estimate_s)

    def _get_usual(self, kind: TaskKind) -> FadingMean:
        usual = self._usual.get(kind)
        if usual is None:
            usual = self._usual[kind] = FadingMean(KIND_HALF_LIFE_S, KIND_WINDOW)
            if len(self._usual) > MAX_KINDS:
                self._usual.popitem(last=False)
        self._usual.move_to_end(kind)
        return usual
