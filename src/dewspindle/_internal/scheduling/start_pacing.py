"""Limits how many tasks the leader starts a second while its event loop falls behind.

Answers the load of more waiting tasks than the leader's processor can start, although the workers
have free capacity. Each start causes later work: its answer, lease renewals, its end. A loop that
is always busy delays each step of a request by a whole turn, so that accepting a job takes seconds.
Starts are made in rank order, so those that wait longer are the least urgent.
"""

from collections import deque
from typing import Any

LAG_CHECK_INTERVAL_S = 0.1
# Accepting a job takes some ten turns of the loop, and the shortest target latencies leave 0.3 s.
MAX_LAG_S = 0.03
RELAXED_LAG_S = 0.01
DECREASE = 0.85  # Of the rate at each check with too much lag.
INCREASE = 1.06  # Slower, so that the rate stays just below the one that delays everything.
MIN_STARTS_PER_S = 50.0  # Below it, lag has another cause than starts.
RATE_WINDOW_S = 1.0
# A limit that is this far above the actual rate has no effect any more.
SLACK = 2.0


class StartPacer:
    """Token bucket of task starts whose rate follows the lag of the event loop."""

    def __init__(self) -> None:
        self._limit: float | None = None  # Starts a second; None while there is no limit.
        self._tokens = 0.0
        self._refilled_at = 0.0
        self._starts: deque[tuple[float, int]] = deque()
        self._cuts: list[tuple[float, float]] = []  # Lag and rate at each, since the last report.

    @property
    def limit(self) -> float | None:
        """Return the limit in starts a second, or None."""
        return self._limit

    def record_lag(self, lag_s: float, *, now: float) -> None:
        """Adapt the limit to the lag of one check."""
        rate = self._measure_rate(now)
        if lag_s > MAX_LAG_S:
            current = rate if self._limit is None else min(self._limit, max(rate, MIN_STARTS_PER_S))
            self._limit = max(MIN_STARTS_PER_S, current * DECREASE)
            self._cuts.append((lag_s, rate))
        elif lag_s < RELAXED_LAG_S and self._limit is not None:
            self._limit *= INCREASE
            if self._limit > SLACK * max(rate, MIN_STARTS_PER_S):
                self._limit = None

    def take_load(self) -> dict[str, Any]:
        """Return figures on the limit for the log, those on its cuts since the last time."""
        cuts, self._cuts = self._cuts, []
        return {
            "starts_per_s_limit": None if self._limit is None else round(self._limit),
            "start_limit_cuts": len(cuts),
            "lags_at_cuts_ms": [round(lag_s * 1000) for lag_s, _ in cuts],
            "starts_per_s_at_cuts": [round(rate) for _, rate in cuts],
        }

    def record_starts(self, count: int, *, now: float) -> None:
        """Take the starts of a planning round from the budget."""
        if not count:
            return
        self._starts.append((now, count))
        if self._limit is not None:
            self._tokens -= count

    def get_budget(self, *, now: float) -> float:
        """Return how many tasks a planning round may start, infinity without a limit.

        A gang is started whole while any budget is left; the excess is taken from later rounds.
        """
        elapsed_s = now - self._refilled_at
        self._refilled_at = now
        if self._limit is None:
            self._tokens = 0.0
            return float("inf")
        earned = self._limit * min(elapsed_s, LAG_CHECK_INTERVAL_S)
        self._tokens = min(self._limit * LAG_CHECK_INTERVAL_S, self._tokens + earned)
        return max(0.0, self._tokens)

    def _measure_rate(self, now: float) -> float:
        while self._starts and self._starts[0][0] < now - RATE_WINDOW_S:
            self._starts.popleft()
        return sum(count for _, count in self._starts) / RATE_WINDOW_S
