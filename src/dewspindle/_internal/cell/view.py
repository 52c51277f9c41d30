"""An instance's copy of the cell state, with how fresh it is."""

from ..schema import cell_pb2, peers_pb2
from ..utils.timers import Signal, TimerService
from .state import CellState

NEVER = float("-inf")


class CellView:
    """The applied state, which only ever moves forward."""

    def __init__(self, *, timers: TimerService, fence_after_s: float) -> None:
        self._timers = timers
        self._fence_after_s = fence_after_s
        self._state = CellState()
        self._fresh_at = NEVER
        self._awaited_fresh: tuple[int, float] = (0, NEVER)
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
        """Return the signal that is set after each change of the view."""
        return self._signal

    @property
    def leader_instance(self) -> str:
        """Return the instance that leads as far as is known, or an empty string."""
        return self._leader_instance

    @property
    def leader_address(self) -> str:
        """Return the peer address of the leader as far as is known, or an empty string."""
        return self._leader_address

    @property
    def age_s(self) -> float:
        """Return seconds since the state was known to hold every committed change."""
        return self._timers.now() - self._fresh_at

    @property
    def is_fresh(self) -> bool:
        """Tell whether the state is young enough to serve from."""
        return self.age_s <= self._fence_after_s

    def apply(self, entry: peers_pb2.Entry) -> cell_pb2.Result:
        """Apply the next committed entry and return what it gave."""
        return self._state.apply(entry)

    def finish_batch(self) -> None:
        """Wake those who wait for a revision, after some entries were applied."""
        revision, fresh_at = self._awaited_fresh
        if self._state.revision >= revision:
            self._fresh_at = max(self._fresh_at, fresh_at)
        self._signal.set()

    def restore(self, snapshot: cell_pb2.CellSnapshot) -> bool:
        """Take over a snapshot unless it is older than the state; tell whether it was taken."""
        if snapshot.revision <= self._state.revision:
            return False
        self._state.restore(snapshot)
        self.finish_batch()
        return True

    def mark_fresh(self, *, revision: int, at: float) -> None:
        """Take note that at a time, nothing after a revision was committed."""
        was_fresh = self.is_fresh
        if self._state.revision >= revision:
            self._fresh_at = max(self._fresh_at, at)
        else:
            self._awaited_fresh = (revision, at)
        if self.is_fresh and not was_fresh:
            self._signal.set()

    def suspect_leader(self, address: str) -> None:
        """Do nothing: the replicas tell who leads."""

    def set_leader(self, *, instance: str, address: str) -> None:
        """Take note of who leads."""
        if (instance, address) == (self._leader_instance, self._leader_address):
            return
        self._leader_instance = instance
        self._leader_address = address
        self._signal.set()
