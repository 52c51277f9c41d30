"""Token budget that limits retries in proportion to first attempts."""

from .timers import TimerService


class RetryBudget:
    """Token bucket filled by first attempts and over time, and drained by retries.

    It starts full, so `capacity` retries are possible before any first attempt.
    """

    def __init__(
        self,
        *,
        timers: TimerService,
        retries_per_attempt: float,
        minimum_per_s: float,
        capacity: float,
    ) -> None:
        self._timers = timers
        self._retries_per_attempt = retries_per_attempt
        self._minimum_per_s = minimum_per_s
        self._capacity = capacity
        self._tokens = capacity
        self._refilled_at = timers.now()

    def _refill(self) -> None:
        now = self._timers.now()
        earned = (now - self._refilled_at) * self._minimum_per_s
        self._tokens = min(self._capacity, self._tokens + earned)
        self._refilled_at = now

    def deposit(self) -> None:
        """Add the tokens that a first attempt earns."""
        self._tokens = min(self._capacity, self._tokens + self._retries_per_attempt)

    def try_withdraw(self) -> bool:
        """Withdraw a token for one retry, and return whether one was available."""
        self._refill()
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
