"""The leader's session with one worker: renews its lease and reads which tasks ended."""

from collections.abc import Iterable

import anyio

from ..exceptions import DewspindleError
from ..schema import jobs_pb2
from ..utils.logs import get_logger
from ..utils.timers import Signal, TimerService, wait_for_event
from .capacity_check import CapacityCheck
from .end_cursor import EndCursor
from .end_reporter import EndReporter
from .fleet_worker import FleetWorker
from .gateway import (
    ActiveTask,
    AnswerTimeoutError,
    EndedTask,
    NoDefiniteAnswerError,
    OrderOutcome,
    RenewalAnswer,
    RenewalOrder,
    WorkerGateway,
    WorkerReplacedError,
)
from .placements import AttemptKey, Placement, PlacementPhase
from .session_owner import SessionOwner

# How long a worker may wait for a task end before it answers. Bounds the delay of task ends when an
# answer is lost.
RENEWAL_WAIT_S = 1.0
RENEWAL_TIMEOUT_MARGIN_S = 0.6  # Round trip over a lossy link, in addition to the wait.
IDLE_CHECK_S = 2.0  # Between checks whether an idle worker is gone.
# Consecutive lease renewals, rejected or unanswered; a single one may be lost in the network.
FAILED_BEFORE_UNREACHABLE = 2
RETRY_DELAY_S = 0.4
LAPSED_CHECK_S = 0.05  # Between checks whether this replica may act as the leader again.
MAX_RETRY_DELAY_S = 2.0  # Between lease renewals to a worker that does not answer.
REMOVE_AFTER_S = 15.0  # Time without heartbeats after which an idle worker is removed.
MAX_LOGGED_TASKS = 20  # In one log line.

logger = get_logger(__name__)


def describe_attempt(placement: Placement) -> str:
    """Return the job, position, attempt and phase of a placement, for the log."""
    job, position = placement.key
    return f"{job}/{position} attempt {placement.attempt} {placement.phase.value}"


def list_attempts(answer: RenewalAnswer) -> set[AttemptKey]:
    """Return the attempts that a worker lists as running or ended."""
    listed = {(task.task, task.attempt) for task in answer.active}
    return listed | {(task.task, task.attempt) for task in answer.ended}


class WorkerSession:
    """Sends lease renewals to one worker until it has left, or is silent and idle."""

    def __init__(
        self,
        worker: FleetWorker,
        *,
        gateway: WorkerGateway,
        owner: SessionOwner,
        reporter: EndReporter,
        timers: TimerService,
        fencing_token: int,
        lease_s: float,
        max_lease_s: float,
    ) -> None:
        self._worker = worker
        self._gateway = gateway
        self._owner = owner
        self._reporter = reporter
        self._timers = timers
        self._fencing_token = fencing_token
        self._lease_s = lease_s
        self._max_lease_s = max_lease_s
        self._wake = Signal()
        self._cursor = EndCursor()
        self._failed_renewals = 0  # Consecutive ones.
        self._skip_wait = False
        self._renewal_scope: anyio.CancelScope | None = None
        self._capacity_check = CapacityCheck(worker, owner)

    def wake(self) -> None:
        """Check the state of the worker again."""
        self._wake.set()

    def renew_now(self) -> None:
        """Send a lease renewal at once, in place of one that waits for a task end."""
        self._skip_wait = True
        if self._renewal_scope is not None:
            self._renewal_scope.cancel()
        self._wake.set()

    async def run(self) -> None:
        """Run the session until the worker has left, or is silent and idle."""
        while True:
            event = self._wake.event
            if self._is_gone():
                await self._report_gone()
                await self._owner.remove_worker(self._worker)
                return
            if not self._needs_renewal():
                await wait_for_event(self._timers, event=event, seconds=IDLE_CHECK_S)
                continue
            # A lease renewed by a former leader might outlast the wait of its successor.
            if not self._owner.may_act():
                await self._timers.sleep(LAPSED_CHECK_S)
                continue
            try:
                await self._send_renewal()
            except WorkerReplacedError:
                await self._handle_other_worker()
            except DewspindleError:
                raise  # Of the log or the leadership, on which all sessions depend.
            except Exception:
                logger.exception("answer of a worker not handled", worker=self._worker.id)
                self._cursor.record_no_answer()
                await self._handle_failed_renewal("its answer could not be handled")

    async def _handle_other_worker(self) -> None:
        """Handle a call that another worker has answered."""
        worker = self._worker
        if worker.record_replaced():
            logger.warning("worker replaced at its address", worker=worker.id)
            return
        self._cursor.record_no_answer()
        await self._handle_failed_renewal("another worker has the address of its other life")

    def _is_gone(self) -> bool:
        """Return whether nothing runs on the worker, and nothing will.

        A deregistration does not show that: a worker that gets no acknowledgement runs on.
        """
        worker = self._worker
        if worker.is_replaced:
            return True
        if worker.placements or not worker.is_reconciled:
            return False
        if worker.has_deregistered:
            return not (worker.is_reachable and self._cursor.has_unacknowledged)
        return self._timers.now() - worker.last_heartbeat_at > REMOVE_AFTER_S

    def _needs_renewal(self) -> bool:
        worker = self._worker
        return (
            bool(worker.placements)
            or not worker.is_reconciled
            or not worker.is_reachable
            or self._cursor.has_unacknowledged
            or worker.pending_heartbeat is not None
        )

    async def _send_renewal(self) -> None:
        worker = self._worker
        sent_at = self._timers.now()
        may_wait = (
            worker.placements
            and worker.is_reconciled
            and not self._skip_wait
            and not self._cursor.is_read_due(sent_at)
        )
        wait_s = RENEWAL_WAIT_S if may_wait else 0.0
        self._skip_wait = False
        # The lease of an unreachable worker is not renewed, so that it ends at a known time; nor is
        # that of a worker that has deregistered, which may end at any moment.
        is_renewed = worker.is_reachable and worker.lease.is_sampled and not worker.has_deregistered
        deadline = worker.lease.grant(now=sent_at, seconds=self._lease_s) if is_renewed else None
        order = RenewalOrder(
            fencing_token=self._fencing_token,
            acknowledged_through=self._cursor.choose(sent_at),
            deadline_ms=deadline,
            wait_ms=int(wait_s * 1000),
        )
        pending_heartbeat = worker.pending_heartbeat
        answer: RenewalAnswer | None = None
        try:
            with anyio.CancelScope() as self._renewal_scope:
                answer = await self._gateway.renew_lease(
                    worker.endpoint, order, timeout_s=wait_s + RENEWAL_TIMEOUT_MARGIN_S
                )
        except NoDefiniteAnswerError as error:
            if is_renewed and isinstance(error, AnswerTimeoutError):
                worker.lease.record_unanswered(sent_at=sent_at, seconds=self._lease_s)
            worker.record_unanswered_renewal(self._timers.now())
            self._cursor.record_no_answer()
            await self._handle_failed_renewal(str(error))
            return
        finally:
            self._renewal_scope = None
        if answer is None:
            self._cursor.record_no_answer()
            return
        worker.record_answer(self._timers.now())
        if worker.is_other_life(answer.born_ms):
            await self._begin_life(answer, sent_at=sent_at)
        else:
            self._cursor.record_acknowledged(order.acknowledged_through)
            if worker.pending_heartbeat is pending_heartbeat:
                worker.pending_heartbeat = None  # It came late, from an earlier life.
        if answer.clock_ms is not None:
            worker.lease.record_clock(answer.clock_ms, received_at=self._timers.now())
        if answer.outcome is not OrderOutcome.ACCEPTED:
            logger.warning("lease renewal rejected", worker=worker.id, outcome=answer.outcome.value)
            # Its tasks lapse, so their lease must not count as renewed.
            await self._handle_failed_renewal(f"it answers {answer.outcome.value}")
            return
        self._cursor.record_read(self._timers.now())
        await self._apply_answer(answer, sent_at=sent_at)

    async def _begin_life(self, answer: RenewalAnswer, *, sent_at: float) -> None:
        """Follow a worker that crashed and started again under its id."""
        worker, now = self._worker, self._timers.now()
        listed = list_attempts(answer)
        earlier = [
            placement
            for placement in worker.placements.values()
            if placement.attempt_key not in listed
            and placement.placed_at < sent_at
            # The start of any other placement may have been accepted by the new life.
            and not (placement.has_run and placement.must_be_listed_since >= sent_at)
        ]
        lapsed, worker.lapsed = worker.lapsed, []
        logger.warning(
            "worker started again under its id",
            worker=worker.id,
            born_ms=answer.born_ms,
            born_before_ms=worker.born_ms,
            acknowledged=self._cursor.acknowledged_through,
            placements=len(worker.placements),
            of_earlier_life=len(earlier),
        )
        was_draining = worker.is_draining
        for placement in (*lapsed, *earlier):
            placement.is_of_crashed_life = not was_draining
        self._cursor.reset()
        worker.begin_life(answer.born_ms)
        worker.lease.begin_life(answer.clock_ms, now=now, seconds=self._max_lease_s)
        self._owner.apply_heartbeat(worker)
        self._owner.fence_attempts(worker, list(worker.unanswered_starts))
        if lapsed:
            await self._report_lost(lapsed)

    async def _handle_failed_renewal(self, why: str) -> None:
        """Count a renewal that was rejected or not answered; report tasks whose lease is over."""
        worker = self._worker
        self._failed_renewals += 1
        if self._failed_renewals < FAILED_BEFORE_UNREACHABLE and worker.is_reachable:
            logger.info("lease renewal failed", worker=worker.id, why=why)
            return
        if worker.is_reachable:
            logger.warning("worker unreachable", worker=worker.id, why=why)
        worker.is_reachable = False
        if worker.pending_heartbeat is not None:
            # Another life may have another address.
            worker.message = worker.pending_heartbeat.worker
        may_orders_arrive_late = self._owner.may_orders_arrive_late()
        if worker.lease.is_over(self._timers.now(), may_orders_arrive_late=may_orders_arrive_late):
            worker.lapsed += worker.placements.values()
            await self._report_all_lost("the lease has expired")
            worker.is_reconciled = True
            self._owner.wake_planner()
        await self._timers.sleep(min(MAX_RETRY_DELAY_S, RETRY_DELAY_S * self._failed_renewals))

    async def _report_gone(self) -> None:
        """Report all tasks as lost of a worker that has ended."""
        worker = self._worker
        if not worker.has_crashed:
            await self._report_all_lost("the worker has left")
            return
        # It may have crashed before its lease expired.
        lapsed, worker.lapsed = worker.lapsed, []
        for placement in (*lapsed, *worker.placements.values()):
            placement.is_of_crashed_life = True
        await self._report_all_lost("the worker crashed", lapsed=lapsed)

    async def _report_all_lost(self, reason: str, *, lapsed: Iterable[Placement] = ()) -> None:
        """Report all tasks placed on the worker as lost, and others that were lost before."""
        lost = [*lapsed, *self._worker.placements.values()]
        if not lost:
            return
        logger.warning(
            "tasks lost",
            worker=self._worker.id,
            count=len(lost),
            why=reason,
            attempts=[describe_attempt(placement) for placement in lost[:MAX_LOGGED_TASKS]],
        )
        await self._report_lost(lost)

    async def _report_lost(self, lost: list[Placement]) -> None:
        ends = self._owner.make_lost_ends(lost)
        for placement in lost:
            self._worker.release(placement)
        await self._reporter.commit(ends)
        self._owner.apply_ends(ends)

    async def _apply_answer(self, answer: RenewalAnswer, *, sent_at: float) -> None:
        worker = self._worker
        new = self._cursor.list_new(answer.ended)
        # An answer whose ends cannot be committed counts as none, and changes nothing.
        made = [(ended, self._make_end(ended)) for ended in new]
        if not worker.is_reachable:
            logger.info("worker reachable again", worker=worker.id)
        self._failed_renewals = 0
        was_reachable_and_reconciled = worker.is_reachable and worker.is_reconciled
        worker.is_reachable = True
        worker.lapsed.clear()
        worker.born_ms = worker.born_ms or answer.born_ms
        ends = self._process_ended(made)
        are_all_handled = self._process_active(answer.active)
        self._capacity_check.check()
        is_complete = are_all_handled and not answer.is_incomplete
        lost = self._find_missing(answer, sent_at=sent_at) if is_complete else []
        if new and was_reachable_and_reconciled:
            self._owner.wake_planner()
        await self._reporter.commit(ends)
        self._owner.apply_ends(ends)
        # Only now are the ends of tasks that an earlier leader started here committed.
        if not worker.is_reconciled:
            self._capacity_check.compare_reserved(answer.active)
        worker.is_reconciled = True
        if not was_reachable_and_reconciled:
            self._owner.wake_planner()
        self._cursor.record_committed(new)
        if lost:
            logger.info("placed tasks not listed by worker", worker=worker.id, count=len(lost))
            await self._report_lost(lost)

    def _process_ended(
        self, made: list[tuple[EndedTask, jobs_pb2.TaskEnd | None]]
    ) -> list[jobs_pb2.TaskEnd]:
        for ended, _ in made:
            placement = self._worker.placements.get((ended.task, ended.attempt))
            if placement is not None:
                self._worker.release(placement)
                self._owner.record_listed_end(placement, ended.kind)
        return [end for _, end in made if end is not None]

    def _make_end(self, ended: EndedTask) -> jobs_pb2.TaskEnd | None:
        """Return the end of an attempt, or None if no leader can have started it."""
        key = self._owner.find_key(ended.task, ended.attempt)
        if key is None:
            return None
        return jobs_pb2.TaskEnd(
            job=key[0],
            position=key[1],
            attempt=ended.attempt,
            kind=ended.kind,
            checkpoint=ended.checkpoint,
        )

    def _process_active(self, active: list[ActiveTask]) -> bool:
        """Process the running tasks, each by itself; return whether all could be handled."""
        are_all_handled = True
        for task in active:
            try:
                self._process_running(task)
            except Exception:
                # The ends of the same answer are committed all the same.
                logger.exception("running task not handled", worker=self._worker.id)
                are_all_handled = False
        return are_all_handled

    def _process_running(self, task: ActiveTask) -> None:
        placement = self._worker.placements.get((task.task, task.attempt))
        if placement is None:
            self._owner.adopt_or_stop(self._worker, task)
            return
        self._owner.record_running(placement)
        if task.checkpoint:
            self._owner.record_checkpoint(placement, task.checkpoint)
        if task.processors is not None:
            self._owner.record_usage(placement, task)

    def _find_missing(self, answer: RenewalAnswer, *, sent_at: float) -> list[Placement]:
        """Return placements that the worker should list but does not."""
        listed = list_attempts(answer)
        return [
            placement
            for placement in self._worker.placements.values()
            if placement.must_be_listed_since < sent_at
            and placement.phase in (PlacementPhase.RUNNING, PlacementPhase.STOPPING)
            and placement.attempt_key not in listed
        ]
