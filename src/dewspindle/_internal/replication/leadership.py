"""The leader's side of replication: commit index, leader lease, quorum and transfer."""

from collections.abc import Callable

import anyio
import anyio.lowlevel
from anyio.abc import TaskGroup

from ..exceptions import DiskFullError, NotLeaderError
from ..models.ids import ReplicaId
from ..schema import cell_pb2, peers_pb2
from ..utils.logs import get_logger
from ..utils.timers import wait_for_event
from .context import ReplicaContext
from .peer_link import PeerLink
from .transport import PeerUnreachableError

TRANSFER_TIMEOUT_S = 3.0

logger = get_logger(__name__)


class Leadership:
    """One term as the leader: replication to peers, commit index, leader lease and membership."""

    def __init__(self, context: ReplicaContext, *, term: int, on_end: Callable[[], None]) -> None:
        self._context = context
        self._term = term
        self._on_end = on_end
        self._links: dict[ReplicaId, PeerLink] = {}
        self._known_confirmed_at = float("-inf")
        self._known_membership: cell_pb2.Membership | None = None  # Whose voters confirmed it.
        self._link_scopes: dict[ReplicaId, anyio.CancelScope] = {}
        self._started_at = context.timers.now()
        self._inherited_state_at = context.view.fresh_at
        self._term_start_index = 0  # Index of the first entry of this term.
        self._is_transferring = False
        self._flush_started_at: float | None = None

    @property
    def term(self) -> int:
        """Return the term in which this replica was elected."""
        return self._term

    @property
    def is_first(self) -> bool:
        """Return whether this is the first term of the cell, with no earlier leader."""
        return self._term_start_index == 1

    @property
    def started_at(self) -> float:
        """Return when this replica became the leader."""
        return self._started_at

    @property
    def inherited_state_at(self) -> float:
        """Return until when the state is known to hold all changes of earlier leaders.

        Minus infinity after a restart without a leader, as their last changes may be long ago.
        """
        return self._inherited_state_at

    @property
    def links(self) -> dict[ReplicaId, PeerLink]:
        """Return the links to the peers by replica id."""
        return self._links

    @property
    def is_transferring(self) -> bool:
        """Return whether leadership is being transferred or given up."""
        return self._is_transferring

    @property
    def is_leading(self) -> bool:
        """Return whether this replica still leads in this term."""
        return self._context.leads(self._term)

    @property
    def quorum_confirmed_at(self) -> float:
        """Return the latest time at which a quorum is known to have accepted this leader."""
        context = self._context
        times = [self._get_confirmed_at(voter) for voter in context.membership.voters]
        times.sort(reverse=True)
        return times[context.quorum - 1] if len(times) >= context.quorum else float("-inf")

    @property
    def may_act_as_leader(self) -> bool:
        """Return whether this replica may act as the leader.

        It may while it holds the leader lease, so that no other replica can lead, has applied every
        change of earlier terms, and is not transferring leadership.
        """
        if not self.is_leading or self._is_transferring:
            return False
        if self._context.view.revision < self._term_start_index:
            return False
        # No margin for clock drift is subtracted: a voter withholds its vote for the election
        # timeout, which settings/loading.py requires to exceed the leader lease. A restarted voter
        # does so for the leader lease and a margin (see `compute_initial_timer_age`).
        lease_s = self._context.settings.leader_lease_ms / 1000
        now, membership = self._context.timers.now(), self._context.membership
        # While the voters stay the same, the time of the confirmation never goes back. A known one
        # that is recent enough therefore answers, as each order to a worker asks.
        is_known = self._known_membership is membership
        if not is_known or now >= self._known_confirmed_at + lease_s:
            self._known_membership = membership
            self._known_confirmed_at = self.quorum_confirmed_at
        return now < self._known_confirmed_at + lease_s

    def _get_confirmed_at(self, voter: cell_pb2.Voter) -> float:
        if voter.replica_id == self._context.replica_id:
            return self._context.timers.now()
        link = self._links.get(ReplicaId(voter.replica_id))
        return link.confirmed_at if link else float("-inf")

    def get_heard_at(self, replica_id: ReplicaId) -> float | None:
        """Return when this leader or its predecessor last heard from a peer, None if unknown."""
        link = self._links.get(replica_id)
        if link is not None and link.confirmed_at > float("-inf"):
            return link.confirmed_at
        return self._context.contacts.get_heard_at(replica_id)

    def _list_silent(self) -> dict[ReplicaId, float]:
        """Return the peers not heard from for an election timeout, with the time of the last."""
        oldest = self._context.timers.now() - self._context.election_timeout_s
        heard_at = {replica_id: self.get_heard_at(replica_id) for replica_id in self._links}
        return {key: at for key, at in heard_at.items() if at is not None and at < oldest}

    async def run(self) -> None:
        """Lead until this replica steps down.

        It does so on a newer term, a lost quorum, a full disk, a leadership transfer, or once its
        removal from the voters is committed.
        """
        self._add_first_entry()
        logger.info("leading", term=self._term)
        async with anyio.create_task_group() as group:
            group.start_soon(self._flush_entries)
            group.start_soon(self._watch_quorum)
            group.start_soon(self._watch_disk)
            try:
                await self._maintain(group)
            finally:
                # The group waits for a write that hangs in its thread; callers need not.
                self._on_end()
                group.cancel_scope.cancel()
        logger.info("no longer leading", term=self._term)

    def _add_first_entry(self) -> None:
        context = self._context
        entry = peers_pb2.Entry(index=context.log.last_index + 1, term=self._term)
        if context.log.last_index == 0:
            command = cell_pb2.Command(membership=context.membership)
            entry.command = command.SerializeToString()
            entry.membership = True
        self._term_start_index = entry.index
        context.log.add(entry)
        context.replication_needed.set()
        context.state_changed.set()

    async def _maintain(self, group: TaskGroup) -> None:
        """Keep the links as the membership requires, and advance the commit index."""
        context = self._context
        while self.is_leading:
            event = context.state_changed.event
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
                scope = anyio.CancelScope()
                self._links[replica_id] = link
                self._link_scopes[replica_id] = scope
                group.start_soon(self._run_link, link, scope)
        for replica_id in list(self._links):
            if replica_id not in wanted:
                del self._links[replica_id]
                self._link_scopes.pop(replica_id).cancel()

    async def _run_link(self, link: PeerLink, scope: anyio.CancelScope) -> None:
        with scope:
            await link.run()

    async def _flush_entries(self) -> None:
        context = self._context
        while True:
            event = context.replication_needed.event
            if context.log.durable_index == context.log.last_index:
                await event.wait()
                continue
            self._flush_started_at = context.timers.now()
            try:
                await context.flush_log()
            except DiskFullError as error:
                logger.error("disk full; stepping down", error=str(error))
                return
            finally:
                self._flush_started_at = None
            context.state_changed.set()

    async def _watch_disk(self) -> None:
        """Transfer leadership if a flush to the local disk hangs."""
        context = self._context
        while True:
            await context.timers.sleep(context.heartbeat_interval_s)
            flush_started_at = self._flush_started_at
            if flush_started_at is None or self._is_transferring:
                continue
            if context.timers.now() - flush_started_at > context.election_timeout_s:
                logger.warning("disk does not respond; transferring leadership", term=self._term)
                await self.transfer_leadership()
                return

    def _advance_commit(self) -> None:
        context = self._context
        matches = [self._get_match_index(voter) for voter in context.membership.voters]
        matches.sort(reverse=True)
        if len(matches) < context.quorum:
            return
        # An entry counts as committed only once the leader's own disk holds it, so that the
        # leader can drop entries that a full disk refused.
        commit = min(matches[context.quorum - 1], context.log.durable_index)
        if commit <= context.commit_index or context.log.get_term(commit) != self._term:
            return
        context.commit_index = commit
        context.state_changed.set()
        context.replication_needed.set()
        if not context.is_voter and context.log.membership_index <= commit:
            context.step_down()

    def _get_match_index(self, voter: cell_pb2.Voter) -> int:
        if voter.replica_id == self._context.replica_id:
            return self._context.log.durable_index
        link = self._links.get(ReplicaId(voter.replica_id))
        return link.match_index if link else 0

    async def _watch_quorum(self) -> None:
        """Step down if the quorum is lost; record the last confirmation in the links and view."""
        context = self._context
        while True:
            quorum_confirmed_at = self.quorum_confirmed_at
            silent = self._list_silent()
            for link in self._links.values():
                link.record_quorum(quorum_confirmed_at)
                link.record_silent(silent)
            if context.view.revision >= self._term_start_index:
                context.view.mark_fresh(revision=context.commit_index, at=quorum_confirmed_at)
                context.view.set_leader(
                    instance=context.settings.instance_id, address=context.settings.peer_address
                )
            now = context.timers.now()
            if now - max(quorum_confirmed_at, self._started_at) > context.election_timeout_s:
                logger.warning("quorum lost; stepping down", term=self._term)
                context.step_down()
                return
            await context.timers.sleep(context.heartbeat_interval_s / 2)

    def check_membership_committed(self) -> None:
        """Raise `NotLeaderError` while the previous membership change is not committed."""
        context = self._context
        if context.commit_index < max(context.log.membership_index, self._term_start_index):
            raise NotLeaderError("an earlier membership change is not committed yet")

    async def transfer_leadership(self) -> bool:
        """Stop leading, if possible by a transfer to a caught-up voter.

        Returns False if this replica had to step down without a successor. True means that it no
        longer led at the end, also if it lost leadership for another reason.
        """
        context = self._context
        self._is_transferring = True
        context.state_changed.set()
        deadline = context.timers.now() + TRANSFER_TIMEOUT_S
        while self.is_leading and context.other_voters and context.timers.now() < deadline:
            event = context.state_changed.event
            successor = self._find_successor()
            if successor is not None and await self._request_transfer(successor):
                await self._wait_until_superseded(deadline)
                break
            remaining = min(deadline - context.timers.now(), context.heartbeat_interval_s)
            await wait_for_event(context.timers, event=event, seconds=remaining)
        if self.is_leading:
            context.step_down()
            return False
        return True

    def _find_successor(self) -> PeerLink | None:
        voters = {ReplicaId(voter.replica_id) for voter in self._context.membership.voters}
        links = [link for key, link in self._links.items() if key in voters]
        caught_up = [x for x in links if x.match_index == self._context.log.last_index]
        return max(caught_up, key=lambda link: link.confirmed_at, default=None)

    async def _request_transfer(self, successor: PeerLink) -> bool:
        context = self._context
        request = peers_pb2.TransferRequest(
            cell_id=context.membership.cell_id, term=self._term, target=successor.peer.replica_id
        )
        try:
            with context.timers.fail_after(context.election_timeout_s):
                answer = await context.transport.transfer(successor.peer.address, request)
        except (PeerUnreachableError, TimeoutError):
            return False
        return answer.accepted

    async def _wait_until_superseded(self, deadline: float) -> None:
        context = self._context
        while self.is_leading:
            remaining = deadline - context.timers.now()
            if not await wait_for_event(
                context.timers, event=context.state_changed.event, seconds=remaining
            ):
                return
