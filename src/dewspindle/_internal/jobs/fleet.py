"""All called workers, and what their heartbeats change.

A called worker runs tasks of jobs on the leader's orders. A polling worker, which asks for tasks of
records, is not part of this state.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from ..models.resources import NO_RESOURCES, Amounts, make_amounts
from ..scheduling.answer_loss import (
    MAX_SUSPENDED_FRACTION,
    MIN_UNANSWERED,
    compute_network_loss,
    count_suspicious,
)
from ..schema import jobs_pb2, peers_pb2
from ..utils.logs import get_logger
from .fleet_worker import LATE_ORDER_WINDOW_S, FleetWorker, SuspensionCause, UnusableReason
from .team_usage import TeamUsage

START_MARGIN_S = 1.0  # A start order is sent again for up to 0.9 s.
MIN_SILENCE_S = 0.5  # By which a heartbeat may be late.
# Of a pool, for suspensions to be taken as a sign of unsound workers.
MAX_SUSPECT_FRACTION = 0.5

logger = get_logger(__name__)


class WorkerChange(Enum):
    """What a heartbeat may change."""

    LIFE = "life"  # It comes from another life than the last list.
    DRAINS = "drains"
    DESCRIPTION = "description"  # Its capacity, labels, pool, address or life.


@dataclass(frozen=True, slots=True)
class HeartbeatLimits:
    """How often workers send heartbeats, and when a shrunk worker has to be known."""

    interval_s: float = 1.5
    # A worker that shrinks right after a heartbeat gets no more than it has this long after the
    # next one.
    shrinking_known_s: float = 3.0

    @property
    def timeout_s(self) -> float:
        """Return how long after a heartbeat a worker may still get tasks."""
        timeout_s = self.shrinking_known_s + self.interval_s - START_MARGIN_S
        return max(timeout_s, self.interval_s + MIN_SILENCE_S)


class Fleet:
    """All called workers that the leader knows, by id."""

    def __init__(self, heartbeats: HeartbeatLimits | None = None) -> None:
        self._heartbeats = heartbeats or HeartbeatLimits()
        self._workers: dict[str, FleetWorker] = {}
        self._team_usage = TeamUsage()

    def __iter__(self) -> Iterator[FleetWorker]:
        return iter(self._workers.values())

    def __len__(self) -> int:
        return len(self._workers)

    @property
    def heartbeats(self) -> HeartbeatLimits:
        """Return the limits of the workers' heartbeats."""
        return self._heartbeats

    @property
    def team_usage(self) -> TeamUsage:
        """Return what the tasks of each team take on all workers."""
        return self._team_usage

    def get(self, worker_id: str) -> FleetWorker | None:
        """Return a worker, or None if it is unknown."""
        return self._workers.get(worker_id)

    def add(self, message: jobs_pb2.CalledWorker) -> FleetWorker:
        """Add a worker without placements."""
        worker = FleetWorker(
            message,
            capacity=make_amounts(message.capacity),
            heartbeat_timeout_s=self._heartbeats.timeout_s,
            team_usage=self._team_usage,
        )
        self._workers[message.id] = worker
        return worker

    def compute_capacity(self) -> Amounts:
        """Return the capacity of all workers together."""
        total = NO_RESOURCES
        for worker in self:
            total += worker.capacity
        return total

    def may_orders_arrive_late(self, now: float) -> bool:
        """Return whether any worker recently answered again after unanswered calls."""
        return any(now - worker.recovered_at < LATE_ORDER_WINDOW_S for worker in self)

    def suspend_if_silent(self, worker: FleetWorker, now: float) -> None:
        """Suspend a worker that leaves more orders unanswered than the network explains.

        Only a part of the fleet is suspended at once for this.
        """
        unanswered = worker.consecutive_unanswered_orders
        if unanswered < MIN_UNANSWERED:
            return
        loss = compute_network_loss((w.answer_counts for w in self if w is not worker), now)
        if unanswered < count_suspicious(loss):
            return
        silent = sum(
            w.suspension_cause is SuspensionCause.ORDERS_UNANSWERED and w.is_suspended(now)
            for w in self
        )
        if silent < max(1, MAX_SUSPENDED_FRACTION * len(self)):
            worker.suspend_as_silent(now)

    def list_usable(self, pool: str, *, now: float) -> dict[str, FleetWorker]:
        """Return the workers of a pool on which tasks may be started, by id.

        Where most of them are suspended, failures say nothing on single workers, and tasks would
        wait for long. Then no suspension counts for longer than the shortest one.
        """
        usable: dict[str, FleetWorker] = {}
        suspended: list[FleetWorker] = []
        for worker in self:
            if worker.message.pool != pool:
                continue
            reason = worker.find_unusable_reason(now)
            if reason is None:
                usable[worker.id] = worker
            elif reason in (UnusableReason.SUSPENDED, UnusableReason.ON_PROBATION):
                suspended.append(worker)
        if len(suspended) > MAX_SUSPECT_FRACTION * (len(suspended) + len(usable)):
            usable.update((w.id, w) for w in suspended if w.may_be_tried_again(now))
        return usable

    def remove(self, worker_id: str) -> None:
        """Remove a worker."""
        self._workers.pop(worker_id, None)

    def find_by_address(self, address: str, *, other_than: str) -> list[FleetWorker]:
        """Return the other incarnations at an address."""
        return [w for w in self if w.message.address == address and w.id != other_than]

    def handle_heartbeat(
        self, worker: FleetWorker, heartbeat: peers_pb2.WorkerBeat, *, now: float
    ) -> set[WorkerChange]:
        """Apply a heartbeat, and return what it changed."""
        changes: set[WorkerChange] = set()
        born_ms = heartbeat.worker.born_ms
        if worker.is_other_life(born_ms):
            worker.pending_heartbeat = heartbeat
            return {WorkerChange.LIFE}
        worker.born_ms = worker.born_ms or born_ms
        if heartbeat.sequence <= worker.heartbeat_sequence and not heartbeat.leaves:
            logger.info(
                "late heartbeat ignored",
                worker=worker.id,
                sequence=heartbeat.sequence,
                newest=worker.heartbeat_sequence,
                born_ms=born_ms,
            )
            return changes
        worker.heartbeat_sequence = max(worker.heartbeat_sequence, heartbeat.sequence)
        worker.last_heartbeat_at = now
        if heartbeat.worker.HasField("capacity"):
            worker.capacity_known_at = now
            if worker.describe(heartbeat.worker):
                changes.add(WorkerChange.DESCRIPTION)
        if heartbeat.clock_ms:
            worker.lease.record_clock(heartbeat.clock_ms, received_at=now)
        if heartbeat.leaves:
            worker.has_deregistered = True
        # The end is not known yet if the drain began under an earlier leader.
        if heartbeat.draining and worker.drain_ends_at == float("inf"):
            changes.add(WorkerChange.DRAINS)
        worker.is_draining = worker.is_draining or heartbeat.draining
        if heartbeat.draining:
            worker.drain_ends_at = now + heartbeat.remaining_ms / 1000
        return changes
