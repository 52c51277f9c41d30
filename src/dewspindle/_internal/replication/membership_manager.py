"""Membership changes, one replica at a time."""

from collections.abc import Sequence

import anyio

from ..exceptions import NotFoundError, NotLeaderError, OutcomeUnknownError
from ..models.ids import ReplicaId
from ..schema import cell_pb2, peers_pb2
from ..utils.logs import get_logger
from .replica import Replica
from .succession import SilenceLimits, Successor, VoterContact, choose_lost_voter

CHECK_INTERVAL_S = 0.1
# After its announcement a replica has ended; then it may start again.
LEAVING_S = 3.0
MAX_PROMOTION_LAG = 200  # Entries by which a learner may lag when it becomes a voter.

logger = get_logger(__name__)


class MembershipManager:
    """Adds, promotes and removes replicas on the leader.

    A `Voter` message describes a learner or a joining replica as well.
    """

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._lock = anyio.Lock()
        self._checked_at = float("-inf")
        # Since when this replica has led, and has run without a pause.
        self._watched_since = float("-inf")
        self._left_at: dict[ReplicaId, float] = {}
        self._removed_for: dict[ReplicaId, float] = {}
        self._logged_waiting: tuple[tuple[str, ...], ...] = ()

    def _copy_membership(self) -> cell_pb2.Membership:
        membership = cell_pb2.Membership()
        membership.CopyFrom(self._replica.context.membership)
        return membership

    async def handle_join(self, request: peers_pb2.JoinRequest) -> peers_pb2.JoinAnswer:
        """Add a replica as a learner unless it is a member already."""
        joining = request.replica
        if self._is_leaving(joining):
            raise NotLeaderError(f"{joining.instance_id} has announced that it ends")
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

    async def handle_leave(self, request: peers_pb2.LeaveRequest) -> peers_pb2.LeaveAnswer:
        """Record that the process of a replica ends; raise `NotLeaderError` if not the leader."""
        self._replica.check_is_leader()
        logger.info("replica leaves", replica=request.replica_id)
        self._left_at[ReplicaId(request.replica_id)] = self._replica.context.timers.now()
        return peers_pb2.LeaveAnswer()

    def _is_leaving(self, member: cell_pb2.Voter) -> bool:
        left_at = self._left_at.get(ReplicaId(member.replica_id), float("-inf"))
        return self._replica.context.timers.now() - left_at < LEAVING_S

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

        A voter is lost if its data folder was emptied, if it has been silent for
        `replace_silent_ms`, or if it was silent when a new replica came (see `succession`). If
        `replace_silent_ms` is 0, only emptied voters are replaced.
        """
        timers = self._replica.context.timers
        self._watched_since = self._checked_at = timers.now()
        self._left_at.clear()
        self._removed_for.clear()
        while True:
            await timers.sleep(CHECK_INTERVAL_S)
            self._notice_pause(timers.now())
            try:
                async with self._lock:
                    while await self._advance_replacement():
                        pass
            except (NotLeaderError, OutcomeUnknownError) as error:
                logger.debug("membership not changed", why=str(error))

    def _notice_pause(self, now: float) -> None:
        """Watch anew after a pause of this process, in which no replica could be heard."""
        if now - self._checked_at > self._replica.context.election_timeout_s:
            self._watched_since = now
        self._checked_at = now

    async def _advance_replacement(self) -> bool:
        """Advance one replacement by a step; return whether there was one to take.

        The first step removes the voter, the second one promotes a learner. Voters whose data
        folder was emptied come first, and are replaced by the learner of the same instance.
        """
        membership = self._copy_membership()
        for learner in membership.learners:
            if not learner.is_replacement or not self._is_caught_up(learner):
                continue
            replaced = [v for v in membership.voters if v.instance_id == learner.instance_id]
            if not replaced:
                await self._promote(learner.instance_id)
                logger.info("voter replaced", instance=learner.instance_id)
                return True
            if self._is_silent(replaced[0]):
                membership.voters.remove(replaced[0])
                await self._replica.change_members(membership)
                return True
        return await self._advance_silent_voter_replacement(membership)

    async def _advance_silent_voter_replacement(self, membership: cell_pb2.Membership) -> bool:
        """Advance the replacement of a silent voter by a step; return whether there was one.

        The promotion is tried before the removal, as it also fills any other vacancy:
        `initial_voters` is the number of voters that the cell should always have.
        """
        settings = self._replica.context.settings
        if not settings.replace_silent_ms:
            return False
        successors = self._list_successors(membership)
        ready = [successor for successor in successors if successor.is_ready]
        if ready and len(membership.voters) < settings.initial_voters:
            await self._promote_successor(ready[0])
            return True
        if not successors:
            return False
        contacts = [self._make_contact(voter) for voter in membership.voters]
        limits = SilenceLimits(settings.replace_silent_ms / 1000, settings.catch_up_ms / 1000)
        now = self._replica.context.timers.now()
        lost = choose_lost_voter(contacts, successors, limits, now=now)
        if lost is None:
            self._log_waiting(contacts, successors)
            return False
        membership.voters.remove(lost.voter)
        await self._replica.change_members(membership)
        self._record_removed(lost, successors)
        logger.warning(
            "silent voter removed",
            instance=lost.voter.instance_id,
            is_leaving=lost.is_leaving,
            silent_s=round(lost.silent_s, 3),
            watched_s=round(lost.watched_s, 3),
        )
        return True

    def _record_removed(self, lost: VoterContact, successors: Sequence[Successor]) -> None:
        """Remember for which new replica a voter was removed, in case it was the wrong voter.

        If it returns, another one is gone, and it takes the place of that one in the same way.
        """
        created_at = [s.created_at for s in successors if s.created_at is not None]
        if created_at and not lost.is_leaving:
            self._removed_for[ReplicaId(lost.voter.replica_id)] = max(created_at)

    async def _promote_successor(self, successor: Successor) -> None:
        await self._promote(successor.learner.instance_id)
        now, created_at = self._replica.context.timers.now(), successor.created_at
        logger.info(
            "learner became a voter",
            instance=successor.learner.instance_id,
            age_s=None if created_at is None else round(now - created_at, 3),
        )

    def _list_successors(self, membership: cell_pb2.Membership) -> list[Successor]:
        """Return the learners that may take the place of a voter of another instance."""
        voters = {voter.instance_id for voter in membership.voters}
        return [
            Successor(
                learner,
                created_at=self._get_created_at(learner),
                is_ready=self._is_caught_up(learner) and not self._is_silent(learner),
            )
            for learner in membership.learners
            if learner.instance_id not in voters
        ]

    def _get_created_at(self, member: cell_pb2.Voter) -> float | None:
        """Return when a replica, or the one that it was removed for, was created."""
        replica_id, leadership = ReplicaId(member.replica_id), self._replica.leadership
        link = leadership.links.get(replica_id) if leadership else None
        created_at = link.created_at if link else None
        return self._removed_for.get(replica_id) if created_at is None else created_at

    def _log_waiting(
        self, contacts: Sequence[VoterContact], successors: Sequence[Successor]
    ) -> None:
        """Log what a new replica waits for before it can take the place of a silent voter."""
        silent = [contact for contact in contacts if contact.silent_s > 0]
        waiting = (
            tuple(s.learner.instance_id for s in successors if s.created_at and not s.is_ready),
            tuple(s.learner.instance_id for s in successors if s.created_at and s.is_ready),
            tuple(contact.voter.instance_id for contact in silent),
        )
        if waiting == self._logged_waiting:
            return
        self._logged_waiting = waiting
        if not silent or not (waiting[0] or waiting[1]):
            return
        logger.info(
            "replacement waits",
            catching_up=waiting[0],
            caught_up=waiting[1],
            silent_s={c.voter.instance_id: round(c.silent_s, 3) for c in silent},
        )

    def _make_contact(self, voter: cell_pb2.Voter) -> VoterContact:
        return VoterContact(
            voter,
            silent_s=self._get_silence_s(voter),
            is_answering=self._is_answering(voter),
            watched_s=self._checked_at - self._watched_since,
            heard_at=self._get_heard_at(voter),
            is_leaving=self._is_leaving(voter),
        )

    def _is_answering(self, member: cell_pb2.Voter) -> bool:
        context, leadership = self._replica.context, self._replica.leadership
        if member.replica_id == context.replica_id:
            return True
        link = leadership.links.get(ReplicaId(member.replica_id)) if leadership else None
        oldest = context.timers.now() - context.election_timeout_s
        return link is not None and link.confirmed_at > oldest

    def _get_heard_at(self, member: cell_pb2.Voter) -> float | None:
        leadership = self._replica.leadership
        return leadership.get_heard_at(ReplicaId(member.replica_id)) if leadership else None

    def _is_silent(self, member: cell_pb2.Voter) -> bool:
        return self._get_silence_s(member) > 0

    def _get_silence_s(self, member: cell_pb2.Voter) -> float:
        """Return for how long a replica has not been heard from, 0 for up to an election timeout.

        It counts on from the leader before, but this one, too, has to miss its answers.
        """
        context = self._replica.context
        now, timeout_s = context.timers.now(), context.election_timeout_s
        leads = self._replica.leadership is not None
        if member.replica_id == context.replica_id or not leads:
            return 0.0
        if now - self._watched_since <= timeout_s:
            return 0.0
        heard_at = self._get_heard_at(member)
        silent_s = now - (self._watched_since if heard_at is None else heard_at)
        return silent_s if silent_s > timeout_s else 0.0
