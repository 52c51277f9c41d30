"""What a restarted replica learns about the other voters before it hears from a leader."""

from collections.abc import Iterable

from ..models.ids import ReplicaId
from ..schema import cell_pb2, peers_pb2

LogEnd = tuple[int, int]  # Term and index of the last entry.


class RestartedVoters:
    """Voters that told this process that they have restarted.

    The leader lease ends with the process of the leader. If every voter has restarted, no replica
    holds the lease, and an election need not wait until the last one would have expired.
    """

    def __init__(self) -> None:
        self._log_ends: dict[ReplicaId, LogEnd] = {}
        self._replica_ids: dict[str, ReplicaId] = {}  # By instance id.

    def record(self, peer: peers_pb2.HelloRequest | peers_pb2.HelloAnswer) -> None:
        """Record a statement that a peer made after the start of this process."""
        replica_id = ReplicaId(peer.replica_id)
        self._replica_ids[peer.instance_id] = replica_id
        if peer.HasField("restarted"):
            restarted = peer.restarted
            self._log_ends[replica_id] = (restarted.last_term, restarted.last_index)
        else:
            self._log_ends.pop(replica_id, None)

    def includes_all(self, voters: Iterable[cell_pb2.Voter]) -> bool:
        """Return whether each voter has restarted, or has lost its data folder."""
        return all(
            ReplicaId(voter.replica_id) in self._log_ends or self._is_emptied(voter)
            for voter in voters
        )

    def _is_emptied(self, voter: cell_pb2.Voter) -> bool:
        """Return whether the instance of a voter runs with another replica id."""
        current = self._replica_ids.get(voter.instance_id)
        return current is not None and current != voter.replica_id

    def is_best_candidate(
        self, replica_id: str, log_end: LogEnd, *, voters: Iterable[cell_pb2.Voter]
    ) -> bool:
        """Return whether a replica comes first among the voters that could win an election.

        All restarted voters name the same one, so that they do not split the votes.
        """
        others = [
            (self._log_ends[ReplicaId(voter.replica_id)], voter.replica_id)
            for voter in voters
            if ReplicaId(voter.replica_id) in self._log_ends
        ]
        return all((log_end, replica_id) > other for other in others)
