"""Sends start and stop orders to workers and handles missing answers."""

from collections.abc import Callable

from anyio.abc import TaskGroup

from ..utils.logs import get_logger
from ..utils.metrics import Metrics
from ..utils.refusals import RetryReason
from ..utils.timers import TimerService
from .fleet import Fleet, Placement, PlacementPhase
from .gateway import (
    AnswerTimeoutError,
    NoDefiniteAnswerError,
    OrderOutcome,
    StartOrder,
    StopOrder,
    WorkerGateway,
    WorkerReplacedError,
)

ORDER_TIMEOUT_S = 0.3  # A healthy worker answers within milliseconds, or after one retransmission.
STOP_RETRY_DELAY_S = 0.3  # Also while the leader lease has lapsed.

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
        worker = placement.worker
        # The process may have been paused since the start was planned.
        if not self._may_act():
            self._handle_rejected(placement, OrderOutcome.NOT_SENT)
            return
        try:
            answer = await self._gateway.start(worker.endpoint, order, timeout_s=ORDER_TIMEOUT_S)
        except WorkerReplacedError:
            worker.has_left = True
            self._wake_session(worker.id)
            return
        except NoDefiniteAnswerError as error:
            self._handle_unanswered(placement, error)
            return
        now = self._timers.now()
        worker.record_answer(now)
        if answer.clock_ms is not None:
            worker.lease.record_clock(answer.clock_ms, received_at=now)
        if answer.outcome is not OrderOutcome.ACCEPTED:
            self._handle_rejected(placement, answer.outcome)
            return
        self._on_accepted(placement)
        if placement.phase is PlacementPhase.STARTING:
            placement.phase = PlacementPhase.RUNNING
            placement.must_be_listed_since = now
        self._wake_session(worker.id)

    def _handle_unanswered(self, placement: Placement, error: NoDefiniteAnswerError) -> None:
        """Send a stop order, so that the unanswered start is not carried out later."""
        worker = placement.worker
        now = self._timers.now()
        worker.record_unanswered_order(now)
        self._fleet.suspend_if_silent(worker, now)
        if isinstance(error, AnswerTimeoutError):
            worker.lease.record_unanswered(sent_at=placement.placed_at, seconds=self._lease_s)
        self._metrics.count_retry(RetryReason.START_UNANSWERED)
        logger.warning("start unanswered", job=placement.key[0], worker=worker.id, why=str(error))
        self.stop(placement, reason="its start order was not answered")

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
                worker.has_left = True
                break
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
