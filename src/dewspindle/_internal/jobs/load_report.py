"""Periodic log line on the load of the leader: waiting work, planning rounds and its event loop."""

from collections.abc import Callable, Mapping
from typing import Any

from ..scheduling.start_pacing import LAG_CHECK_INTERVAL_S
from ..utils.logs import get_logger
from ..utils.metrics import Metrics
from ..utils.timers import TimerService

REPORT_INTERVAL_S = 2.0

logger = get_logger(__name__)


class LoadReport:
    """Measures planning rounds and stalls of the event loop, and logs them at intervals."""

    def __init__(
        self,
        *,
        measure_work: Callable[[], Mapping[str, Any]],
        timers: TimerService,
        metrics: Metrics,
        on_lag: Callable[[float], None],
    ) -> None:
        self._measure_work = measure_work
        self._on_lag = on_lag
        self._timers = timers
        self._metrics = metrics
        self._rounds_s: list[float] = []
        self._passes_s: list[float] = []
        self._longest_stall_s = 0.0
        self._lapsed_rounds = 0

    def record_round(self, seconds: float, *, is_lapsed: bool) -> None:
        """Record the duration of a planning round, and whether the leader lease had lapsed."""
        self._rounds_s.append(seconds)
        self._lapsed_rounds += is_lapsed
        self._metrics.record("dewspindle_planning_seconds", seconds)

    def record_pass(self, seconds: float) -> None:
        """Record the duration of a pass over urgent steps."""
        self._passes_s.append(seconds)

    async def run(self) -> None:
        """Log until cancelled."""
        reported_at = self._timers.now()
        while True:
            await self._watch_stalls(reported_at + REPORT_INTERVAL_S)
            now = self._timers.now()
            rounds, passes = sorted(self._rounds_s), sorted(self._passes_s)
            logger.info(
                "load",
                planning_share=round(sum(rounds) / max(now - reported_at, 0.001), 3),
                longest_stall_ms=round(self._longest_stall_s * 1000, 1),
                rounds=len(rounds),
                lapsed_rounds=self._lapsed_rounds,
                round_p50_ms=_get_percentile_ms(rounds, 0.5),
                round_p99_ms=_get_percentile_ms(rounds, 0.99),
                urgent_passes=len(passes),
                urgent_passes_share=round(sum(passes) / max(now - reported_at, 0.001), 3),
                urgent_pass_p99_ms=_get_percentile_ms(passes, 0.99),
                **self._measure_work(),
            )
            reported_at = now
            self._rounds_s = []
            self._passes_s = []
            self._lapsed_rounds = 0
            self._longest_stall_s = 0.0

    async def _watch_stalls(self, until: float) -> None:
        """Wait until a time, and record by how much the event loop woke up late."""
        while self._timers.now() < until:
            slept_at = self._timers.now()
            await self._timers.sleep(LAG_CHECK_INTERVAL_S)
            late_s = self._timers.now() - slept_at - LAG_CHECK_INTERVAL_S
            self._longest_stall_s = max(self._longest_stall_s, late_s)
            self._on_lag(late_s)


def _get_percentile_ms(ordered: list[float], fraction: float) -> float:
    if not ordered:
        return 0.0
    return round(ordered[min(len(ordered) - 1, int(len(ordered) * fraction))] * 1000, 2)
