"""An instance's copy of the cell state, with its age."""

from ..schema import cell_pb2, peers_pb2
from ..utils.timers import Signal, TimerService
from .state import CellState

NEVER = float("-inf")


class CellView:
    """Copy of the replicated state whose revision never decreases."""

    def __init__(self, *, timers: TimerService, fence_after_s: float) -> None:
        self._timers = timers
        self._fence_after_s = fence_after_s
        self._state = CellState()
        self._fresh_at = NEVER
        # A revision that is not applied yet, and the time at which it was the latest.
        self._pending_freshness: tuple[int, float] = (0, NEVER)
        self._leader_instance = ""
        self._leader_address = ""
        self._signal = Signal()

    @property
    def state(self) -> CellState:
        """Return the applied state."""
        return self._state

    @property
    def revision(self) -> int:
        """Return the index of the last applied entry."""
        return self._state.revision

    @property
    def signal(self) -> Signal:
        """Return the signal that is set after changes of the view."""
        return self._signal

    @property
    def leader_instance(self) -> str:
        """Return the id of the last known leader instance, or an empty string."""
        return self._leader_instance

    @property
    def leader_address(self) -> str:
        """Return the peer address of the last known leader, or an empty string."""
        return self._leader_address

    @property
    def age_s(self) -> float:
        """Return the seconds since the state last was known to include every committed change."""
        return self._timers.now() - self._fresh_at

    @property
    def fresh_at(self) -> float:
        """Return when the state last was known to include every committed change, by the timers."""
        return self._fresh_at

    @property
    def is_fresh(self) -> bool:
        """Return whether the state is recent enough to serve requests from."""
        return self.age_s <= self._fence_after_s

    def apply(self, entry: peers_pb2.Entry) -> cell_pb2.Result:
        """Apply the next committed entry and return its result."""
        return self._state.apply(entry)

    def finish_batch(self) -> None:
        """Update the freshness and set the signal after a batch of applied entries."""
        revision, fresh_at = self._pending_freshness
        if self._state.revision >= revision:
            self._fresh_at = max(self._fresh_at, fresh_at)
        self._signal.set()

    def restore(self, snapshot: cell_pb2.CellSnapshot) -> bool:
        """Restore a snapshot newer than the state, and return whether it was restored."""
        if snapshot.revision <= self._state.revision:
            return False
        self._state.restore(snapshot)
        self.finish_batch()
        return True

    def mark_fresh(self, *, revision: int, at: float) -> None:
        """Record that a revision was the latest committed one at the given time."""
        was_fresh = self.is_fresh
        if self._state.revision >= revision:
            self._fresh_at = max(self._fresh_at, at)
        else:
            self._pending_freshness = (revision, at)
        if self.is_fresh and not was_fresh:
            self._signal.set()

    def suspect_leader(self, address: str) -> None:
        """Do nothing; the replica or the observer calls `set_leader` when the leader changes."""

    def set_leader(self, *, instance: str, address: str) -> None:
        """Set the known leader."""
        if (instance, address) == (self._leader_instance, self._leader_address):
            return
        self._leader_instance = instance
        self._leader_address = address
        self._signal.set()
