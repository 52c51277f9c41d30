"""Leases that end by a worker's clock, tracked on the leader's clock."""

# A worker's clock may be 2 % slow, so its lease may last 1 / 0.98 times as long, rounded up.
CLOCK_DRIFT_FACTOR = 1.021
LEASE_MARGIN_S = 0.1  # Covers rounding to whole milliseconds and late timers on the worker.
# An unanswered order may be carried out this long after it was sent; `LATE_ORDER_WINDOW_S` in
# fleet_worker.py is the same bound.
MAX_ORDER_DELAY_S = 12.0


class WorkerLease:
    """Maps a worker's clock to the leader's and bounds the time at which its lease has expired."""

    def __init__(self) -> None:
        self._clock_ms = 0
        self._sampled_at: float | None = None
        self._ends_at = float("-inf")
        self._unanswered_ends_at = float("-inf")

    def is_over(self, now: float, *, may_orders_arrive_late: bool) -> bool:
        """Return whether the lease has certainly expired.

        A worker may count its lease from the arrival of an order. If unanswered orders may arrive
        late, a lease that one of them grants is therefore assumed to begin `MAX_ORDER_DELAY_S`
        after it was sent.
        """
        return now > (
            max(self._ends_at, self._unanswered_ends_at)
            if may_orders_arrive_late
            else self._ends_at
        )

    @property
    def is_sampled(self) -> bool:
        """Return whether the worker's clock is known."""
        return self._sampled_at is not None

    def record_clock(self, clock_ms: int, *, received_at: float) -> None:
        """Record a reading of the worker's clock; ignore one older than the last."""
        if self._sampled_at is not None and clock_ms < self._clock_ms:
            return
        self._clock_ms = clock_ms
        self._sampled_at = received_at

    def begin_life(self, clock_ms: int | None, *, now: float, seconds: float) -> None:
        """Follow the clock of another life of the worker.

        Orders with deadlines of the earlier clock may have given it a lease of up to `seconds`.
        """
        self._sampled_at = None
        if clock_ms is not None:
            self.record_clock(clock_ms, received_at=now)
        self.assume_granted(now=now, seconds=seconds)

    def grant(self, *, now: float, seconds: float) -> int:
        """Grant a lease from now on and return its deadline, in ms of the worker's clock."""
        assert self._sampled_at is not None
        elapsed_ms = max(0.0, now - self._sampled_at) * 1000
        deadline_ms = int(self._clock_ms + elapsed_ms + seconds * 1000)
        remaining_s = (deadline_ms - self._clock_ms) / 1000
        ends_at = self._sampled_at + remaining_s * CLOCK_DRIFT_FACTOR + LEASE_MARGIN_S
        self._ends_at = max(self._ends_at, ends_at)
        return deadline_ms

    def record_unanswered(self, *, sent_at: float, seconds: float) -> None:
        """Account for a granted lease whose order may still be in transit."""
        longest_s = MAX_ORDER_DELAY_S + seconds * CLOCK_DRIFT_FACTOR + LEASE_MARGIN_S
        self._unanswered_ends_at = max(self._unanswered_ends_at, sent_at + longest_s)

    def assume_granted(self, *, now: float, seconds: float) -> None:
        """Account for the longest lease that an earlier leader may just have granted."""
        self._ends_at = max(self._ends_at, now + seconds * CLOCK_DRIFT_FACTOR + LEASE_MARGIN_S)
        self.record_unanswered(sent_at=now, seconds=seconds)
