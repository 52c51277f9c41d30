"""Membership changes, one replica at a time."""

import anyio

from ..exceptions import NotFoundError, NotLeaderError, OutcomeUnknownError
from ..models.ids import ReplicaId
from ..schema import cell_pb2, peers_pb2
from ..utils.logs import get_logger
from .replica import Replica

CHECK_INTERVAL_S = 0.5
MAX_PROMOTION_LAG = 200  # Entries by which a learner may lag when it becomes a voter.

logger = get_logger(__name__)


class MembershipManager:
    """Adds, promotes and removes replicas on the leader.

    A `Voter` message describes a learner or a joining replica as well.
    """

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._lock = anyio.Lock()

    def _copy_membership(self) -> cell_pb2.Membership:
        membership = cell_pb2.Membership()
        membership.CopyFrom(self._replica.context.membership)
        return membership

    async def handle_join(self, request: peers_pb2.JoinRequest) -> peers_pb2.JoinAnswer:
        """Add a replica as a learner unless it is a member already."""
        joining = request.replica
        async with self._lock:
            # An uncommitted membership may still be rolled back by a new leader.
            self._replica.check_can_change_members()
            membership = self._copy_membership()
            known = {r.replica_id for r in (*membership.voters, *membership.learners)}
            if joining.replica_id not in known:
                # A learner of the same instance with an earlier data folder is dropped.
                kept = [x for x in membership.learners if x.instance_id != joining.instance_id]
                joining.is_replacement = any(
                    voter.instance_id == joining.instance_id for voter in membership.voters
                )
                del membership.learners[:]
                membership.learners.extend([*kept, joining])
                await self._replica.change_members(membership)
                logger.info("learner added", replica=joining.instance_id)
        return peers_pb2.JoinAnswer(accepted=True, cell_id=membership.cell_id)

    async def handle_change(self, request: peers_pb2.ChangeMembersRequest) -> cell_pb2.Result:
        """Promote an instance's learner to voter, or remove an instance's replica."""
        async with self._lock:
            if request.remove:
                return await self._remove(request.instance_id)
            return await self._promote(request.instance_id)

    async def _promote(self, instance_id: str) -> cell_pb2.Result:
        membership = self._copy_membership()
        if any(voter.instance_id == instance_id for voter in membership.voters):
            return cell_pb2.Result(status=200, detail=f"{instance_id} is already a voter")
        learners = [x for x in membership.learners if x.instance_id == instance_id]
        if not learners:
            raise NotFoundError(
                f"{instance_id} is not a learner",
                hint="start it with --data-dir, and --peers or --seeds, to join as a learner",
            )
        if not self._is_caught_up(learners[0]):
            raise NotLeaderError(f"learner {instance_id} has not caught up with the log yet")
        membership.learners.remove(learners[0])
        membership.voters.append(learners[0])
        return await self._replica.change_members(membership)

    async def _remove(self, instance_id: str) -> cell_pb2.Result:
        membership = self._copy_membership()
        for group in (membership.learners, membership.voters):
            for replica in group:
                if replica.instance_id == instance_id:
                    group.remove(replica)
                    return await self._replica.change_members(membership)
        raise NotFoundError(f"{instance_id} is not a replica")

    def _is_caught_up(self, replica: cell_pb2.Voter) -> bool:
        leadership = self._replica.leadership
        if leadership is None or ReplicaId(replica.replica_id) not in leadership.links:
            return False
        link = leadership.links[ReplicaId(replica.replica_id)]
        return link.match_index + MAX_PROMOTION_LAG >= self._replica.context.log.last_index

    async def run(self) -> None:
        """Replace lost voters by caught-up learners and fill vacancies, until cancelled.

        A voter is lost if its data folder was emptied or if it has been silent for
        `replace_silent_ms`. If that is 0, only emptied voters are replaced.
        """
        timers = self._replica.context.timers
        while True:
            await timers.sleep(CHECK_INTERVAL_S)
            try:
                async with self._lock:
                    await self._advance_replacement()
            except (NotLeaderError, OutcomeUnknownError) as error:
                logger.debug("membership not changed", why=str(error))

    async def _advance_replacement(self) -> None:
        """Advance one replacement by a step, first those of voters whose data folder was emptied.

        The first step removes the voter with its old replica id, the second one promotes the
        instance's learner.
        """
        membership = self._copy_membership()
        for learner in membership.learners:
            if not learner.is_replacement or not self._is_caught_up(learner):
                continue
            replaced = [v for v in membership.voters if v.instance_id == learner.instance_id]
            if not replaced:
                await self._promote(learner.instance_id)
                logger.info("voter replaced", instance=learner.instance_id)
                return
            if self._is_silent(replaced[0], self._replica.context.election_timeout_s):
                membership.voters.remove(replaced[0])
                await self._replica.change_members(membership)
                return
        await self._advance_silent_voter_replacement(membership)

    async def _advance_silent_voter_replacement(self, membership: cell_pb2.Membership) -> None:
        """Advance the replacement of a silent voter by a caught-up learner by one step.

        The first step removes the silent voter, the second one promotes the learner. The promotion
        is tried first, as it also fills any other vacancy: `initial_voters` is the number of voters
        that the cell should always have.
        """
        settings = self._replica.context.settings
        if not settings.replace_silent_ms:
            return
        silent_s = settings.replace_silent_ms / 1000
        voters = {voter.instance_id for voter in membership.voters}
        candidates = [
            learner
            for learner in membership.learners
            if learner.instance_id not in voters
            and self._is_caught_up(learner)
            and not self._is_silent(learner, self._replica.context.election_timeout_s)
        ]
        if candidates and len(membership.voters) < settings.initial_voters:
            await self._promote(candidates[0].instance_id)
            logger.info("learner became a voter", instance=candidates[0].instance_id)
            return
        silent_voters = [voter for voter in membership.voters if self._is_silent(voter, silent_s)]
        if candidates and silent_voters:
            membership.voters.remove(silent_voters[0])
            await self._replica.change_members(membership)
            logger.warning("silent voter removed", instance=silent_voters[0].instance_id)

    def _is_silent(self, member: cell_pb2.Voter, seconds: float) -> bool:
        context = self._replica.context
        if member.replica_id == context.replica_id:
            return False
        leadership = self._replica.leadership
        link = leadership.links.get(ReplicaId(member.replica_id)) if leadership else None
        if link is None or leadership is None:
            return False
        heard_at = max(link.confirmed_at, leadership.started_at)
        return context.timers.now() - heard_at > seconds
