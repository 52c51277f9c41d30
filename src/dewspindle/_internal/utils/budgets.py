"""Budget that bounds retries to a share of first attempts."""

from .timers import TimerService


class RetryBudget:
    """Tokens that first attempts earn and retries spend."""

    def __init__(
        self,
        *,
        timers: TimerService,
        share: float,
        minimum_per_s: float,
        capacity: float,
    ) -> None:
        self._timers = timers
        self._share = share
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
        """Count a first attempt."""
        self._tokens = min(self._capacity, self._tokens + self._share)

    def try_withdraw(self) -> bool:
        """Take one retry out of the budget, and tell whether there was one."""
        self._refill()
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
