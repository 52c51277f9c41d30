"""Handlers of requests from other replicas."""

from enum import Enum

import anyio

from ..exceptions import NotLeaderError
from ..models.enums import Role
from ..schema import cell_pb2, peers_pb2
from ..utils.logs import get_logger
from .context import ReplicaContext
from .log import find_conflict
from .snapshots import StoredSnapshot

logger = get_logger(__name__)


class CampaignReason(Enum):
    """Why a replica stands for election."""

    TIMEOUT = "timeout"  # No leader was heard from for the election timeout.
    TRANSFER = "transfer"  # The leader asked it to.
    ALL_RESTARTED = "all-restarted"  # Every voter has restarted, so none holds the leader lease.


class ReplicaHandlers:
    """Handles vote, append, snapshot and transfer requests."""

    def __init__(self, context: ReplicaContext) -> None:
        self._context = context
        self._append_lock = anyio.Lock()
        self._campaign_requested = anyio.Event()
        self._campaign_reason = CampaignReason.TIMEOUT

    @property
    def campaign_requested(self) -> anyio.Event:
        """Return the event that is set when this replica should stand for election at once."""
        return self._campaign_requested

    @property
    def campaign_reason(self) -> CampaignReason:
        """Return the reason of the last request to stand for election."""
        return self._campaign_reason

    def request_campaign(self, reason: CampaignReason) -> None:
        """Have this replica stand for election at once."""
        self._campaign_reason = reason
        self._campaign_requested.set()

    def clear_campaign_request(self) -> None:
        """Discard an earlier request to stand for election."""
        self._campaign_requested = anyio.Event()

    def _check_target(self, *, cell_id: str, target: str) -> None:
        context = self._context
        if target != context.replica_id:
            raise NotLeaderError(
                f"this is replica {context.replica_id}, but the request is for {target}"
            )
        if cell_id != context.metadata.initial.cell_id:
            raise NotLeaderError(f"this replica is not a member of cell {cell_id}")

    async def handle_vote(self, request: peers_pb2.VoteRequest) -> peers_pb2.VoteAnswer:
        """Grant or deny a vote."""
        self._check_target(cell_id=request.cell_id, target=request.target)
        context = self._context
        is_withheld = self._withholds_votes(request)
        allowed = self._is_up_to_date(request) and not is_withheld
        if request.pre_vote:
            granted = allowed and request.term > context.term
            return peers_pb2.VoteAnswer(term=context.term, granted=granted)
        # While votes are withheld, the term is not adopted, as that would depose a leader that may
        # be alive. Otherwise it is adopted, even if the candidate's log is out of date.
        if is_withheld:
            return peers_pb2.VoteAnswer(term=context.term, granted=False)
        async with context.metadata_lock:
            granted = await self._grant_vote(request)
        return peers_pb2.VoteAnswer(term=context.term, granted=granted)

    async def _grant_vote(self, request: peers_pb2.VoteRequest) -> bool:
        context = self._context
        if request.term < context.term:
            return False
        if request.term > context.term:
            context.step_down()
            voted_for = ""
        else:
            voted_for = context.metadata.voted_for
        granted = voted_for in ("", request.candidate) and self._is_up_to_date(request)
        if granted:
            voted_for = request.candidate
            context.election_timer_started_at = context.timers.now()
            context.awaits_leader = False
        if (request.term, voted_for) != (context.term, context.metadata.voted_for):
            await context.save_term(request.term, voted_for=voted_for)
        return granted

    def _is_up_to_date(self, request: peers_pb2.VoteRequest) -> bool:
        log = self._context.log
        return (request.last_term, request.last_index) >= (log.last_term, log.last_index)

    def _withholds_votes(self, request: peers_pb2.VoteRequest) -> bool:
        """Return whether a leader may be alive that does not transfer its leadership."""
        context = self._context
        if request.transfer:
            return False
        if context.role is Role.LEADER:
            return True
        if request.all_restarted and context.awaits_leader:
            return False
        return context.timers.now() - context.election_timer_started_at < context.election_timeout_s

    async def handle_append(self, request: peers_pb2.AppendRequest) -> peers_pb2.AppendAnswer:
        """Store entries from the leader and advance the commit index."""
        self._check_target(cell_id=request.cell_id, target=request.target)
        context = self._context
        await context.observe_term(request.term)
        if request.term < context.term:
            return self._make_append_answer(matched=False, last_index=0)
        self._record_leader(request)
        async with self._append_lock:
            if request.term != context.term:
                return self._make_append_answer(matched=False, last_index=0)
            retry_from = self._find_retry_index(request)
            if retry_from is not None:
                return self._make_append_answer(matched=False, last_index=retry_from)
            stored = await self._store_entries(request)
        context.election_timer_started_at = context.timers.now()
        self._advance_commit(request, stored)
        return self._make_append_answer(matched=True, last_index=stored)

    def _make_append_answer(self, *, matched: bool, last_index: int) -> peers_pb2.AppendAnswer:
        context = self._context
        now = context.timers.now()
        age_s = now - context.created_at
        return peers_pb2.AppendAnswer(
            term=context.term,
            matched=matched,
            last_index=last_index,
            clock_s=now,
            age_s=age_s if age_s <= context.new_for_s else None,
        )

    def _record_leader(self, request: peers_pb2.AppendRequest) -> None:
        context = self._context
        context.awaits_leader = False
        context.election_timer_started_at = context.timers.now()
        context.contacts.record_request(request, now=context.timers.now())
        if context.role is not Role.FOLLOWER:
            context.step_down()
        context.view.set_leader(instance=request.leader_instance, address=request.leader_address)

    def _find_retry_index(self, request: peers_pb2.AppendRequest) -> int | None:
        """Return the index after which the leader should resend, or None if the log matches."""
        log = self._context.log
        term = log.get_term(request.previous_index)
        if term == request.previous_term:
            return None
        if request.previous_index > log.last_index:
            return log.last_index
        return max(self._context.commit_index, min(request.previous_index, log.last_index) - 1)

    async def _store_entries(self, request: peers_pb2.AppendRequest) -> int:
        context = self._context
        entries = [e for e in request.entries if e.index > context.commit_index]
        conflict = find_conflict(context.log, entries)
        if conflict is not None:
            logger.info("conflicting log entries truncated", index=conflict, term=request.term)
            await context.log.truncate_from(conflict)
        for entry in entries:
            if entry.index > context.log.last_index:
                context.log.add(entry)
        await context.flush_log()
        return request.previous_index + len(request.entries)

    def _advance_commit(self, request: peers_pb2.AppendRequest, stored: int) -> None:
        """Advance the commit index, and record how fresh the view is.

        The leader returns the clock that this replica sent in its previous answer, and the time
        since a quorum confirmed the leader. No clocks of two instances are compared, and the view
        appears older rather than fresher than it is.
        """
        context = self._context
        commit = min(request.commit_index, stored)
        if request.echo_clock_s > 0 and stored >= request.commit_index:
            fresh_at = request.echo_clock_s - request.age_s
            context.view.mark_fresh(revision=request.commit_index, at=fresh_at)
        if commit > context.commit_index:
            context.commit_index = commit
            context.state_changed.set()

    async def handle_snapshot(self, request: peers_pb2.SnapshotRequest) -> peers_pb2.SnapshotAnswer:
        """Replace the log with a snapshot from the leader."""
        self._check_target(cell_id=request.cell_id, target=request.target)
        context = self._context
        await context.observe_term(request.term)
        if request.term < context.term:
            return peers_pb2.SnapshotAnswer(term=context.term)
        context.awaits_leader = False
        context.election_timer_started_at = context.timers.now()
        snapshot = cell_pb2.CellSnapshot.FromString(request.snapshot)
        async with self._append_lock:
            if snapshot.revision > context.commit_index:
                stored = StoredSnapshot(
                    index=snapshot.revision, term=snapshot.term, data=request.snapshot
                )
                await context.log.install_snapshot(stored)
                context.commit_index = snapshot.revision
                context.view.restore(snapshot)
                logger.info("snapshot installed", revision=snapshot.revision)
        context.election_timer_started_at = context.timers.now()
        return peers_pb2.SnapshotAnswer(term=context.term, last_index=snapshot.revision)

    async def handle_transfer(self, request: peers_pb2.TransferRequest) -> peers_pb2.TransferAnswer:
        """Stand for election at once at the leader's request, unless the term has changed."""
        self._check_target(cell_id=request.cell_id, target=request.target)
        accepted = request.term == self._context.term
        if accepted:
            self.request_campaign(CampaignReason.TRANSFER)
        return peers_pb2.TransferAnswer(accepted=accepted)
