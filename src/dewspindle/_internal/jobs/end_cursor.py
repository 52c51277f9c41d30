"""Which ends of a worker are committed, and up to which number they are acknowledged to it."""

from collections.abc import Iterable

from .gateway import EndedTask

# A worker that crashes is not back, and has not ended a new task, within this time.
MAX_READ_AGE_S = 0.5


class EndCursor:
    """Tracks the numbers of a worker's ends, which begin anew with each life of the worker.

    A life forgets the ends that are acknowledged to it. An acknowledgement that was meant for an
    earlier life would make it forget ends that nobody has read, so one is only sent right after a
    list was read.
    """

    def __init__(self) -> None:
        self._committed_through = 0
        self._acknowledged_through = 0
        self._read_at = float("-inf")  # When the last list was read, unless a call failed since.

    @property
    def acknowledged_through(self) -> int:
        """Return the number of the last end that the worker may have forgotten."""
        return self._acknowledged_through

    @property
    def has_unacknowledged(self) -> bool:
        """Return whether ends are committed and not acknowledged."""
        return self._acknowledged_through < self._committed_through

    def is_read_due(self, now: float) -> bool:
        """Return whether a list has to be read before ends can be acknowledged."""
        return self.has_unacknowledged and now - self._read_at > MAX_READ_AGE_S

    def choose(self, now: float) -> int:
        """Return the number up to which to acknowledge, 0 for none."""
        if not self.has_unacknowledged or self.is_read_due(now):
            return 0
        return self._committed_through

    def list_new(self, ended: Iterable[EndedTask]) -> list[EndedTask]:
        """Return the ends that are not committed yet."""
        return [end for end in ended if end.number > self._committed_through]

    def record_committed(self, ended: Iterable[EndedTask]) -> None:
        """Record that ends are committed."""
        self._committed_through = max(
            [self._committed_through, *(ended_task.number for ended_task in ended)]
        )

    def record_acknowledged(self, through: int) -> None:
        """Record that the life whose ends were read has answered an acknowledgement."""
        self._acknowledged_through = max(self._acknowledged_through, through)

    def record_read(self, now: float) -> None:
        """Record that a list was read."""
        self._read_at = now

    def record_no_answer(self) -> None:
        """Record a call without an answer, after which another life may have begun."""
        self._read_at = float("-inf")

    def reset(self) -> None:
        """Begin anew, with another life of the worker."""
        self._committed_through = self._acknowledged_through = 0
