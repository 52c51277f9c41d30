"""One replica of the cell state: elections, log, application of entries, snapshots."""

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
    StateFullError,
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
from .restart_survey import RestartSurvey
from .snapshots import StoredSnapshot
from .transport import PeerTransport

APPLY_BATCH_ENTRIES = 256  # Applied without yielding to the event loop.
MAX_PENDING_PROPOSALS = 20000
MAX_PENDING_BYTES = 32 * 1024 * 1024  # Of changes that wait to be committed, in memory and the log.
# Changes that add to the state. Submissions of jobs are refused before they are proposed, as they
# share an entry with cancellations.
GROWING_COMMANDS = frozenset(("submit_record", "put_config"))
# Between the snapshots of a full state, which show whether it has shrunk.
FULL_STATE_SNAPSHOT_S = 10.0
MAX_CLOCK_DRIFT_FACTOR = 1.05  # Bound on the ratio of the clock rates of two instances.

logger = get_logger(__name__)


@dataclass(slots=True)
class Proposal:
    """A change that waits to be committed and applied."""

    term: int
    done: anyio.Event = field(default_factory=anyio.Event)
    result: cell_pb2.Result | None = None  # None once `done` is set: the outcome is unknown.


def load_context(
    *,
    settings: settings_pb2.Settings,
    timers: TimerService,
    transport: PeerTransport,
    view: CellView,
    rng: random.Random,
    disk: Disk | None = None,
    offload: Offload = run_in_thread,
) -> ReplicaContext:
    """Open the data folder and return the state that the tasks of a replica share.

    An empty folder gets a new replica id. Otherwise the newest snapshot, if any, is restored; the
    entries after it are applied once they are known to be committed.
    """
    disk = disk or Disk()
    folder = Path(settings.data_dir)
    metadata_store = MetadataStore(folder, disk=disk)
    metadata = metadata_store.load(
        instance_id=settings.instance_id, rng=rng, wall_ms=timers.wall_ms()
    )
    log = Log(
        folder,
        segment_bytes=settings.segment_bytes,
        retained_entries=settings.retained_entries,
        retained_bytes=settings.retained_bytes,
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
        rng=rng,
        offload=offload,
        view=view,
        log=log,
        metadata=metadata,
        metadata_store=metadata_store,
        commit_index=log.snapshot_index,
        election_timer_started_at=timers.now() - compute_initial_timer_age(settings),
        awaits_leader=metadata.phase == peers_pb2.PHASE_MEMBER,
        created_at=timers.now() - max(0, timers.wall_ms() - metadata.created_ms) / 1000,
    )


def compute_initial_timer_age(settings: settings_pb2.Settings) -> float:
    """Return by how many seconds the election timer of a starting replica is back-dated.

    The replica may have confirmed a leader just before it restarted, so it withholds its vote
    until that leader's lease has expired on the leader's clock. Back-dating the timer ends that
    time before a full election timeout.
    """
    lease_s = settings.leader_lease_ms / 1000 * MAX_CLOCK_DRIFT_FACTOR
    return max(0.0, settings.election_timeout_ms / 1000 - lease_s)


class Replica:
    """Replicates the log and applies committed entries."""

    def __init__(self, context: ReplicaContext) -> None:
        self._context = context
        self._handlers = ReplicaHandlers(context)
        self._election = Election(context, handlers=self._handlers)
        self._restart_survey = RestartSurvey(context, handlers=self._handlers)
        self._leadership: Leadership | None = None
        self._proposals: dict[int, Proposal] = {}
        self._last_timestamp_ms = 0
        self._snapshot_saved_at = float("-inf")

    @property
    def context(self) -> ReplicaContext:
        """Return the state that the tasks of the replica share."""
        return self._context

    @property
    def handlers(self) -> ReplicaHandlers:
        """Return the handlers of requests from other replicas."""
        return self._handlers

    @property
    def leadership(self) -> Leadership | None:
        """Return the current leadership, or None if this replica does not lead."""
        return self._leadership

    @property
    def role(self) -> Role:
        """Return the role in the current term."""
        return self._context.role

    @property
    def may_act_as_leader(self) -> bool:
        """Return whether this replica may act as the leader, as `Leadership` defines it."""
        return self._leadership is not None and self._leadership.may_act_as_leader

    @property
    def is_state_full(self) -> bool:
        """Return whether the state has reached the size that the disk can hold."""
        limit = self._context.settings.max_state_bytes
        return bool(limit) and self._context.log.state_bytes >= limit

    async def run(self) -> None:
        """Run until cancelled; raise on an unrecoverable error."""
        context = self._context
        async with anyio.create_task_group() as group:
            group.start_soon(self._run_elections)
            group.start_soon(self._restart_survey.run)
            group.start_soon(self._apply_committed)
            group.start_soon(self._save_snapshots)
            group.start_soon(self._probe_disk_space)
            await context.failed.wait()
            assert context.failure is not None
            raise context.failure

    async def _run_elections(self) -> None:
        while True:
            reason = await self._election.wait_until_due()
            try:
                term = await self._election.campaign(reason)
            except DiskFullError as error:
                logger.error("disk full; cannot stand for election", error=str(error))
                continue
            if term is not None:
                await self._lead(term)

    async def _lead(self, term: int) -> None:
        self._leadership = Leadership(self._context, term=term, on_end=self._abort_proposals)
        try:
            await self._leadership.run()
        finally:
            self._leadership = None
            self._context.election_timer_started_at = self._context.timers.now()
            self._abort_proposals()

    def _abort_proposals(self) -> None:
        """Wake the callers whose changes are not known to be committed."""
        proposals, self._proposals = self._proposals, {}
        for proposal in proposals.values():
            proposal.done.set()

    async def propose(self, command: cell_pb2.Command) -> cell_pb2.Result:
        """Commit a change and return the result of applying it.

        Raises `NotLeaderError` or `StateFullError` if it was certainly not committed,
        `OutcomeUnknownError` if it may have been.
        """
        leadership = self._leadership
        if leadership is None or not leadership.is_leading or leadership.is_transferring:
            raise NotLeaderError("this replica is not the leader, or is giving up leadership")
        # `LeaderClient` retries this error's code, as the change was certainly not proposed.
        log = self._context.log
        if self.is_state_full and command.WhichOneof("body") in GROWING_COMMANDS:
            limit = self._context.settings.max_state_bytes
            raise StateFullError(f"the state takes {log.state_bytes} bytes of at most {limit}")
        pending_bytes = log.count_bytes(self._context.commit_index, log.last_index)
        if len(self._proposals) >= MAX_PENDING_PROPOSALS or pending_bytes >= MAX_PENDING_BYTES:
            raise NotLeaderError(
                f"{len(self._proposals)} changes of {pending_bytes} bytes wait to be committed"
            )
        proposal = self._add_proposal(command, term=leadership.term)
        await proposal.done.wait()
        if proposal.result is None:
            raise OutcomeUnknownError(
                "leadership was lost before the change was known to be committed"
            )
        return proposal.result

    def _add_proposal(self, command: cell_pb2.Command, *, term: int) -> Proposal:
        context = self._context
        self._last_timestamp_ms = max(
            self._last_timestamp_ms, context.view.state.at_ms, context.timers.wall_ms()
        )
        command.at_ms = self._last_timestamp_ms
        entry = peers_pb2.Entry(
            index=context.log.last_index + 1,
            term=term,
            command=command.SerializeToString(),
            membership=command.WhichOneof("body") == "membership",
        )
        proposal = Proposal(term=term)
        self._proposals[entry.index] = proposal
        context.log.add(entry)
        context.replication_needed.set()
        return proposal

    async def _apply_committed(self) -> None:
        context = self._context
        while True:
            event = context.state_changed.event
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
        last = min(context.commit_index, first + APPLY_BATCH_ENTRIES - 1)
        entries = context.log.get_entries(first, last, max_bytes=1 << 62)
        for entry in entries:
            result = context.view.apply(entry)
            proposal = self._proposals.pop(entry.index, None)
            if proposal is not None:
                proposal.result = result if proposal.term == entry.term else None
                proposal.done.set()
        context.view.finish_batch()
        context.state_changed.set()

    def _is_snapshot_due(self) -> bool:
        settings, log, revision = (
            self._context.settings,
            self._context.log,
            self._context.view.revision,
        )
        if revision == log.snapshot_index:
            return False
        is_old = self._context.timers.now() - self._snapshot_saved_at >= FULL_STATE_SNAPSHOT_S
        return (
            revision - log.snapshot_index >= settings.snapshot_entries
            or log.count_bytes(log.snapshot_index, revision) >= settings.snapshot_bytes
            or (self.is_state_full and is_old)
        )

    async def _save_snapshots(self) -> None:
        context = self._context
        while True:
            event = context.state_changed.event
            if not self._is_snapshot_due():
                await event.wait()
                continue
            try:
                await self.save_snapshot()
            except DiskFullError as error:
                logger.error("disk full; cannot save a snapshot", error=str(error))
                await context.timers.sleep(context.election_timeout_s)

    async def save_snapshot(self) -> int:
        """Write a snapshot of the applied state; return its revision."""
        context = self._context
        state = context.view.state
        # The revision of a state is the index of the last entry that was applied to it.
        snapshot = StoredSnapshot(index=state.revision, term=state.term, data=state.serialize())
        await context.log.save_snapshot(snapshot)
        self._snapshot_saved_at = context.timers.now()
        logger.info("snapshot saved", revision=snapshot.index, bytes=len(snapshot.data))
        return snapshot.index

    async def _probe_disk_space(self) -> None:
        """Allow elections again once a full disk accepts writes."""
        context = self._context
        while True:
            await context.timers.sleep(context.election_timeout_s)
            if not context.is_disk_full:
                continue
            try:
                async with context.metadata_lock:
                    await context.save_metadata(context.metadata)
            except DiskFullError:
                continue
            logger.info("disk accepts writes again")
            context.is_disk_full = False

    def check_is_leader(self) -> Leadership:
        """Return the leadership; raise `NotLeaderError` unless it may act as the leader."""
        if self._leadership is None or not self._leadership.may_act_as_leader:
            raise NotLeaderError("this replica is not the leader")
        return self._leadership

    def check_can_change_members(self) -> None:
        """Raise `NotLeaderError` unless it may act as leader and its membership is committed."""
        self.check_is_leader().check_membership_committed()

    async def change_members(self, membership: cell_pb2.Membership) -> cell_pb2.Result:
        """Commit a membership that differs from the current one by one replica."""
        self.check_can_change_members()
        return await self.propose(cell_pb2.Command(membership=membership))

    async def transfer_leadership(self) -> bool:
        """Stop leading, if possible by a transfer; return False if no replica took over in time."""
        if self._leadership is None:
            return True
        return await self._leadership.transfer_leadership()

    def close(self) -> None:
        """Close the files."""
        self._context.log.close()
