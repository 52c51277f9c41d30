"""Formation of a new cell, and joining an existing one with an empty data folder."""

from collections import Counter
from contextlib import suppress

import anyio

from ..exceptions import DiskFullError, NotLeaderError
from ..models.enums import Role
from ..schema import cell_pb2, peers_pb2, storage_pb2
from ..settings.loading import Peer, parse_peers
from ..utils.addresses import parse_address
from ..utils.logs import get_logger
from .address_book import AddressBook
from .context import ReplicaContext
from .metadata import make_random_id
from .transport import PeerUnreachableError

RETRY_DELAY_S = 0.2
FORM_QUERY_S = 5.0  # For all answers to one round; a cell is formed of those that answer.
JOIN_QUERY_S = 1.0  # A replica that only joins does not wait for one that is frozen.
# Consecutive rounds in which enough replicas answered before a cell is formed, so that replicas of
# more zones are known.
SUFFICIENT_ROUNDS_BEFORE_FORMING = 2
REJOIN_CHECK_INTERVAL_S = 1.0
REJOIN_AFTER_ELECTION_TIMEOUTS = 3.0  # Time without a leader before asking to join again.

logger = get_logger(__name__)


def list_leader_addresses(members: list[peers_pb2.HelloAnswer]) -> list[str]:
    """Return where the leader may be, first the members that say that they lead.

    The others may name a leader that is gone, which no answer would tell for some time.
    """
    leading = [member.address for member in members if member.leads]
    named = [member.leader_address for member in members if member.leader_address]
    return list(dict.fromkeys([*leading, *named]))


class Formation:
    """Makes a replica a member of a cell and answers the replicas that look for one.

    A replica whose data folder says that it belongs to a cell is a member at once. Any other forms
    a cell with others, completes a formation that a restart interrupted, or joins a cell.
    """

    def __init__(self, context: ReplicaContext, *, address_book: AddressBook | None = None) -> None:
        self._context = context
        self._address_book = address_book or AddressBook(context.settings)
        self._sufficient_rounds = 0
        self._joined = anyio.Event()
        if context.metadata.phase == peers_pb2.PHASE_MEMBER:
            self._joined.set()

    @property
    def joined(self) -> anyio.Event:
        """Return the event that is set once this replica belongs to a cell."""
        return self._joined

    async def run(self) -> None:
        """Form or join a cell; return once this replica belongs to one."""
        while not self._joined.is_set():
            answers = await self._query_peers()
            try:
                await self._join_or_form(answers)
            except DiskFullError as error:
                logger.error("disk full; cannot become a member", error=str(error))
            if not self._joined.is_set():
                await self._context.timers.sleep(RETRY_DELAY_S)

    async def _query_peers(self) -> dict[str, peers_pb2.HelloAnswer]:
        """Return the answers of the reachable peers by instance id.

        Once the leader has answered, the others are not waited for.
        """
        answers: dict[str, peers_pb2.HelloAnswer] = {}
        limit_s = FORM_QUERY_S if self._context.settings.may_form else JOIN_QUERY_S
        with suppress(TimeoutError), self._context.timers.fail_after(limit_s):
            async with anyio.create_task_group() as group:
                for address in self._address_book.other_replica_addresses:
                    group.start_soon(self._query_peer, address, answers, group.cancel_scope)
        return answers

    async def _query_peer(
        self,
        address: str,
        answers: dict[str, peers_pb2.HelloAnswer],
        round_scope: anyio.CancelScope,
    ) -> None:
        request = self._context.make_hello_request()
        try:
            answer = await self._context.transport.say_hello(address, request)
        except PeerUnreachableError as error:
            logger.debug("peer unreachable", address=address, why=str(error))
            return
        self._address_book.add(answer.replicas)
        answers[answer.instance_id] = answer
        if answer.leads and answer.phase == peers_pb2.PHASE_MEMBER:
            round_scope.cancel()

    async def _join_or_form(self, answers: dict[str, peers_pb2.HelloAnswer]) -> None:
        members = [a for a in answers.values() if a.phase == peers_pb2.PHASE_MEMBER]
        if members:
            await self._join(members)
            return
        if self._context.settings.seeds:
            await self._form_from_seeds(answers)
            return
        peers = parse_peers(self._context.settings.peers)
        own_id = self._context.settings.instance_id
        if own_id not in {peer.instance_id for peer in peers}:
            return
        # The initial voter with the lowest instance id coordinates, as exactly one may form a cell.
        if len(answers) < len(peers) - 1 or min(p.instance_id for p in peers) != own_id:
            return
        await self._form(peers, answers)

    async def _form_from_seeds(self, answers: dict[str, peers_pb2.HelloAnswer]) -> None:
        """Form a cell of the discovered replicas if this replica is the coordinator.

        The coordinator is the seed whose address is the lowest as text. All instances have the same
        seeds at the first start, so exactly one of them may form a cell.
        """
        settings = self._context.settings
        if not settings.may_form or settings.peer_address != min(self._address_book.seeds):
            return
        found = [answer for answer in answers.values() if answer.has_disk and answer.may_form]
        if len(found) + 1 < settings.initial_voters:
            self._sufficient_rounds = 0
            return
        self._sufficient_rounds += 1
        if self._sufficient_rounds >= SUFFICIENT_ROUNDS_BEFORE_FORMING:
            await self._form(self._choose_voters(found), answers)

    def _choose_voters(self, found: list[peers_pb2.HelloAnswer]) -> list[Peer]:
        """Return the initial voters: this replica and others spread over availability zones."""
        settings = self._context.settings
        chosen = [Peer(settings.instance_id, parse_address(settings.peer_address))]
        per_zone = Counter([settings.availability_zone])
        remaining = sorted(found, key=lambda answer: answer.address)
        while remaining and len(chosen) < settings.initial_voters:
            answer = min(remaining, key=lambda item: per_zone[item.availability_zone])
            remaining.remove(answer)
            per_zone[answer.availability_zone] += 1
            chosen.append(Peer(answer.instance_id, parse_address(answer.address)))
        return chosen

    async def rejoin_when_removed(self) -> None:
        """Ask to join again whenever no leader has sent anything for long, until cancelled.

        The leader stops sending to a replica that was removed from the membership, for example a
        silent voter that was replaced. A replica that is still a member stays one unchanged.
        """
        context = self._context
        while True:
            await context.timers.sleep(REJOIN_CHECK_INTERVAL_S)
            silence_s = context.timers.now() - context.election_timer_started_at
            is_cut_off = silence_s > REJOIN_AFTER_ELECTION_TIMEOUTS * context.election_timeout_s
            if not is_cut_off or context.role is not Role.FOLLOWER:
                continue
            for answer in (await self._query_peers()).values():
                if answer.leads and await self._request_join(answer.address):
                    break

    async def _request_join(self, leader_address: str) -> bool:
        context = self._context
        request = peers_pb2.JoinRequest(
            replica=cell_pb2.Voter(
                replica_id=context.replica_id,
                instance_id=context.settings.instance_id,
                address=context.settings.peer_address,
            )
        )
        try:
            answer = await context.transport.join(leader_address, request)
        except PeerUnreachableError as error:
            logger.debug("join request not answered", leader=leader_address, why=str(error))
            return False
        return answer.accepted

    async def _form(self, peers: list[Peer], answers: dict[str, peers_pb2.HelloAnswer]) -> None:
        """Form a cell of the initial voters in two phases.

        First every voter stores the membership in phase FORMING, this replica before the others.
        Then this replica becomes a member, and after it the others. If a voter does not answer or
        refuses in the first phase, the attempt ends and the next round repeats it.
        """
        membership = self._make_membership(peers, answers)
        if not await self._prepare(membership):
            return
        for commit in (False, True):
            for peer in peers:
                if peer.instance_id == self._context.settings.instance_id:
                    continue
                request = peers_pb2.FormRequest(membership=membership, commit=commit)
                try:
                    answer = await self._context.transport.form(str(peer.address), request)
                except PeerUnreachableError:
                    return
                if not answer.accepted:
                    return
            if not commit:
                # All voters have stored the membership, so the cell exists even if voters restart:
                # a voter that misses the second phase becomes a member in `_join`.
                await self._become_member(membership)
                logger.info("cell formed", cell=membership.cell_id)

    def _make_membership(
        self, peers: list[Peer], answers: dict[str, peers_pb2.HelloAnswer]
    ) -> cell_pb2.Membership:
        metadata = self._context.metadata
        membership = cell_pb2.Membership(cell_id=make_random_id(self._context.rng))
        for peer in peers:
            answer = answers.get(peer.instance_id)
            membership.voters.add(
                replica_id=answer.replica_id if answer else self._context.replica_id,
                instance_id=peer.instance_id,
                address=str(peer.address),
            )
        # A voter may have stored an earlier attempt, so the attempt is repeated with its cell id.
        is_same = list(metadata.initial.voters) == list(membership.voters)
        if metadata.phase == peers_pb2.PHASE_FORMING and is_same:
            membership.cell_id = metadata.initial.cell_id
        return membership

    async def _prepare(self, membership: cell_pb2.Membership) -> bool:
        context = self._context
        async with context.metadata_lock:
            if context.metadata.phase == peers_pb2.PHASE_MEMBER:
                return False
            await self._save(membership, phase=peers_pb2.PHASE_FORMING)
        return True

    async def _become_member(self, membership: cell_pb2.Membership) -> None:
        context = self._context
        async with context.metadata_lock:
            if context.metadata.phase != peers_pb2.PHASE_MEMBER:
                await self._save(membership, phase=peers_pb2.PHASE_MEMBER)
        context.election_timer_started_at = context.timers.now()
        self._joined.set()

    async def _save(
        self, membership: cell_pb2.Membership, *, phase: peers_pb2.CellPhase.ValueType
    ) -> None:
        changed = storage_pb2.ReplicaMetadata()
        changed.CopyFrom(self._context.metadata)
        changed.phase = phase
        changed.initial.CopyFrom(membership)
        await self._context.save_metadata(changed)

    async def handle_hello(self, request: peers_pb2.HelloRequest) -> peers_pb2.HelloAnswer:
        """Return the identity of this replica and whether it belongs to a cell."""
        context = self._context
        settings = context.settings
        self._address_book.add([request.address])
        # Otherwise the statement may be older than this process.
        if request.known_process == context.process_id:
            context.record_restarted(request)
        members = (*context.membership.voters, *context.membership.learners)
        self._address_book.add(member.address for member in members)
        return peers_pb2.HelloAnswer(
            instance_id=settings.instance_id,
            replica_id=context.replica_id,
            cell_id=context.membership.cell_id,
            phase=context.metadata.phase,
            leader_address=context.view.leader_address,
            has_disk=True,
            replicas=self._address_book.other_replica_addresses,
            may_form=bool(settings.may_form),
            availability_zone=settings.availability_zone,
            # A job replica sets this only if it can also serve as the leader.
            leads=context.role is Role.LEADER,
            is_voter=context.is_voter,
            address=settings.peer_address,
            restarted=context.describe_restart(),
            process=context.process_id,
        )

    async def handle_form(self, request: peers_pb2.FormRequest) -> peers_pb2.FormAnswer:
        """Store the membership of a new cell, or become a member of it if the request commits it.

        Refused unless the membership holds this replica and it is not a member of another cell.
        """
        context = self._context
        membership = request.membership
        own = [v for v in membership.voters if v.replica_id == context.replica_id]
        if not own:
            return peers_pb2.FormAnswer(accepted=False)
        if context.metadata.phase == peers_pb2.PHASE_MEMBER:
            is_same = context.metadata.initial.cell_id == membership.cell_id
            return peers_pb2.FormAnswer(accepted=is_same)
        if not request.commit:
            return peers_pb2.FormAnswer(accepted=await self._prepare(membership))
        if context.metadata.initial.cell_id != membership.cell_id:
            return peers_pb2.FormAnswer(accepted=False)
        await self._become_member(membership)
        return peers_pb2.FormAnswer(accepted=True)

    async def _join(self, members: list[peers_pb2.HelloAnswer]) -> None:
        """Join a cell by completing its interrupted formation, or as a learner."""
        context = self._context
        cell_id = members[0].cell_id
        if any(member.cell_id != cell_id for member in members):
            raise NotLeaderError(
                f"reachable peers belong to different cells, one of them {cell_id}; "
                "correct --peers or --seeds"
            )
        initial = context.metadata.initial
        if context.metadata.phase == peers_pb2.PHASE_FORMING and initial.cell_id == cell_id:
            await self._become_member(initial)
            return
        for address in list_leader_addresses(members):
            if await self._request_join(address):
                # Only the cell id is stored; the members arrive with the log.
                await self._become_member(cell_pb2.Membership(cell_id=cell_id))
                age_s = context.timers.now() - context.created_at
                logger.info("joined as a learner", cell=cell_id, age_s=round(age_s, 3))
                return
