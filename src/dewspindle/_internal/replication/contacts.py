"""When other replicas were last heard from, as a leader told its followers."""

from ..models.ids import ReplicaId
from ..schema import peers_pb2


class ContactHistory:
    """Keeps what the requests of the last leader told, for the case that this replica succeeds it.

    The wait for a silent replica thereby goes on across a change of leader.
    """

    def __init__(self) -> None:
        self._leader: ReplicaId | None = None
        self._leader_heard_at = float("-inf")
        self._silent_since: dict[ReplicaId, float] = {}

    def record_request(self, request: peers_pb2.AppendRequest, *, now: float) -> None:
        """Record a request of the leader."""
        self._leader = ReplicaId(request.leader)
        self._leader_heard_at = now
        if request.HasField("silent"):
            self._silent_since = {
                ReplicaId(silent.replica_id): now - silent.silent_s
                for silent in request.silent.replicas
            }

    def get_heard_at(self, replica_id: ReplicaId) -> float | None:
        """Return when a replica was last heard from, or None if no leader told."""
        if self._leader is None:
            return None
        return self._silent_since.get(replica_id, self._leader_heard_at)
