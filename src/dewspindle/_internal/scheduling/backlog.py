"""Predicts how long accepted work waits, from what waits and how fast it was started lately.

Answers two loads: a fleet that is full, in which work waits for capacity, and a leader that starts
fewer tasks than arrive although there is free capacity.
"""

import math
from collections import defaultdict, deque
from collections.abc import Mapping

from ..models.resources import NO_RESOURCES, Amounts
from .admission import Backlog

WINDOW_S = 2.0  # Over which starts are counted; short bursts of starts must not count as a rate.
MIN_SPAN_S = 1.0  # Of the rounds that a rate is computed from; a new leader knows none before.
# Below this many waiting tasks the next planning rounds clear the backlog, whatever the rate was.
MIN_WAITING_TASKS = 32


class StartRate:
    """Tasks started per second while others waited."""

    def __init__(self) -> None:
        self._rounds: deque[tuple[float, int]] = deque()
        self._count = 0

    def record(self, started: int, *, now: float) -> None:
        """Record the starts of a planning round."""
        self._rounds.append((now, started))
        self._count += started
        while self._rounds[0][0] < now - WINDOW_S:
            self._count -= self._rounds.popleft()[1]

    def compute(self, *, now: float) -> float:
        """Return the starts a second over the window, at least one; infinity if not known yet."""
        span_s = now - self._rounds[0][0] if self._rounds else 0.0
        return max(1.0, self._count / span_s) if span_s >= MIN_SPAN_S else math.inf


class WaitingWork:
    """Work that waits after a planning round, by priority and team."""

    def __init__(self) -> None:
        self._tasks: dict[int, int] = defaultdict(int)
        self._core_s: dict[int, float] = defaultdict(float)
        self._ready: dict[str, Amounts] = defaultdict(Amounts)

    def add(
        self,
        *,
        team: str,
        priority: int,
        amounts: Amounts,
        count: int,
        estimate_s: float,
        is_ready: bool,
    ) -> None:
        """Add the waiting tasks of a step."""
        self._core_s[priority] += amounts.processors / 1000 * count * estimate_s
        if is_ready:
            self._tasks[priority] += count
            self._ready[team] += amounts * count

    def make_backlog(
        self, *, free: Amounts, capacity: Amounts, rooms: Mapping[str, Amounts], starts_per_s: float
    ) -> Backlog:
        """Return the backlog, in which no team takes more than what its cap leaves."""
        waiting = NO_RESOURCES
        for team, amounts in self._ready.items():
            room = rooms.get(team)
            usable = amounts if room is None else amounts.get_elementwise_min(room)
            waiting += usable.get_elementwise_max(NO_RESOURCES)
        tasks, core_s = 0, 0.0
        waits = []
        for priority in sorted(self._core_s):
            tasks += self._tasks[priority]
            core_s += self._core_s[priority]
            by_rate_s = tasks / starts_per_s if tasks > MIN_WAITING_TASKS else 0.0
            by_capacity_s = core_s / max(1.0, capacity.processors / 1000)
            waits.append((priority, max(by_rate_s, by_capacity_s)))
        return Backlog(spare=free - waiting, waits_s=tuple(waits))
