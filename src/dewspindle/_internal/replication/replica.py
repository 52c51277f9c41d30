"""One replica of the cell state: elections, log, applying, snapshots."""

import random
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import anyio.lowlevel

from ..cell.view import CellView
from ..exceptions import (
    DiskFullError,
    NotLeaderError,
    OutcomeUnknownError,
    UnknownCommandError,
)
from ..models.enums import Role
from ..schema import cell_pb2, peers_pb2, settings_pb2
from ..utils.logs import get_logger
from ..utils.timers import TimerService
from .context import ReplicaContext
from .disk import Disk
from .election import Election
from .handlers import ReplicaHandlers
from .leadership import Leadership
from .log import Log, Offload, run_in_thread
from .metadata import MetadataStore
from .snapshots import StoredSnapshot
from .transport import PeerTransport

APPLY_BATCH = 256  # Entries between two turns of the event loop.
MAX_PENDING = 20000  # Proposals that wait for their commit.
LEASE_DRIFT = 1.05  # Clocks of two instances differ by less than this.

logger = get_logger(__name__)


@dataclass(slots=True)
class Proposal:
    """A change that waits until it is applied."""

    term: int
    done: anyio.Event = field(default_factory=anyio.Event)
    result: cell_pb2.Result | None = None


def load_context(
    *,
    settings: settings_pb2.Settings,
    timers: TimerService,
    transport: PeerTransport,
    view: CellView,
    seed: random.Random,
    disk: Disk | None = None,
    offload: Offload = run_in_thread,
) -> ReplicaContext:
    """Read the data folder and make what the tasks of a replica share."""
    disk = disk or Disk()
    folder = Path(settings.data_dir)
    metadata_store = MetadataStore(folder, disk=disk)
    metadata = metadata_store.load(instance_id=settings.instance_id, seed=seed)
    log = Log(
        folder,
        segment_bytes=settings.segment_bytes,
        retained_entries=settings.retained_entries,
        disk=disk,
        offload=offload,
    )
    log.load()
    if log.snapshot is not None:
        view.restore(cell_pb2.CellSnapshot.FromString(log.snapshot.data))
    return ReplicaContext(
        settings=settings,
        timers=timers,
        transport=transport,
        random=seed,
        offload=offload,
        view=view,
        log=log,
        metadata=metadata,
        metadata_store=metadata_store,
        commit_index=log.snapshot_index,
        last_contact=timers.now() - compute_head_start(settings),
    )


def compute_head_start(settings: settings_pb2.Settings) -> float:
    """Return how much sooner than usual a replica that just starts may vote, in seconds.

    It may have confirmed a leader right before, so it waits out that leader's lease, but no more.
    """
    lease_s = settings.leader_lease_ms / 1000 * LEASE_DRIFT
    return max(0.0, settings.election_timeout_ms / 1000 - lease_s)


class Replica:
    """Takes part in agreeing on the log and applies what is committed."""

    def __init__(self, context: ReplicaContext) -> None:
        self._context = context
        self._handlers = ReplicaHandlers(context)
        self._election = Election(context, handlers=self._handlers)
        self._leadership: Leadership | None = None
        self._proposals: dict[int, Proposal] = {}
        self._log_time_ms = 0

    @property
    def context(self) -> ReplicaContext:
        """Return what the tasks of the replica share."""
        return self._context

    @property
    def handlers(self) -> ReplicaHandlers:
        """Return the answers to other replicas."""
        return self._handlers

    @property
    def leadership(self) -> Leadership | None:
        """Return the term that is being led, if any."""
        return self._leadership

    @property
    def role(self) -> Role:
        """Return the role in the newest term."""
        return self._context.role

    @property
    def holds_lease(self) -> bool:
        """Tell whether this replica may act as the leader now."""
        return self._leadership is not None and self._leadership.holds_lease

    async def run(self) -> None:
        """Take part until cancelled; raise where the replica cannot go on."""
        context = self._context
        async with anyio.create_task_group() as group:
            group.start_soon(self._take_part)
            group.start_soon(self._apply_committed)
            group.start_soon(self._save_snapshots)
            group.start_soon(self._probe_full_disk)
            await context.failed.wait()
            assert context.failure is not None
            raise context.failure

    async def _take_part(self) -> None:
        while True:
            transfer = await self._election.wait_until_due()
            try:
                term = await self._election.stand(transfer=transfer)
            except DiskFullError as error:
                logger.error("cannot stand for election", error=str(error))
                self._context.writes_refused = True
                continue
            if term is not None:
                await self._lead(term)

    async def _lead(self, term: int) -> None:
        self._leadership = Leadership(self._context, term=term)
        try:
            await self._leadership.run()
        finally:
            self._leadership = None
            self._context.last_contact = self._context.timers.now()
            self._abandon_proposals()

    def _abandon_proposals(self) -> None:
        """Answer those whose change is not known to be committed."""
        proposals, self._proposals = self._proposals, {}
        for proposal in proposals.values():
            proposal.done.set()

    async def propose(self, command: cell_pb2.Command) -> cell_pb2.Result:
        """Commit a change and return what applying it gave.

        Raises `NotLeaderError` where it was surely not committed, `OutcomeUnknownError` where
        it may have been.
        """
        leadership = self._leadership
        if leadership is None or not leadership.is_leading or leadership.is_transferring:
            raise NotLeaderError("this replica does not lead")
        if len(self._proposals) >= MAX_PENDING:
            raise NotLeaderError("too many changes wait for their commit")
        proposal = self._add_proposal(command, term=leadership.term)
        await proposal.done.wait()
        if proposal.result is None:
            raise OutcomeUnknownError("the lead changed before the change was committed")
        return proposal.result

    def _add_proposal(self, command: cell_pb2.Command, *, term: int) -> Proposal:
        context = self._context
        self._log_time_ms = max(
            self._log_time_ms, context.view.state.at_ms, context.timers.wall_ms()
        )
        command.at_ms = self._log_time_ms
        entry = peers_pb2.Entry(
            index=context.log.last_index + 1,
            term=term,
            command=command.SerializeToString(),
            membership=command.WhichOneof("body") == "membership",
        )
        proposal = Proposal(term=term)
        self._proposals[entry.index] = proposal
        context.log.add(entry)
        context.outgoing.set()
        return proposal

    async def _apply_committed(self) -> None:
        context = self._context
        while True:
            event = context.signal.event
            if context.view.revision >= context.commit_index:
                await event.wait()
                continue
            try:
                self._apply_batch()
            except UnknownCommandError as error:
                context.fail(error)
                return
            await anyio.lowlevel.checkpoint()

    def _apply_batch(self) -> None:
        context = self._context
        first = context.view.revision + 1
        last = min(context.commit_index, first + APPLY_BATCH - 1)
        entries = context.log.get_entries(first, last, max_bytes=1 << 62)
        for entry in entries:
            result = context.view.apply(entry)
            proposal = self._proposals.pop(entry.index, None)
            if proposal is not None:
                proposal.result = result if proposal.term == entry.term else None
                proposal.done.set()
        context.view.finish_batch()
        context.signal.set()

    async def _save_snapshots(self) -> None:
        context = self._context
        while True:
            event = context.signal.event
            if (
                context.view.revision - context.log.snapshot_index
                < context.settings.snapshot_entries
            ):
                await event.wait()
                continue
            try:
                await self.save_snapshot()
            except DiskFullError as error:
                logger.error("no room for a snapshot", error=str(error))
                await context.timers.sleep(context.election_timeout_s)

    async def save_snapshot(self) -> int:
        """Write a snapshot of the applied state and return its revision."""
        context = self._context
        state = context.view.state
        snapshot = StoredSnapshot(index=state.revision, term=state.term, data=state.serialize())
        await context.log.save_snapshot(snapshot)
        logger.info("snapshot saved", revision=snapshot.index, bytes=len(snapshot.data))
        return snapshot.index

    async def _probe_full_disk(self) -> None:
        """Take part in elections again once a full disk has room."""
        context = self._context
        while True:
            await context.timers.sleep(context.election_timeout_s)
            if not context.writes_refused:
                continue
            try:
                async with context.metadata_lock:
                    await context.save_metadata(context.metadata)
            except DiskFullError:
                continue
            logger.info("the disk has room again")
            context.writes_refused = False

    def check_members_settled(self) -> None:
        """Raise `NotLeaderError` unless this replica leads and its membership is committed."""
        if self._leadership is None or not self._leadership.holds_lease:
            raise NotLeaderError("this replica does not lead")
        self._leadership.check_membership_change()

    async def change_members(self, membership: cell_pb2.Membership) -> cell_pb2.Result:
        """Commit a membership that differs from the last one by one replica."""
        self.check_members_settled()
        return await self.propose(cell_pb2.Command(membership=membership))

    async def transfer_leadership(self) -> bool:
        """Give up the lead to another replica, and tell whether one took it."""
        if self._leadership is None:
            return True
        return await self._leadership.transfer_leadership()

    def close(self) -> None:
        """Close the files."""
        self._context.log.close()
