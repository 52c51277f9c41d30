"""Learns which kinds of tasks slow each other down on one worker.

Answers a fleet in which the tasks of one kind take longer beside those of another kind, by amounts
that change within seconds. Run times beside and without a neighbour of the other kind are compared
after the effects of the worker's speed and of other neighbours were taken out.
"""

import math
from collections import OrderedDict
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field

from ..models.ids import TaskKind
from ..utils.logs import get_logger
from .fading_mean import FadingMean

# A busy fleet ends enough tasks of a kind within some 3 s. A pair that is kept apart is not seen,
# and is forgotten within a minute.
HALF_LIFE_S = 10.0
WINDOW = 60.0
# A pair is dropped by its last run times alone, as amounts change within seconds.
RECENT_WINDOW = 15.0
# Parts of a run beside a kind from which it counts as beside the kind, and up to which it counts as
# without it.
BESIDE_MIN = 0.5
APART_MAX = 0.1
# Over hundreds of pairs that are checked again and again, three standard errors beyond a factor of
# 1.1 leave few false beliefs.
ERRORS_BEFORE_BELIEF = 3.0
MIN_EFFECT = math.log(1.1)
MIN_SAMPLES = 12.0
MIN_SAMPLES_KEPT = 4.0
MIN_WORKERS = 3  # On which the pair was seen, as one worker may be slow for another reason.
# Stragglers last seven times as long; they count as tasks that take 2.7 times as long.
MAX_RESIDUAL = 1.0
MAX_KINDS = 64  # The kinds seen last; others are forgotten.

logger = get_logger(__name__)


@dataclass(slots=True)
class Pair:
    """Run times of one kind beside and without another kind, as logarithms of their excess."""

    beside: FadingMean = field(default_factory=lambda: FadingMean(HALF_LIFE_S, WINDOW))
    recent: FadingMean = field(default_factory=lambda: FadingMean(HALF_LIFE_S, RECENT_WINDOW))
    apart: FadingMean = field(default_factory=lambda: FadingMean(HALF_LIFE_S, WINDOW))
    workers: set[str] = field(default_factory=set)  # Up to `MIN_WORKERS` of those it was seen on.
    believed: float = 0.0  # Logarithm of the factor by which the run time grows; 0 if none.
    believed_at: float = 0.0
    changed_placements: int = 0  # Since the belief began.

    @property
    def effect(self) -> float:
        """Return by how much the means differ."""
        return self.beside.mean - self.apart.mean

    def add_beside(self, value: float, worker: str, now: float) -> None:
        """Add a run time beside the other kind."""
        self.beside.add(value, now)
        self.recent.add(value, now)
        if len(self.workers) < MIN_WORKERS:
            self.workers.add(worker)

    def restart(self) -> None:
        """Forget the run times beside the other kind, after an effect that has ended."""
        self.beside = FadingMean(HALF_LIFE_S, WINDOW)
        self.recent = FadingMean(HALF_LIFE_S, RECENT_WINDOW)
        self.workers.clear()

    def check(self, now: float) -> bool:
        """Return whether the effect is certain, or still certain enough if it was before."""
        if not self.believed and self.effect < MIN_EFFECT:
            return False
        samples = min(self.beside.get_weight(now), self.apart.get_weight(now))
        if self.believed:
            return samples >= MIN_SAMPLES_KEPT and self.recent.mean - self.apart.mean >= MIN_EFFECT
        if samples < MIN_SAMPLES or len(self.workers) < MIN_WORKERS:
            return False
        error = math.hypot(self.beside.compute_error(now), self.apart.compute_error(now))
        return self.effect - ERRORS_BEFORE_BELIEF * error >= MIN_EFFECT


class InterferenceModel:
    """The effects of neighbours on the run times of each kind of task."""

    def __init__(self, *, on_change: Callable[[bool], None] | None = None) -> None:
        self._on_change = on_change  # Called with whether a belief came or went.
        self._pairs: OrderedDict[TaskKind, dict[TaskKind, Pair]] = OrderedDict()
        self._slowed_by: dict[TaskKind, dict[TaskKind, Pair]] = {}  # Believed, by slowed kind.
        self._slows: dict[TaskKind, dict[TaskKind, Pair]] = {}  # Believed, by neighbour.

    def __len__(self) -> int:
        return sum(len(row) for row in self._pairs.values())

    @property
    def has_beliefs(self) -> bool:
        """Return whether any pair is believed to interfere."""
        return bool(self._slowed_by)

    def list_believed(self) -> Iterator[tuple[TaskKind, TaskKind, Pair]]:
        """Yield each slowed kind, its neighbour and what is known of the pair."""
        for kind, row in self._slowed_by.items():
            for neighbour, pair in row.items():
                yield kind, neighbour, pair

    def get_slowed_by(self, kind: TaskKind) -> Mapping[TaskKind, Pair]:
        """Return the kinds that are believed to slow a kind."""
        return self._slowed_by.get(kind, {})

    def get_slows(self, kind: TaskKind) -> Mapping[TaskKind, Pair]:
        """Return the kinds that are believed to be slowed by a kind."""
        return self._slows.get(kind, {})

    def estimate(self, kind: TaskKind, exposure: Mapping[TaskKind, float]) -> float:
        """Return the believed effect of neighbours, given the part of the run beside each kind."""
        row = self._slowed_by.get(kind)
        if not row:
            return 0.0
        return sum(row[other].believed * part for other, part in exposure.items() if other in row)

    def record(
        self,
        kind: TaskKind,
        *,
        worker: str,
        exposure: Mapping[TaskKind, float],
        residual: float,
        now: float,
    ) -> None:
        """Record by how much a run time exceeds what speed and known neighbours explain."""
        row = self._touch(kind)
        residual = max(-MAX_RESIDUAL, min(MAX_RESIDUAL, residual))
        for other, part in exposure.items():
            if part < BESIDE_MIN:
                continue
            self._touch(other)
            pair = row.get(other)
            if pair is None:
                pair = row[other] = Pair()
            # The effect of this neighbour is what the pair is about, so it stays in.
            pair.add_beside(residual + pair.believed * part, worker, now)
        for other, pair in row.items():
            part = exposure.get(other, 0.0)
            if part <= APART_MAX:
                pair.apart.add(residual, now)
            if part <= APART_MAX or part >= BESIDE_MIN:
                self._update(kind, other, pair, now)

    def fade(self, now: float) -> None:
        """Drop beliefs that stand for too few recent tasks."""
        for kind, other, pair in list(self.list_believed()):
            self._update(kind, other, pair, now)

    def _touch(self, kind: TaskKind) -> dict[TaskKind, Pair]:
        """Return the pairs of a kind; forget the kind seen longest ago if there are too many."""
        row = self._pairs.setdefault(kind, {})
        self._pairs.move_to_end(kind)
        if len(self._pairs) > MAX_KINDS:
            oldest, forgotten = self._pairs.popitem(last=False)
            for other, pair in forgotten.items():
                self._drop(oldest, other, pair)
            for slowed, others in self._pairs.items():
                pair_with_oldest = others.pop(oldest, None)
                if pair_with_oldest is not None:
                    self._drop(slowed, oldest, pair_with_oldest)
        return row

    def _update(self, kind: TaskKind, other: TaskKind, pair: Pair, now: float) -> None:
        if not pair.check(now):
            self._drop(kind, other, pair)
            return
        is_new = not pair.believed
        pair.believed = pair.effect
        if not is_new:
            return
        pair.believed_at, pair.changed_placements = now, 0
        self._slowed_by.setdefault(kind, {})[other] = pair
        self._slows.setdefault(other, {})[kind] = pair
        self._report(kind, other, pair)

    def _drop(self, kind: TaskKind, other: TaskKind, pair: Pair) -> None:
        if not pair.believed:
            return
        pair.believed = 0.0
        pair.restart()
        for index, first, second in (
            (self._slowed_by, kind, other),
            (self._slows, other, kind),
        ):
            del index[first][second]
            if not index[first]:
                del index[first]
        self._report(kind, other, pair)

    def _report(self, kind: TaskKind, other: TaskKind, pair: Pair) -> None:
        is_believed = bool(pair.believed)
        logger.info(
            "interference belief changed",
            slowed=kind,
            neighbour=other,
            is_believed=is_believed,
            run_time_factor=round(math.exp(pair.believed), 2),
            changed_placements=pair.changed_placements,
        )
        if self._on_change is not None:
            self._on_change(is_believed)
