"""Model of the leader's event loop, which planning and starts keep busy."""

from dewspindle._internal.jobs.planning_loop import PLAN_INTERVAL_S, PLAN_PAUSE_FACTOR
from dewspindle._internal.scheduling.start_pacing import LAG_CHECK_INTERVAL_S, StartPacer


class BusyLoop:
    """Delays planning rounds and checks of the lag by the work that the loop has not done yet."""

    def __init__(self, *, look_s: float, starts_per_s: float, now: float) -> None:
        self.pacer = StartPacer()
        self._look_s = look_s  # Time in a planning round for each step that it looks at.
        self._start_s = 1 / starts_per_s  # Time for a start and all that follows from it.
        self._is_busy_until = now
        self._checked_at = now

    def restart(self, *, now: float) -> "BusyLoop":
        """Return the loop of another leader, which has no work yet."""
        return BusyLoop(look_s=self._look_s, starts_per_s=1 / self._start_s, now=now)

    def block(self, seconds: float, *, now: float) -> None:
        """Stall the loop."""
        self._is_busy_until = max(self._is_busy_until, now) + seconds

    @property
    def is_busy_until(self) -> float:
        """Return when the loop has done all its work."""
        return self._is_busy_until

    def run_pass(self, *, now: float, looked_at: int, starts: int) -> float:
        """Do the work of a pass over urgent steps, and return how long the pass takes."""
        pass_s = looked_at * self._look_s
        self.pacer.record_starts(starts, now=now)
        self.block(pass_s + starts * self._start_s, now=now)
        return pass_s

    def run_round(self, *, now: float, looked_at: int, starts: int) -> float:
        """Do the work of a planning round, and return after which time the next one begins."""
        round_s = looked_at * self._look_s
        self.pacer.record_starts(starts, now=now)
        self.block(round_s + starts * self._start_s, now=now)
        pause_s = max(PLAN_INTERVAL_S, PLAN_PAUSE_FACTOR * round_s)
        next_at = max(now + round_s + pause_s, self._is_busy_until)
        while self._checked_at + LAG_CHECK_INTERVAL_S <= next_at:
            self._checked_at += LAG_CHECK_INTERVAL_S
            lag_s = max(0.0, self._is_busy_until - self._checked_at)
            self.pacer.record_lag(lag_s, now=self._checked_at)
        return next_at - now
