"""Replication from the leader to one other replica."""

import anyio

from ..models.ids import ReplicaId
from ..schema import cell_pb2, peers_pb2
from ..utils.logs import get_logger
from ..utils.timers import wait_for_event
from .context import ReplicaContext
from .transport import PeerUnreachableError

MAX_BATCH_BYTES = 1024 * 1024
SNAPSHOT_TIMEOUT_S = 60.0

logger = get_logger(__name__)


class PeerLink:
    """Replicates entries and snapshots to one replica, with one request in flight."""

    def __init__(self, context: ReplicaContext, *, peer: cell_pb2.Voter, term: int) -> None:
        self._context = context
        self._peer = peer
        self._term = term
        self._next_index = context.log.last_index + 1
        self._match_index = 0
        self._sent_commit_index = 0
        self._confirmed_at = float("-inf")
        self._echo_clock_s = 0.0  # Clock of the peer in its last answer; 0 before the first one.
        self._quorum_confirmed_at = float("-inf")
        self._silent_since: dict[ReplicaId, float] = {}
        self._silent_sent_at = float("-inf")
        self._created_at: float | None = None
        self._reachable = True

    @property
    def match_index(self) -> int:
        """Return the index up to which the peer has synced the leader's log."""
        return self._match_index

    @property
    def confirmed_at(self) -> float:
        """Return when the latest request that the peer answered was sent."""
        return self._confirmed_at

    @property
    def created_at(self) -> float | None:
        """Return when the peer's data folder was created, or None if that is long ago."""
        return self._created_at

    @property
    def peer(self) -> cell_pb2.Voter:
        """Return the replica that this link replicates to."""
        return self._peer

    @property
    def _has_news(self) -> bool:
        """Return whether there are entries to send, or the last commit for some time.

        While entries wait for their commit, an earlier commit is sent along with the next one, or
        with the next entries or heartbeat.
        """
        context = self._context
        if self._next_index <= context.log.last_index:
            return True
        is_unsent = context.commit_index > self._sent_commit_index
        return is_unsent and context.commit_index == context.log.last_index

    def record_quorum(self, at: float) -> None:
        """Record when a quorum last confirmed the leader, for the next requests."""
        self._quorum_confirmed_at = at

    def record_silent(self, since: dict[ReplicaId, float]) -> None:
        """Record when silent replicas were last heard from, for the next requests."""
        self._silent_since = since

    async def run(self) -> None:
        """Send entries and heartbeats until this replica leads no longer, or cancelled."""
        context = self._context
        # A leader that steps down may have dropped entries that were sent already.
        while context.leads(self._term):
            try:
                behind = await self._exchange()
            except PeerUnreachableError as error:
                self._record_unreachable(error)
                await context.timers.sleep(context.heartbeat_interval_s)
                continue
            if behind or self._next_index <= context.log.last_index:
                await anyio.lowlevel.checkpoint()
                continue
            await self._wait_until_needed()

    async def _wait_until_needed(self) -> None:
        """Wait until there is something to send, at most until the next heartbeat."""
        context = self._context
        heartbeat_at = context.timers.now() + context.heartbeat_interval_s
        while not self._has_news:
            event = context.replication_needed.event
            remaining_s = heartbeat_at - context.timers.now()
            if not await wait_for_event(context.timers, event=event, seconds=remaining_s):
                return

    def _record_unreachable(self, error: PeerUnreachableError) -> None:
        if self._reachable:
            logger.warning("replica unreachable", peer=self._peer.instance_id, why=str(error))
        self._reachable = False

    def _record_reachable(self) -> None:
        if not self._reachable:
            silent_s = self._context.timers.now() - self._confirmed_at
            logger.info(
                "replica reachable again",
                peer=self._peer.instance_id,
                silent_s=round(silent_s, 3) if self._confirmed_at > float("-inf") else None,
                entries_behind=self._context.log.last_index - self._match_index,
            )
        self._reachable = True

    async def _exchange(self) -> bool:
        """Send one request; return whether the peer is known to lag behind."""
        log = self._context.log
        previous_term = log.get_term(self._next_index - 1)
        if previous_term is None:
            await self._send_snapshot()
            return True
        return await self._send_entries(previous_term)

    async def _send_entries(self, previous_term: int) -> bool:
        context = self._context
        entries = context.log.get_entries(
            self._next_index, context.log.last_index, max_bytes=MAX_BATCH_BYTES
        )
        now = context.timers.now()
        request = peers_pb2.AppendRequest(
            cell_id=context.membership.cell_id,
            term=self._term,
            leader=context.replica_id,
            previous_index=self._next_index - 1,
            previous_term=previous_term,
            entries=entries,
            commit_index=context.commit_index,
            echo_clock_s=self._echo_clock_s,
            target=self._peer.replica_id,
            age_s=max(0.0, min(now - self._quorum_confirmed_at, 1e9)),
            leader_instance=context.settings.instance_id,
            leader_address=context.settings.peer_address,
            silent=self._list_silent(now),
        )
        answer = await self._send_append(request)
        self._sent_commit_index = request.commit_index
        if not await self._accept_term(answer.term, sent_at=now):
            return False
        self._echo_clock_s = answer.clock_s
        self._created_at = now - answer.age_s if answer.HasField("age_s") else None
        if not answer.matched:
            self._next_index = max(1, min(answer.last_index + 1, self._next_index - 1))
            return True
        self._record_match(answer.last_index)
        return False

    def _list_silent(self, now: float) -> peers_pb2.SilentReplicas | None:
        """Return the silent replicas, or None if they were sent just now."""
        if now < self._silent_sent_at + self._context.heartbeat_interval_s:
            return None
        self._silent_sent_at = now
        silent = peers_pb2.SilentReplicas()
        for replica_id, since in self._silent_since.items():
            silent.replicas.add(replica_id=replica_id, silent_s=now - since)
        return silent

    async def _send_append(self, request: peers_pb2.AppendRequest) -> peers_pb2.AppendAnswer:
        context = self._context
        try:
            with context.timers.fail_after(context.election_timeout_s):
                return await context.transport.append(self._peer.address, request)
        except TimeoutError:
            raise PeerUnreachableError("append request timed out") from None

    async def _send_snapshot(self) -> None:
        context = self._context
        snapshot = context.log.snapshot
        assert snapshot is not None
        now = context.timers.now()
        request = peers_pb2.SnapshotRequest(
            cell_id=context.membership.cell_id,
            term=self._term,
            leader=context.replica_id,
            snapshot=snapshot.data,
            target=self._peer.replica_id,
        )
        logger.info("sending snapshot", peer=self._peer.instance_id, revision=snapshot.index)
        try:
            with context.timers.fail_after(SNAPSHOT_TIMEOUT_S):
                answer = await context.transport.install_snapshot(self._peer.address, request)
        except TimeoutError:
            raise PeerUnreachableError("snapshot request timed out") from None
        if await self._accept_term(answer.term, sent_at=now):
            self._record_match(answer.last_index)

    def _record_match(self, index: int) -> None:
        self._next_index = max(self._match_index, index) + 1
        if index > self._match_index:
            self._match_index = index
            self._context.state_changed.set()

    async def _accept_term(self, term: int, *, sent_at: float) -> bool:
        """Record that the peer answered, or step down and return False if its term is newer."""
        if term > self._term:
            await self._context.leave_term(term)
            return False
        self._record_reachable()
        self._confirmed_at = max(self._confirmed_at, sent_at)
        return True
