"""The leader's state of one called worker: capacity, placements and usability."""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from ..models.ids import JobId, TaskKind
from ..models.resources import NO_RESOURCES, Amounts, make_amounts
from ..scheduling.answer_loss import AnswerCounts
from ..scheduling.worker_blame import is_worker_suspect
from ..schema import jobs_pb2, peers_pb2
from ..utils.logs import get_logger
from .gateway import WorkerEndpoint
from .leases import WorkerLease
from .placements import AttemptKey, Placement, PlacementPhase
from .team_usage import TeamUsage

SUSPENSION_BASE_S = 2.0  # First suspension, after failed or stuck tasks or a rejected start.
SUSPENSION_MAX_S = 16.0
UNANSWERED_SUSPENSION_S = 1.0
# Longest time of a task on probation. Tasks that last have no end that shows that the worker is
# sound; tasks that stand still are noticed sooner than this.
MAX_PROBATION_S = 3.0
# A worker that answers again after unanswered calls is a sign that orders are delayed. Other
# unanswered orders may then still arrive for as long as an order can take, `MAX_ORDER_DELAY_S`.
LATE_ORDER_WINDOW_S = 12.0

logger = get_logger(__name__)


class SuspensionCause(Enum):
    """Why a worker gets no tasks for a while."""

    TASKS_FAILED = "tasks-failed"
    TASK_STUCK = "task-stuck"
    START_REJECTED = "start-rejected"
    ORDERS_UNANSWERED = "orders-unanswered"


class UnusableReason(Enum):
    """Why no task may be started on a worker, for the log."""

    LEAVES = "leaves"  # It drains or ends.
    UNREACHABLE = "unreachable"  # It does not answer, or its clock is not known yet.
    UNACCOUNTED = "unaccounted"  # It is not reconciled, or runs an unknown task.
    SILENT = "silent"  # It may have shrunk since its last heartbeat.
    SUSPENDED = "suspended"
    ON_PROBATION = "on probation"


@dataclass(slots=True, eq=False)
class FleetWorker:
    """The leader's state of one incarnation of a worker."""

    message: jobs_pb2.CalledWorker
    capacity: Amounts
    heartbeat_timeout_s: float
    id: str = field(init=False)
    free: Amounts = field(init=False)  # Capacity that is not reserved.
    lease: WorkerLease = field(default_factory=WorkerLease)
    # All that may run on the worker, also attempts that no open job waits for any more.
    placements: dict[AttemptKey, Placement] = field(default_factory=dict)
    unknown_count: int = 0  # Placements of unknown tasks.
    kinds: Counter[TaskKind] = field(default_factory=Counter)  # Number of placements.
    born_ms: int = field(init=False)  # Tells the lives of the worker apart; 0 if unknown.
    # Of another life, to be used once a list shows that it is the present one.
    pending_heartbeat: peers_pb2.WorkerBeat | None = None
    # Attempts whose start orders were not answered, with the time of the last one.
    unanswered_starts: dict[AttemptKey, float] = field(default_factory=dict)
    last_heartbeat_at: float = float("-inf")
    capacity_known_at: float = float("-inf")  # When the worker last announced its capacity.
    # It has shrunk below what its tasks take, which go on.
    is_overfull: bool = False
    heartbeat_sequence: int = -1
    changes: int = 0  # Of what heartbeats said, since this leader knows the worker.
    recorded_changes: int = 0  # Those that are in the replicated state.
    is_draining: bool = False
    drain_ends_at: float = float("inf")
    # It has announced its end. Its tasks may run on, as the acknowledgement may be lost.
    has_deregistered: bool = False
    is_replaced: bool = False  # Another incarnation answers at its address, so it has ended.
    has_crashed: bool = False  # It was replaced, and had not announced its end.
    # Placements given up when the lease expired, while it is not known whether the worker crashed.
    lapsed: list[Placement] = field(default_factory=list)
    is_reachable: bool = True
    is_inherited: bool = False  # It was recorded before this term.
    # Its task lists were read since it was added, or its lease has expired since then.
    is_reconciled: bool = False
    suspended_at: float = float("-inf")
    suspended_until: float = float("-inf")
    suspension_cause: SuspensionCause | None = None  # Of the last suspension.
    consecutive_suspensions: int = 0
    consecutive_unanswered_orders: int = 0
    answer_counts: AnswerCounts = field(default_factory=AnswerCounts)  # Of all kinds of calls.
    missed_renewal: bool = False  # The last lease renewal was not answered.
    recovered_at: float = float("-inf")  # Last answer after an unanswered start or renewal.
    failures: Counter[JobId] = field(default_factory=Counter)  # By job, since the last success.
    team_usage: TeamUsage = field(default_factory=TeamUsage)  # Of the whole fleet.

    def __post_init__(self) -> None:
        self.id = self.message.id
        self.free = self.capacity
        self.born_ms = self.message.born_ms

    @property
    def endpoint(self) -> WorkerEndpoint:
        """Return the id and address for calls to the worker."""
        return WorkerEndpoint(self.message.id, self.message.address)

    @property
    def has_suspect(self) -> bool:
        """Return whether the worker runs a task under which another worker crashed."""
        return any(placement.is_suspect for placement in self.placements.values())

    @property
    def may_hold_inherited_work(self) -> bool:
        """Return whether tasks that an earlier leader started there may be unknown."""
        return self.is_inherited and not self.is_reconciled

    def is_other_life(self, born_ms: int) -> bool:
        """Return whether a list or heartbeat comes from another life of the worker."""
        return bool(born_ms and self.born_ms and born_ms != self.born_ms)

    def begin_life(self, born_ms: int) -> None:
        """Forget what held for the life before, except for the placements."""
        self.born_ms = born_ms
        self.heartbeat_sequence = -1
        self.capacity_known_at = float("-inf")
        self.is_draining = False
        self.has_deregistered = False
        self.drain_ends_at = float("inf")
        self.suspended_until = float("-inf")
        self.consecutive_suspensions = 0
        self.failures.clear()

    def find_unusable_reason(self, now: float) -> UnusableReason | None:
        """Return why no task may be started on the worker, or None if tasks may."""
        if self.has_deregistered or self.is_replaced or self.is_draining:
            return UnusableReason.LEAVES
        if not self.is_reachable or not self.lease.is_sampled:
            return UnusableReason.UNREACHABLE
        if not self.is_reconciled or self.unknown_count:
            return UnusableReason.UNACCOUNTED
        if now - self.capacity_known_at >= self.heartbeat_timeout_s:
            return UnusableReason.SILENT
        if self.is_suspended(now):
            return UnusableReason.SUSPENDED
        # After a suspension, one task must succeed on the worker before others are placed there, or
        # run for so long.
        if self.consecutive_suspensions and any(
            now - placement.placed_at < MAX_PROBATION_S for placement in self.placements.values()
        ):
            return UnusableReason.ON_PROBATION
        return None

    def is_usable(self, now: float) -> bool:
        """Return whether tasks may be started on the worker."""
        return self.find_unusable_reason(now) is None

    def is_suspended(self, now: float) -> bool:
        """Return whether the worker is suspended."""
        return now < self.suspended_until

    def may_be_tried_again(self, now: float) -> bool:
        """Return whether the worker was not suspended for failures within the shortest time."""
        is_silent = self.suspension_cause is SuspensionCause.ORDERS_UNANSWERED
        return not is_silent and now >= self.suspended_at + SUSPENSION_BASE_S

    def add(self, placement: Placement) -> None:
        """Reserve capacity for a placement."""
        self.placements[placement.attempt_key] = placement
        self.kinds[placement.kind] += 1
        self.free -= placement.amounts
        self.team_usage.add(placement.team, placement.amounts)
        self.unknown_count += not placement.is_known

    def release(self, placement: Placement) -> None:
        """Release the capacity of a placement and mark it as ended."""
        if self.placements.get(placement.attempt_key) is placement:
            del self.placements[placement.attempt_key]
            self.kinds[placement.kind] -= 1
            if not self.kinds[placement.kind]:
                del self.kinds[placement.kind]
            self.free += placement.amounts
            self.team_usage.release(placement.team, placement.amounts)
            self.unknown_count -= not placement.is_known
            self.is_overfull = self.is_overfull and not NO_RESOURCES.fits_in(self.free)
        placement.phase = PlacementPhase.ENDED

    def describe(self, announced: jobs_pb2.CalledWorker) -> bool:
        """Use what the worker announced of itself, and return whether it changed."""
        known = jobs_pb2.CalledWorker()
        known.CopyFrom(self.message)
        known.draining, known.sequence = announced.draining, announced.sequence
        if known == announced:
            return False
        self.message = announced
        self._set_capacity(make_amounts(announced.capacity))
        return True

    def _set_capacity(self, capacity: Amounts) -> None:
        if capacity == self.capacity:
            return
        before, self.capacity = self.capacity, capacity
        self.free += capacity - before
        self.is_overfull = not NO_RESOURCES.fits_in(self.free)
        logger.warning(
            "worker capacity changed",
            worker=self.id,
            before=str(before),
            now=str(capacity),
            free=str(self.free),
        )

    def record_answer(self, now: float) -> None:
        """Record an answer, and its time if it follows an unanswered call.

        The unanswered call may still arrive.
        """
        self.answer_counts.record(is_answered=True, now=now)
        if self.consecutive_unanswered_orders or self.missed_renewal:
            self.recovered_at = now
        self.consecutive_unanswered_orders = 0
        self.missed_renewal = False

    def record_replaced(self) -> bool:
        """Record that another worker answers at the address; return whether this one has ended."""
        if self.is_other_life(self.message.born_ms):
            # The address is that of another life, so this one may run on elsewhere.
            return False
        if not self.is_replaced:
            self.is_replaced = True
            self.has_crashed = not (self.is_draining or self.has_deregistered)
        return True

    def record_unanswered_start(self, attempt: AttemptKey, now: float) -> None:
        """Record an unanswered start order, which may still arrive."""
        recent = {
            other: at
            for other, at in self.unanswered_starts.items()
            if now - at < LATE_ORDER_WINDOW_S
        }
        self.unanswered_starts = {**recent, attempt: now}
        self.record_unanswered_order(now)

    def record_unanswered_order(self, now: float) -> None:
        """Count an unanswered start order."""
        self.consecutive_unanswered_orders += 1
        self.answer_counts.record(is_answered=False, now=now)

    def record_unanswered_renewal(self, now: float) -> None:
        """Record an unanswered lease renewal."""
        self.missed_renewal = True
        self.answer_counts.record(is_answered=False, now=now)

    def suspend_as_silent(self, now: float) -> None:
        """Suspend the worker for unanswered orders, unless it is suspended for longer."""
        ends_at = now + UNANSWERED_SUSPENSION_S
        if ends_at > self.suspended_until:
            self._suspend_until(ends_at, SuspensionCause.ORDERS_UNANSWERED, now)

    def suspend(self, now: float, cause: SuspensionCause) -> None:
        """Suspend the worker with exponential backoff."""
        suspension_s: float = min(
            SUSPENSION_MAX_S, SUSPENSION_BASE_S * 2.0 ** min(self.consecutive_suspensions, 8)
        )
        self.consecutive_suspensions += 1
        self._suspend_until(now + suspension_s, cause, now)

    def _suspend_until(self, ends_at: float, cause: SuspensionCause, now: float) -> None:
        self.suspended_at = now
        self.suspended_until = ends_at
        self.suspension_cause = cause
        logger.warning(
            "worker suspended",
            worker=self.id,
            cause=cause.value,
            suspended_s=round(ends_at - now, 3),
            unanswered_orders=self.consecutive_unanswered_orders,
            failed_tasks=sum(self.failures.values()),
        )

    def record_end(self, job: JobId, kind: jobs_pb2.EndKind.ValueType, now: float) -> None:
        """Update health from a task end, which may suspend the worker."""
        if kind == jobs_pb2.END_DONE:
            self.failures.clear()
            self.consecutive_suspensions = 0
        elif kind == jobs_pb2.END_FAILED:
            self.failures[job] += 1
            if is_worker_suspect(self.failures):
                self.suspend(now, SuspensionCause.TASKS_FAILED)
