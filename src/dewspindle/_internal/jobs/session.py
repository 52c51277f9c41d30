"""The leader's talk with one worker: renewing its lease and reading what ended there."""

from typing import Protocol

import anyio

from ..models.jobs import TaskRef
from ..schema import jobs_pb2
from ..utils.logs import get_logger
from ..utils.timers import Signal, TimerService, wait_for_event
from .end_reporter import EndReporter
from .fleet import FleetWorker, Phase, Placement, TaskKey
from .gateway import (
    ActiveTask,
    EndedTask,
    HoldAnswer,
    HoldOrder,
    OrderOutcome,
    WorkerGateway,
    WorkerReplacedError,
    WorkerTimeoutError,
    WorkerUnreachableError,
)

HOLD_WAIT_S = 1.0  # Bounds how long ends go unseen where an answer is lost on its way.
HOLD_SLACK_S = 0.6  # Beside the wait, for the way there and back over a lossy link.
IDLE_CHECK_S = 2.0  # Between looks for the signs that an idle worker is gone.
FAILURES_TO_DOUBT = 2  # Looks in a row without an answer; a single one may be lost on its way.
RETRY_PAUSE_S = 0.4
LONGEST_PAUSE_S = 2.0  # Between looks at a worker that does not answer.
LEAVE_GRACE_S = 0.5  # From a worker's last announcement until nothing runs there any more.
FORGET_AFTER_S = 15.0  # Silence of a worker that runs nothing, after which it is discharged.

logger = get_logger(__name__)


class SessionOwner(Protocol):
    """What a session tells the dispatcher."""

    def find_key(self, task: TaskRef) -> TaskKey | None:
        """Return the key of a task of a known job."""

    def take_unknown(self, worker: FleetWorker, active: ActiveTask) -> None:
        """Adopt or stop a task that runs without a known placement."""

    def note_checkpoint(self, placement: Placement, checkpoint: str) -> None:
        """Take note of a newer checkpoint of a running task."""

    def note_usage(self, placement: Placement, active: ActiveTask) -> None:
        """Take note of what a running task uses."""

    def note_listed_end(self, placement: Placement, kind: jobs_pb2.EndKind.ValueType) -> None:
        """Take note that an end was listed, before it is committed."""

    def settle(self, ends: list[jobs_pb2.TaskEnd]) -> None:
        """Go on with tasks whose ends are committed."""

    def are_orders_late(self) -> bool:
        """Tell whether orders without an answer are likely to be carried out later."""

    def make_loss(self, placement: Placement) -> jobs_pb2.TaskEnd:
        """Return the end of a task that went with its worker."""

    async def discharge(self, worker: FleetWorker) -> None:
        """Forget a worker on which nothing runs."""

    def wake_planner(self) -> None:
        """Look for work again."""


class WorkerSession:
    """Calls one worker for as long as it is known."""

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
    ) -> None:
        self._worker = worker
        self._gateway = gateway
        self._owner = owner
        self._reporter = reporter
        self._timers = timers
        self._token = fencing_token
        self._lease_s = lease_s
        self._wake = Signal()
        self._acknowledged = 0
        self._committed = 0
        self._failures = 0
        self._left_at: float | None = None
        self._is_urgent = False
        self._looking: anyio.CancelScope | None = None

    def wake(self) -> None:
        """Look at the worker soon."""
        self._wake.set()

    def look_now(self) -> None:
        """Read the lists at once, in place of a request that waits for an end."""
        self._is_urgent = True
        if self._looking is not None:
            self._looking.cancel()
        self._wake.set()

    async def run(self) -> None:
        """Talk with the worker until it is gone."""
        while True:
            event = self._wake.event
            if self._is_gone():
                await self._lose_all("the worker is gone")
                await self._owner.discharge(self._worker)
                return
            if not self._needs_look():
                await wait_for_event(self._timers, event=event, seconds=IDLE_CHECK_S)
                continue
            try:
                await self._look()
            except WorkerReplacedError:
                logger.warning("worker replaced at its address", worker=self._worker.id)
                self._worker.has_left = True
                self._left_at = float("-inf")

    def _is_gone(self) -> bool:
        worker, now = self._worker, self._timers.now()
        if worker.has_left:
            if self._left_at is None:
                self._left_at = now
            return now >= self._left_at + LEAVE_GRACE_S
        is_silent = now - worker.beat_at > FORGET_AFTER_S
        return is_silent and not worker.placements and worker.is_accounted

    def _needs_look(self) -> bool:
        worker = self._worker
        return (
            bool(worker.placements)
            or not worker.is_accounted
            or not worker.is_reachable
            or self._acknowledged < self._committed
        )

    async def _look(self) -> None:
        worker = self._worker
        sent_at = self._timers.now()
        may_wait = worker.placements and worker.is_accounted and not self._is_urgent
        wait_s = HOLD_WAIT_S if may_wait else 0.0
        self._is_urgent = False
        # A lease that is not renewed while the worker is unreachable ends at a known time.
        is_renewed = worker.is_reachable and worker.lease.is_sampled
        deadline = worker.lease.grant(now=sent_at, seconds=self._lease_s) if is_renewed else None
        order = HoldOrder(
            fencing_token=self._token,
            acknowledged_through=self._committed,
            deadline_ms=deadline,
            wait_ms=int(wait_s * 1000),
        )
        answer: HoldAnswer | None = None
        try:
            with anyio.CancelScope() as self._looking:
                answer = await self._gateway.hold(
                    worker.endpoint, order, timeout_s=wait_s + HOLD_SLACK_S
                )
        except WorkerUnreachableError as error:
            if is_renewed and isinstance(error, WorkerTimeoutError):
                worker.lease.note_unanswered(sent_at=sent_at, seconds=self._lease_s)
            await self._note_unreachable(error)
            return
        finally:
            self._looking = None
        if answer is None:
            return
        worker.note_answer(self._timers.now())
        if answer.clock_ms is not None:
            worker.lease.note_clock(answer.clock_ms, received_at=self._timers.now())
        if answer.outcome is not OrderOutcome.ACCEPTED:
            logger.warning("hold rejected", worker=worker.id, outcome=answer.outcome.value)
            await self._timers.sleep(RETRY_PAUSE_S)
            return
        self._acknowledged = order.acknowledged_through
        await self._take_over(answer, sent_at=sent_at)

    async def _note_unreachable(self, error: WorkerUnreachableError) -> None:
        worker = self._worker
        self._failures += 1
        worker.missed_look = True
        if self._failures < FAILURES_TO_DOUBT and worker.is_reachable:
            logger.info("look unanswered", worker=worker.id, why=str(error))
            return
        if worker.is_reachable:
            logger.warning("worker unreachable", worker=worker.id, why=str(error))
        worker.is_reachable = False
        orders_are_late = self._owner.are_orders_late()
        if worker.lease.is_over(self._timers.now(), orders_are_late=orders_are_late):
            await self._lose_all("the lease is over")
            worker.is_accounted = True
            self._owner.wake_planner()
        await self._timers.sleep(min(LONGEST_PAUSE_S, RETRY_PAUSE_S * self._failures))

    async def _lose_all(self, reason: str) -> None:
        """Report everything that ran on the worker as lost."""
        lost = list(self._worker.placements.values())
        if not lost:
            return
        logger.warning("tasks lost", worker=self._worker.id, count=len(lost), why=reason)
        await self._drop(lost)

    async def _drop(self, lost: list[Placement]) -> None:
        ends = [self._owner.make_loss(placement) for placement in lost]
        for placement in lost:
            self._worker.release(placement)
        await self._reporter.commit(ends)
        self._owner.settle(ends)

    async def _take_over(self, answer: HoldAnswer, *, sent_at: float) -> None:
        worker = self._worker
        if not worker.is_reachable:
            logger.info("worker reachable again", worker=worker.id)
        self._failures = 0
        was_usable = worker.is_reachable and worker.is_accounted
        worker.is_reachable = True
        new = [ended for ended in answer.ended if ended.number > self._committed]
        ends = self._take_ends(new)
        self._take_active(answer.active)
        lost = [] if answer.is_truncated else self._find_missing(answer, sent_at=sent_at)
        if new and was_usable:
            self._owner.wake_planner()
        await self._reporter.commit(ends)
        self._owner.settle(ends)
        # Only now is it known what an earlier leader's tasks came to here.
        worker.is_accounted = True
        if not was_usable:
            self._owner.wake_planner()
        if new:
            self._committed = max(ended.number for ended in new)
        if lost:
            logger.info("tasks not listed", worker=worker.id, count=len(lost))
            await self._drop(lost)

    def _take_ends(self, new: list[EndedTask]) -> list[jobs_pb2.TaskEnd]:
        ends: list[jobs_pb2.TaskEnd] = []
        for ended in new:
            key = self._owner.find_key(ended.task)
            if key is None:
                continue
            placement = self._worker.placements.get(key)
            if placement is not None and placement.attempt == ended.attempt:
                self._worker.release(placement)
                self._owner.note_listed_end(placement, ended.kind)
            ends.append(
                jobs_pb2.TaskEnd(
                    job=key[0],
                    position=key[1],
                    attempt=ended.attempt,
                    kind=ended.kind,
                    checkpoint=ended.checkpoint,
                )
            )
        return ends

    def _take_active(self, active: list[ActiveTask]) -> None:
        for task in active:
            key = self._owner.find_key(task.task)
            placement = self._worker.placements.get(key) if key is not None else None
            if placement is None or placement.attempt != task.attempt:
                self._owner.take_unknown(self._worker, task)
                continue
            if task.checkpoint:
                self._owner.note_checkpoint(placement, task.checkpoint)
            if task.processors is not None:
                self._owner.note_usage(placement, task)

    def _find_missing(self, answer: HoldAnswer, *, sent_at: float) -> list[Placement]:
        """Return placements that the worker would list if they were there."""
        find_key = self._owner.find_key
        listed = {(find_key(task.task), task.attempt) for task in answer.active}
        listed |= {(find_key(task.task), task.attempt) for task in answer.ended}
        return [
            placement
            for placement in self._worker.placements.values()
            if placement.confirmed_at < sent_at
            and placement.phase in (Phase.RUNNING, Phase.STOPPING)
            and (placement.key, placement.attempt) not in listed
        ]
