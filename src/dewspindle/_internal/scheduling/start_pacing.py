"""Limits how many tasks the leader starts a second while starts make its event loop fall behind.

Answers the load of more waiting tasks than the leader's processor can start, although the workers
have free capacity. Each start causes later work: its answer, lease renewals, its end. A loop that
is always busy delays each step of a request by a whole turn, so that accepting a job takes seconds.
Starts are made in rank order, so those that wait longer are the least urgent.

An election, a snapshot or a long planning round stalls the loop, too, and fewer starts would not
help. So the limit only falls where the lag lasts and as many tasks start as the limit allows.
"""

import math
from collections import deque
from typing import Any

LAG_CHECK_INTERVAL_S = 0.1
# Accepting a job takes some ten turns of the loop, and the shortest target latencies leave 0.3 s.
MAX_LAG_S = 0.03
LASTING_LAG_CHECKS = 3  # Successive checks with too much lag; a single stall delays only one.
RELAXED_LAG_S = 0.01
DECREASE = 0.85  # Of the limit at each check while too much lag lasts.
INCREASE = 1.06  # Slower, so that the rate stays just below the one that delays everything.
SLOW_INCREASE = 1.01  # With a lag that is neither too long nor short.
MIN_STARTS_PER_S = 50.0  # Below it, lag has another cause than starts.
# Also without a limit. The loop does nothing else until all starts of a round are ordered.
MAX_STARTS_PER_ROUND = 64.0
BINDING_FRACTION = 0.8  # Of the limit. With fewer starts, lag has another cause.
RATE_WINDOW_S = 1.0
SHORT_RATE_WINDOW_S = 0.3  # Tells sooner that more tasks start than before.
DRAIN_S = 1.0  # A lag that will be short again within this time needs no lower limit.
# A limit that is this far above the actual rate has no effect any more.
SLACK = 2.0


class StartPacer:
    """Token bucket of task starts whose rate follows the lag of the event loop."""

    def __init__(self, *, is_enabled: bool = True) -> None:
        self._is_enabled = is_enabled
        self._limit: float | None = None  # Starts a second; None while there is no limit.
        self._tokens = 0.0
        self._refilled_at = 0.0
        self._starts: deque[tuple[float, int]] = deque()
        self._lags: deque[float] = deque(maxlen=LASTING_LAG_CHECKS)
        self._cuts: list[tuple[float, float]] = []  # Lag and rate at each, since the last report.

    @property
    def limit(self) -> float | None:
        """Return the limit in starts a second, or None."""
        return self._limit

    @property
    def starts_per_s(self) -> float:
        """Return the limit in starts a second, infinity without one."""
        return math.inf if self._limit is None else self._limit

    def record_lag(self, lag_s: float, *, now: float) -> None:
        """Adapt the limit to the lag of one check."""
        if not self._is_enabled:
            return
        rate = self._measure_rate(now)
        self._lags.append(lag_s)
        if self._is_lag_lasting():
            self._cut(rate)
        elif lag_s < MAX_LAG_S and self._limit is not None:
            self._limit *= INCREASE if lag_s < RELAXED_LAG_S else SLOW_INCREASE
            if self._limit > SLACK * max(rate, MIN_STARTS_PER_S):
                self._limit = None

    def _is_lag_lasting(self) -> bool:
        """Return whether the lag is too long at all recent checks, and will stay so."""
        if len(self._lags) < LASTING_LAG_CHECKS or min(self._lags) <= MAX_LAG_S:
            return False
        span_s = (LASTING_LAG_CHECKS - 1) * LAG_CHECK_INTERVAL_S
        decline_per_s = (self._lags[0] - self._lags[-1]) / span_s
        return self._lags[-1] - decline_per_s * DRAIN_S > MAX_LAG_S

    def _cut(self, rate: float) -> None:
        """Lower the limit, or set one, unless the lag has another cause than starts."""
        is_binding = rate >= max(MIN_STARTS_PER_S, BINDING_FRACTION * (self._limit or 0.0))
        if not is_binding:
            return
        current = rate if self._limit is None else min(self._limit, rate)
        self._limit = max(MIN_STARTS_PER_S, current * DECREASE)
        self._cuts.append((self._lags[-1], rate))

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
        """Return how many tasks a planning round may start, infinity if starts are not paced.

        A gang is started whole while any budget is left; the excess is taken from later rounds.
        """
        if not self._is_enabled:
            return math.inf
        elapsed_s, self._refilled_at = now - self._refilled_at, now
        if self._limit is None:
            self._tokens = 0.0
            return MAX_STARTS_PER_ROUND
        most = self._limit * LAG_CHECK_INTERVAL_S
        self._tokens = min(most, self._tokens + self._limit * elapsed_s)
        return min(MAX_STARTS_PER_ROUND, max(0.0, self._tokens))

    def _measure_rate(self, now: float) -> float:
        while self._starts and self._starts[0][0] < now - RATE_WINDOW_S:
            self._starts.popleft()
        count = sum(count for _, count in self._starts)
        recent = sum(count for at, count in self._starts if at >= now - SHORT_RATE_WINDOW_S)
        return max(count / RATE_WINDOW_S, recent / SHORT_RATE_WINDOW_S)
