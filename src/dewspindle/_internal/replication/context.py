"""State that the tasks of one replica share."""

import random
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeVar

import anyio

from ..cell.view import CellView
from ..exceptions import DiskFullError, SyncFailedError
from ..models.enums import Role
from ..schema import cell_pb2, peers_pb2, settings_pb2, storage_pb2
from ..utils.logs import get_logger
from ..utils.timers import Signal, TimerService
from .contacts import ContactHistory
from .log import Log, Offload
from .metadata import MetadataStore
from .restarted_voters import LogEnd, RestartedVoters
from .transport import PeerTransport

T = TypeVar("T")

# In catch-up times. Leaves time for the elections and restarts that may come between.
NEW_REPLICA_FACTOR = 5

logger = get_logger(__name__)


@dataclass(slots=True)
class ReplicaContext:
    """Components of one replica, its durable metadata, and its volatile state."""

    settings: settings_pb2.Settings
    timers: TimerService
    transport: PeerTransport
    rng: random.Random
    offload: Offload
    view: CellView
    log: Log
    metadata: storage_pb2.ReplicaMetadata
    metadata_store: MetadataStore
    role: Role = Role.FOLLOWER
    commit_index: int = 0
    # Restarted by each message from the leader, by granting a vote, by this replica's candidacy, by
    # the end of its leadership, and when it becomes a member. Votes are withheld for an election
    # timeout after it.
    election_timer_started_at: float = 0.0
    # Set on a change of the role, or of the commit, applied, durable or match index.
    state_changed: Signal = field(default_factory=Signal)
    # Set on new entries and commits; the leader then flushes its log and sends to the peers.
    replication_needed: Signal = field(default_factory=Signal)
    metadata_lock: anyio.Lock = field(default_factory=anyio.Lock)
    failure: Exception | None = None
    failed: anyio.Event = field(default_factory=anyio.Event)
    # Set when entries or the metadata found no space. Until a write succeeds, the replica does not
    # stand for election, except at the leader's request.
    is_disk_full: bool = False
    # A replica that restarted as a member has neither heard from a leader nor voted since.
    awaits_leader: bool = False
    process_id: str = field(default_factory=lambda: secrets.token_hex(8))
    restarted_voters: RestartedVoters = field(default_factory=RestartedVoters)
    contacts: ContactHistory = field(default_factory=ContactHistory)
    # When the data folder was created. Read from the wall clock at a restart, so a clock that was
    # set since shifts it.
    created_at: float = float("-inf")

    @property
    def replica_id(self) -> str:
        """Return the replica id that is stored in the data folder."""
        return self.metadata.replica_id

    @property
    def term(self) -> int:
        """Return the current term, which is synced to disk."""
        return self.metadata.term

    @property
    def election_timeout_s(self) -> float:
        """Return the minimum election timeout in seconds."""
        return self.settings.election_timeout_ms / 1000

    @property
    def heartbeat_interval_s(self) -> float:
        """Return the interval between heartbeats in seconds."""
        return self.settings.heartbeat_interval_ms / 1000

    @property
    def membership(self) -> cell_pb2.Membership:
        """Return the newest known membership, which applies even before it is committed."""
        return self.log.membership or self.metadata.initial

    @property
    def is_voter(self) -> bool:
        """Return whether this replica is a voter in the newest membership."""
        return any(voter.replica_id == self.replica_id for voter in self.membership.voters)

    @property
    def other_voters(self) -> list[cell_pb2.Voter]:
        """Return the voters other than this replica."""
        return [v for v in self.membership.voters if v.replica_id != self.replica_id]

    @property
    def quorum(self) -> int:
        """Return the number of voters that form a majority."""
        return len(self.membership.voters) // 2 + 1

    @property
    def new_for_s(self) -> float:
        """Return for how many seconds a replica may succeed a voter that was lost before it."""
        return NEW_REPLICA_FACTOR * self.settings.catch_up_ms / 1000

    @property
    def log_end(self) -> LogEnd:
        """Return the term and index of the last entry of the log."""
        return self.log.last_term, self.log.last_index

    def leads(self, term: int) -> bool:
        """Return whether this replica is the leader of a term, and has not stepped down."""
        return self.role is Role.LEADER and self.term == term

    def make_hello_request(self) -> peers_pb2.HelloRequest:
        """Return a query of another instance, with the identity of this replica."""
        return peers_pb2.HelloRequest(
            instance_id=self.settings.instance_id,
            replica_id=self.replica_id,
            address=self.settings.peer_address,
            availability_zone=self.settings.availability_zone,
        )

    def record_restarted(self, peer: peers_pb2.HelloRequest | peers_pb2.HelloAnswer) -> None:
        """Record what a peer says of its replica since the start of this process."""
        if self.awaits_leader:
            self.restarted_voters.record(peer)
            self.state_changed.set()

    def describe_restart(self) -> peers_pb2.RestartedReplica | None:
        """Return the state for other voters, or None unless it awaits a leader after a restart."""
        if not self.awaits_leader:
            return None
        last_term, last_index = self.log_end
        return peers_pb2.RestartedReplica(last_term=last_term, last_index=last_index)

    def fail(self, error: Exception) -> None:
        """Stop the replica because of an unrecoverable error; the first error is kept."""
        if self.failure is None:
            self.failure = error
        self.failed.set()

    async def run_disk_operation(self, call: Callable[[], T]) -> T:
        """Run a blocking disk call; stop the replica if a sync fails."""
        try:
            return await self.offload(call)
        except SyncFailedError as error:
            self.fail(error)
            raise

    async def flush_log(self) -> None:
        """Make all entries durable; stop the replica if a sync fails.

        A full disk drops the entries that are not durable. Those of the leader may be among them,
        whichever task wrote them, and a candidate has been voted for with them. The replica
        therefore becomes a follower before any other task runs.
        """
        try:
            await self.log.flush()
        except DiskFullError:
            self.is_disk_full = True
            self.step_down()
            raise
        except SyncFailedError as error:
            self.fail(error)
            raise

    async def save_metadata(self, changed: storage_pb2.ReplicaMetadata) -> None:
        """Sync changed metadata, then apply it; the caller holds the metadata lock."""
        try:
            await self.run_disk_operation(lambda: self.metadata_store.save(changed))
        except DiskFullError:
            self.is_disk_full = True
            raise
        self.metadata = changed

    async def save_term(self, term: int, *, voted_for: str) -> None:
        """Sync a term and vote; the caller holds the metadata lock."""
        changed = storage_pb2.ReplicaMetadata()
        changed.CopyFrom(self.metadata)
        changed.term = term
        changed.voted_for = voted_for
        await self.save_metadata(changed)

    async def observe_term(self, term: int) -> None:
        """Step down and adopt a term if it is newer than the current one."""
        async with self.metadata_lock:
            if term <= self.term:
                return
            self.step_down()
            await self.save_term(term, voted_for="")

    async def leave_term(self, newer_term: int) -> None:
        """Step down, and adopt a newer term that a peer answered, if the disk has space for it."""
        try:
            await self.observe_term(newer_term)
        except DiskFullError as error:
            logger.error("disk full; newer term not stored", term=newer_term, error=str(error))

    def step_down(self) -> None:
        """Become a follower."""
        self.role = Role.FOLLOWER
        self.state_changed.set()
