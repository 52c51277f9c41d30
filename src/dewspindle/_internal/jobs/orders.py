"""Sends start and stop orders to workers and handles missing answers."""

from collections.abc import Callable

from anyio.abc import TaskGroup

from ..utils.logs import get_logger
from ..utils.metrics import Metrics
from ..utils.refusals import RetryReason
from ..utils.timers import TimerService
from .fleet import Fleet
from .gateway import (
    AnswerTimeoutError,
    NoDefiniteAnswerError,
    OrderAnswer,
    OrderOutcome,
    StartOrder,
    StopOrder,
    WorkerGateway,
    WorkerNotConnectedError,
    WorkerReplacedError,
)
from .placements import Placement, PlacementPhase

ORDER_TIMEOUT_S = 0.3  # A healthy worker answers within milliseconds, or after one retransmission.
STOP_RETRY_DELAY_S = 0.3  # Also while the leader lease has lapsed.
MAX_START_SENDS = 4  # Of one attempt; a gang waits 3 s for the last of its members.

logger = get_logger(__name__)


class OrderSender:
    """Sends each order in a separate anyio task and updates its placement."""

    def __init__(
        self,
        *,
        gateway: WorkerGateway,
        fleet: Fleet,
        timers: TimerService,
        metrics: Metrics,
        fencing_token: int,
        lease_s: float,
        wake_session: Callable[[str], None],
        renew_now: Callable[[str], None],
        may_act: Callable[[], bool],
        on_accepted: Callable[[Placement], None],
        on_rejected: Callable[[Placement, OrderOutcome], None],
    ) -> None:
        self._gateway = gateway
        self._fleet = fleet
        self._timers = timers
        self._metrics = metrics
        self._fencing_token = fencing_token
        self._lease_s = lease_s
        self._wake_session = wake_session
        self._renew_now = renew_now
        self._may_act = may_act  # Whether this replica may act as the leader.
        self._on_accepted = on_accepted
        self._on_rejected = on_rejected
        self._group: TaskGroup | None = None

    def open(self, group: TaskGroup) -> None:
        """Use a task group for orders."""
        self._group = group

    def close(self) -> None:
        """Send no further orders."""
        self._group = None

    def start(self, placement: Placement, *, payload: str, checkpoint: str, ticket: str) -> None:
        """Send a start order."""
        assert self._group is not None
        lease = placement.worker.lease
        order = StartOrder(
            task=placement.task,
            attempt=placement.attempt,
            payload=payload,
            deadline_ms=lease.grant(now=placement.placed_at, seconds=self._lease_s),
            fencing_token=self._fencing_token,
            checkpoint=checkpoint,
            ticket=ticket,
        )
        self._group.start_soon(self._send_start, placement, order)

    async def _send_start(self, placement: Placement, order: StartOrder) -> None:
        """Send a start order, again while it is unanswered: a repeated one has no effect."""
        worker = placement.worker
        for number in range(MAX_START_SENDS):
            is_repeated = number > 0
            # The process may have been paused since the start was planned.
            if not self._may_act():
                if not is_repeated:
                    self._handle_rejected(placement, OrderOutcome.NOT_SENT)
                    return
                break
            sent_at = self._timers.now()
            try:
                answer = await self._gateway.start(
                    worker.endpoint, order, timeout_s=ORDER_TIMEOUT_S
                )
            except WorkerReplacedError:
                if not worker.record_replaced():
                    break
                self._wake_session(worker.id)
                return
            except NoDefiniteAnswerError as error:
                placement.may_have_run |= not isinstance(error, WorkerNotConnectedError)
                self._record_unanswered(placement, error, sent_at=sent_at)
                is_starting = placement.phase is PlacementPhase.STARTING
                if not is_starting or worker.is_suspended(self._timers.now()):
                    break
                continue
            self._handle_answer(placement, answer, is_repeated=is_repeated)
            return
        # Prevents an unanswered order from being carried out later.
        self.stop(placement, reason="its start order was not answered")

    def _handle_answer(
        self, placement: Placement, answer: OrderAnswer, *, is_repeated: bool
    ) -> None:
        worker, now = placement.worker, self._timers.now()
        worker.record_answer(now)
        if answer.clock_ms is not None:
            worker.lease.record_clock(answer.clock_ms, received_at=now)
        if answer.outcome is OrderOutcome.ACCEPTED:
            self._on_accepted(placement)
            if placement.phase is PlacementPhase.STARTING:
                placement.phase = PlacementPhase.RUNNING
                placement.must_be_listed_since = now
            self._wake_session(worker.id)
        elif is_repeated:
            # The unanswered order before it may have had effect.
            self.stop(placement, reason=f"a repeated start order was {answer.outcome.value}")
        else:
            self._handle_rejected(placement, answer.outcome)

    def _record_unanswered(
        self, placement: Placement, error: NoDefiniteAnswerError, *, sent_at: float
    ) -> None:
        worker, now = placement.worker, self._timers.now()
        worker.record_unanswered_start(placement.attempt_key, now)
        self._fleet.suspend_if_silent(worker, now)
        if isinstance(error, AnswerTimeoutError):
            worker.lease.record_unanswered(sent_at=sent_at, seconds=self._lease_s)
        self._metrics.count_retry(RetryReason.START_UNANSWERED)
        logger.warning("start unanswered", job=placement.key[0], worker=worker.id, why=str(error))

    def _handle_rejected(self, placement: Placement, outcome: OrderOutcome) -> None:
        """Release the capacity of a start that certainly had no effect."""
        worker = placement.worker
        logger.info("start rejected", job=placement.key[0], worker=worker.id, outcome=outcome.value)
        self._metrics.count_retry(RetryReason.START_REJECTED)
        worker.release(placement)
        self._on_rejected(placement, outcome)

    def stop(self, placement: Placement, *, reason: str) -> None:
        """Send a stop order, repeated until it is accepted or the placement has ended."""
        if (
            placement.is_stop_ordered
            or placement.phase is PlacementPhase.ENDED
            or self._group is None
        ):
            return
        placement.is_stop_ordered = True
        placement.phase = PlacementPhase.STOPPING
        placement.must_be_listed_since = float("inf")
        logger.info(
            "task stop ordered", job=placement.key[0], worker=placement.worker.id, why=reason
        )
        order = StopOrder(placement.task, placement.attempt, self._fencing_token)
        self._group.start_soon(self._send_stop, placement, order)

    async def _send_stop(self, placement: Placement, order: StopOrder) -> None:
        worker = placement.worker
        while placement.phase is not PlacementPhase.ENDED and self._fleet.get(worker.id) is worker:
            if not self._may_act():
                await self._timers.sleep(STOP_RETRY_DELAY_S)
                continue
            try:
                answer = await self._gateway.stop(worker.endpoint, order, timeout_s=ORDER_TIMEOUT_S)
            except WorkerReplacedError:
                if worker.record_replaced():
                    break
                await self._timers.sleep(STOP_RETRY_DELAY_S)
                continue
            except NoDefiniteAnswerError as error:
                worker.answer_counts.record(is_answered=False, now=self._timers.now())
                logger.info("stop unanswered", worker=worker.id, why=str(error))
                await self._timers.sleep(STOP_RETRY_DELAY_S)
                continue
            if answer.outcome is OrderOutcome.ACCEPTED:
                placement.must_be_listed_since = self._timers.now()
                worker.record_answer(placement.must_be_listed_since)
                break
            logger.warning("stop rejected", worker=worker.id, outcome=answer.outcome.value)
            await self._timers.sleep(STOP_RETRY_DELAY_S)
        self._renew_now(worker.id)
