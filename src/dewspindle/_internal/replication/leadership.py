"""What a replica does while it leads."""

import anyio
import anyio.lowlevel
from anyio.abc import TaskGroup

from ..exceptions import DiskFullError, NotLeaderError
from ..models.enums import Role
from ..models.ids import ReplicaId
from ..schema import cell_pb2, peers_pb2
from ..utils.logs import get_logger
from ..utils.timers import wait_for_event
from .context import ReplicaContext
from .peer_link import PeerLink
from .transport import PeerUnreachableError

HAND_OVER_TIMEOUT_S = 3.0

logger = get_logger(__name__)


class Leadership:
    """One term of leading: links to the peers, commit, lease, membership."""

    def __init__(self, context: ReplicaContext, *, term: int) -> None:
        self._context = context
        self._term = term
        self._links: dict[ReplicaId, PeerLink] = {}
        self._started_at = context.timers.now()
        self._first_index = 0
        self._is_transferring = False
        self._flush_began_at: float | None = None

    @property
    def term(self) -> int:
        """Return the term that is led."""
        return self._term

    @property
    def is_first(self) -> bool:
        """Tell whether no leader before this one can have acted in the cell."""
        return self._first_index == 1

    @property
    def started_at(self) -> float:
        """Return when the term began to be led."""
        return self._started_at

    @property
    def links(self) -> dict[ReplicaId, PeerLink]:
        """Return the links by replica id."""
        return self._links

    @property
    def is_transferring(self) -> bool:
        """Tell whether the lead is being given up."""
        return self._is_transferring

    @property
    def is_leading(self) -> bool:
        """Tell whether this term is still led."""
        return self._context.role is Role.LEADER and self._context.term == self._term

    @property
    def quorum_at(self) -> float:
        """Return a time at which a quorum held this replica for the leader."""
        context = self._context
        times = [self._get_confirmed_at(voter) for voter in context.membership.voters]
        times.sort(reverse=True)
        return times[context.quorum - 1] if len(times) >= context.quorum else float("-inf")

    @property
    def holds_lease(self) -> bool:
        """Tell whether no other replica can lead now and every earlier change is applied."""
        if not self.is_leading or self._is_transferring:
            return False
        if self._context.view.revision < self._first_index:
            return False
        lease_s = self._context.settings.leader_lease_ms / 1000
        return self._context.timers.now() < self.quorum_at + lease_s

    def _get_confirmed_at(self, voter: cell_pb2.Voter) -> float:
        if voter.replica_id == self._context.replica_id:
            return self._context.timers.now()
        link = self._links.get(ReplicaId(voter.replica_id))
        return link.confirmed_at if link else float("-inf")

    async def run(self) -> None:
        """Lead until a newer term or the loss of the quorum ends it."""
        self._add_first_entry()
        logger.info("leading", term=self._term)
        async with anyio.create_task_group() as group:
            group.start_soon(self._flush_entries)
            group.start_soon(self._watch_quorum)
            group.start_soon(self._watch_disk)
            try:
                await self._maintain(group)
            finally:
                group.cancel_scope.cancel()
        logger.info("no longer leading", term=self._term)

    def _add_first_entry(self) -> None:
        context = self._context
        entry = peers_pb2.Entry(index=context.log.last_index + 1, term=self._term)
        if context.log.last_index == 0:
            command = cell_pb2.Command(membership=context.membership)
            entry.command = command.SerializeToString()
            entry.membership = True
        self._first_index = entry.index
        context.log.add(entry)
        context.outgoing.set()
        context.signal.set()

    async def _maintain(self, group: TaskGroup) -> None:
        context = self._context
        while self.is_leading:
            event = context.signal.event
            self._update_links(group)
            self._advance_commit()
            await event.wait()

    def _update_links(self, group: TaskGroup) -> None:
        membership = self._context.membership
        wanted = {
            ReplicaId(peer.replica_id): peer
            for peer in (*membership.voters, *membership.learners)
            if peer.replica_id != self._context.replica_id
        }
        for replica_id, peer in wanted.items():
            if replica_id not in self._links:
                link = PeerLink(self._context, peer=peer, term=self._term)
                self._links[replica_id] = link
                group.start_soon(self._run_link, link)
        for replica_id in list(self._links):
            if replica_id not in wanted:
                del self._links[replica_id]

    async def _run_link(self, link: PeerLink) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(link.run)
            while self._links.get(ReplicaId(link.peer.replica_id)) is link:
                await self._context.signal.event.wait()
            group.cancel_scope.cancel()

    async def _flush_entries(self) -> None:
        context = self._context
        while True:
            event = context.outgoing.event
            if context.log.durable_index == context.log.last_index:
                await event.wait()
                continue
            self._flush_began_at = context.timers.now()
            try:
                await context.flush_log()
            except DiskFullError as error:
                self._give_up_writes(error)
                return
            finally:
                self._flush_began_at = None
            context.signal.set()

    async def _watch_disk(self) -> None:
        """Give the lead away while the own disk does not answer."""
        context = self._context
        while True:
            await context.timers.sleep(context.heartbeat_interval_s)
            began_at = self._flush_began_at
            if began_at is None or self._is_transferring:
                continue
            if context.timers.now() - began_at > context.election_timeout_s:
                logger.warning("the disk does not answer, giving the lead away", term=self._term)
                await self.transfer_leadership()
                return

    def _give_up_writes(self, error: DiskFullError) -> None:
        logger.error("disk full, giving up the lead", error=str(error))
        self._context.log.drop_unsynced()
        self._context.writes_refused = True
        self._context.step_down()

    def _advance_commit(self) -> None:
        context = self._context
        matches = [self._get_match_index(voter) for voter in context.membership.voters]
        matches.sort(reverse=True)
        if len(matches) < context.quorum:
            return
        # The leader counts nothing as committed that its own disk does not hold, so that it
        # can drop what a full disk refused.
        commit = min(matches[context.quorum - 1], context.log.durable_index)
        if commit <= context.commit_index or context.log.get_term(commit) != self._term:
            return
        context.commit_index = commit
        context.signal.set()
        context.outgoing.set()
        if not context.is_voter and context.log.membership_index <= commit:
            context.step_down()

    def _get_match_index(self, voter: cell_pb2.Voter) -> int:
        if voter.replica_id == self._context.replica_id:
            return self._context.log.durable_index
        link = self._links.get(ReplicaId(voter.replica_id))
        return link.match_index if link else 0

    async def _watch_quorum(self) -> None:
        context = self._context
        while True:
            quorum_at = self.quorum_at
            for link in self._links.values():
                link.note_quorum(quorum_at)
            if context.view.revision >= self._first_index:
                context.view.note_fresh(revision=context.commit_index, at=quorum_at)
                context.view.note_leader(
                    instance=context.settings.instance_id, address=context.settings.peer_address
                )
            now = context.timers.now()
            if now - max(quorum_at, self._started_at) > context.election_timeout_s:
                logger.warning("quorum lost, giving up the lead", term=self._term)
                context.step_down()
                return
            await context.timers.sleep(context.heartbeat_interval_s / 2)

    def check_membership_change(self) -> None:
        """Raise `NotLeaderError` while an earlier membership is not committed."""
        context = self._context
        if context.commit_index < max(context.log.membership_index, self._first_index):
            raise NotLeaderError("an earlier change of the members is not committed yet")

    async def transfer_leadership(self) -> bool:
        """Give the lead to the voter that is most up to date, and tell whether one took it."""
        context = self._context
        self._is_transferring = True
        context.signal.set()
        deadline = context.timers.now() + HAND_OVER_TIMEOUT_S
        while self.is_leading and context.other_voters and context.timers.now() < deadline:
            event = context.signal.event
            heir = self._find_heir()
            if heir is not None and await self._offer_lead(heir):
                await self._wait_until_followed(deadline)
                break
            remaining = min(deadline - context.timers.now(), context.heartbeat_interval_s)
            await wait_for_event(context.timers, event=event, seconds=remaining)
        if self.is_leading:
            context.step_down()
            return False
        return True

    def _find_heir(self) -> PeerLink | None:
        voters = {ReplicaId(voter.replica_id) for voter in self._context.membership.voters}
        links = [link for key, link in self._links.items() if key in voters]
        caught_up = [x for x in links if x.match_index == self._context.log.last_index]
        return max(caught_up, key=lambda link: link.confirmed_at, default=None)

    async def _offer_lead(self, heir: PeerLink) -> bool:
        context = self._context
        request = peers_pb2.TransferRequest(
            cell_id=context.membership.cell_id, term=self._term, target=heir.peer.replica_id
        )
        try:
            with context.timers.fail_after(context.election_timeout_s):
                answer = await context.transport.transfer(heir.peer.address, request)
        except (PeerUnreachableError, TimeoutError):
            return False
        return answer.accepted

    async def _wait_until_followed(self, deadline: float) -> None:
        context = self._context
        while self.is_leading:
            remaining = deadline - context.timers.now()
            if not await wait_for_event(
                context.timers, event=context.signal.event, seconds=remaining
            ):
                return
