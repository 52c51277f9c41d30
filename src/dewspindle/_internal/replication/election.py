"""Leader election with pre-vote."""

import anyio

from ..models.enums import Role
from ..schema import cell_pb2, peers_pb2
from ..utils.logs import get_logger
from ..utils.timers import wait_for_event
from .context import ReplicaContext
from .handlers import CampaignReason, ReplicaHandlers
from .transport import PeerUnreachableError

MAX_TIMEOUT_FACTOR = 1.6  # Upper bound of the randomized timeout, in election timeouts.
RETRY_DELAY_FACTORS = (0.1, 0.3)  # Range of the delay after a lost pre-vote, in election timeouts.

logger = get_logger(__name__)


class Election:
    """Detects the loss of the leader and requests votes."""

    def __init__(self, context: ReplicaContext, *, handlers: ReplicaHandlers) -> None:
        self._context = context
        self._handlers = handlers

    async def wait_until_due(self) -> CampaignReason:
        """Wait until this replica should stand for election; return why."""
        context = self._context
        timeout_s = context.election_timeout_s
        self._handlers.clear_campaign_request()
        randomized_timeout_s = timeout_s * context.rng.uniform(1.0, MAX_TIMEOUT_FACTOR)
        while True:
            remaining = (
                context.election_timer_started_at + randomized_timeout_s - context.timers.now()
            )
            if remaining <= 0 and self._can_campaign():
                return CampaignReason.TIMEOUT
            asked = await wait_for_event(
                context.timers,
                event=self._handlers.campaign_requested,
                # A replica that cannot stand when its timeout ends checks again at intervals.
                seconds=max(remaining, timeout_s / 10),
            )
            if asked and context.is_voter:
                return self._handlers.campaign_reason

    def _can_campaign(self) -> bool:
        return self._context.is_voter and not self._context.is_disk_full

    async def campaign(self, reason: CampaignReason) -> int | None:
        """Request votes; return the term if a quorum granted them, else None."""
        context = self._context
        term = context.term + 1
        timer_started_at = context.election_timer_started_at
        if reason is CampaignReason.TIMEOUT and not await self._request_votes(term, pre_vote=True):
            # Other voters may have heard from the leader slightly later than this replica.
            await context.timers.sleep(
                context.election_timeout_s * context.rng.uniform(*RETRY_DELAY_FACTORS)
            )
            return None
        async with context.metadata_lock:
            if context.term + 1 != term:
                return None
            # During the pre-vote, this replica may have voted for another or heard from a leader.
            has_changed = context.election_timer_started_at != timer_started_at
            if reason is CampaignReason.TIMEOUT and has_changed:
                return None
            if reason is CampaignReason.ALL_RESTARTED and not context.awaits_leader:
                return None
            context.role = Role.CANDIDATE
            context.awaits_leader = False
            await context.save_term(term, voted_for=context.replica_id)
        context.election_timer_started_at = context.timers.now()
        won = await self._request_votes(term, pre_vote=False, reason=reason)
        # A newer term may have been observed while votes were counted.
        if not won or context.term != term or context.role is not Role.CANDIDATE:
            return None
        context.role = Role.LEADER
        return term

    async def _request_votes(
        self, term: int, *, pre_vote: bool, reason: CampaignReason = CampaignReason.TIMEOUT
    ) -> bool:
        context = self._context
        tally = VoteTally(needed=context.quorum - 1, asked=len(context.other_voters))
        request = peers_pb2.VoteRequest(
            cell_id=context.membership.cell_id,
            term=term,
            candidate=context.replica_id,
            last_index=context.log.last_index,
            last_term=context.log.last_term,
            pre_vote=pre_vote,
            transfer=reason is CampaignReason.TRANSFER,
            all_restarted=reason is CampaignReason.ALL_RESTARTED,
        )
        async with anyio.create_task_group() as group:
            for voter in context.other_voters:
                group.start_soon(self._request_vote, voter, request, tally)
            await wait_for_event(
                context.timers, event=tally.decided, seconds=context.election_timeout_s
            )
            group.cancel_scope.cancel()
        return tally.is_won

    async def _request_vote(
        self, voter: cell_pb2.Voter, request: peers_pb2.VoteRequest, tally: "VoteTally"
    ) -> None:
        addressed = peers_pb2.VoteRequest()
        addressed.CopyFrom(request)
        addressed.target = voter.replica_id
        try:
            answer = await self._context.transport.request_vote(voter.address, addressed)
        except PeerUnreachableError:
            tally.count(granted=False)
            return
        if answer.term > max(self._context.term, request.term):
            await self._context.leave_term(answer.term)
        tally.count(granted=answer.granted)


class VoteTally:
    """Counts the answers to one round of vote requests, without the candidate's own vote."""

    def __init__(self, *, needed: int, asked: int) -> None:
        self._needed = needed
        self._pending = asked
        self._granted = 0
        self._decided = anyio.Event()
        self._decide()

    @property
    def decided(self) -> anyio.Event:
        """Return the event that is set once the outcome is final."""
        return self._decided

    @property
    def is_won(self) -> bool:
        """Return whether the other voters granted the needed votes."""
        return self._granted >= self._needed

    def count(self, *, granted: bool) -> None:
        """Count one answer."""
        self._pending -= 1
        self._granted += granted
        self._decide()

    def _decide(self) -> None:
        if self.is_won or self._granted + self._pending < self._needed:
            self._decided.set()
