"""Relays callers' requests about jobs to the leader in batches."""

from collections.abc import Sequence
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from ..exceptions import DewspindleError, NoLeaderError, OutcomeUnknownError
from ..network import methods
from ..network.leader_client import LeaderClient
from ..schema import peers_pb2
from ..schema.peers_pb2 import JOB_READ
from ..utils.logs import get_logger
from ..utils.metrics import Metrics
from ..utils.timers import Signal, TimerService

MAX_BATCH_REQUESTS = 64  # Requests in one message.
MAX_BATCH_BYTES = 1024 * 1024  # Of the requests in one message, unless a single one is larger.
MAX_WAITING_BYTES = 16 * 1024 * 1024  # Of all requests that wait to be sent.
MAX_IN_FLIGHT = 4  # Messages of one sender at a time.
RELAY_TIMEOUT_S = 2.8  # Longer than an election and the discovery of the next leader.
# A helper that has nothing to relay announces itself, well within `ENTRY_TIMEOUT_S` of the leader.
ANNOUNCE_INTERVAL_S = 1.0
LATE_ANSWER_S = 0.5  # Later answers are logged.

logger = get_logger(__name__)


@dataclass(slots=True)
class PendingRequest:
    """A request that waits for its answer."""

    request: peers_pb2.JobRequest
    queued_at: float
    done: anyio.Event = field(default_factory=anyio.Event)
    answer: peers_pb2.JobAnswer | None = None
    error: DewspindleError | None = None
    size: int = field(init=False)  # In bytes.

    def __post_init__(self) -> None:
        self.size = self.request.ByteSize()


class BatchSender:
    """Sends requests of one kind in batches, so that reads do not wait for commits."""

    def __init__(
        self, leader: LeaderClient, *, timers: TimerService, metrics: Metrics, helper_address: str
    ) -> None:
        self._leader = leader
        self._timers = timers
        self._metrics = metrics
        self._helper_address = helper_address
        self._waiting: list[PendingRequest] = []
        self._waiting_bytes = 0
        self._in_flight = 0
        self._answered_at = float("-inf")
        self._wake = Signal()

    @property
    def answered_at(self) -> float:
        """Return when the leader last answered."""
        return self._answered_at

    def add(self, item: PendingRequest) -> None:
        """Queue a request, or raise `NoLeaderError` if too much waits for the leader."""
        if self._waiting and self._waiting_bytes + item.size > MAX_WAITING_BYTES:
            raise NoLeaderError(
                f"requests of {self._waiting_bytes} bytes wait for the leader already"
            )
        self._waiting.append(item)
        self._waiting_bytes += item.size
        self._wake.set()

    def discard(self, item: PendingRequest) -> bool:
        """Withdraw a request; return whether it was certainly not sent."""
        if item in self._waiting:
            self._waiting.remove(item)
            self._waiting_bytes -= item.size
            return True
        return False

    async def run(self, group: TaskGroup) -> None:
        """Send until cancelled."""
        while True:
            event = self._wake.event
            if not self._waiting or self._in_flight >= MAX_IN_FLIGHT:
                await event.wait()
                continue
            self._in_flight += 1
            group.start_soon(self._send_batch, self._take_batch())

    def _take_batch(self) -> list[PendingRequest]:
        batch: list[PendingRequest] = []
        size = 0
        for item in self._waiting[:MAX_BATCH_REQUESTS]:
            size += item.size
            if batch and size > MAX_BATCH_BYTES:
                break
            batch.append(item)
        del self._waiting[: len(batch)]
        self._waiting_bytes -= sum(item.size for item in batch)
        return batch

    async def _send_batch(self, batch: Sequence[PendingRequest]) -> None:
        sent_at = self._timers.now()
        request = peers_pb2.RelayJobsRequest(
            requests=[item.request for item in batch], helper_address=self._helper_address
        )
        try:
            # Callers choose the ids of jobs, so sending a request twice has no further effect.
            answer = await self._leader.send(
                methods.RELAY_JOBS, request, timeout_s=RELAY_TIMEOUT_S, is_idempotent=True
            )
        except DewspindleError as error:
            for item in batch:
                item.error = error
        else:
            self._answered_at = self._timers.now()
            for item, single in zip(batch, answer.answers, strict=True):
                item.answer = single
            self._record_times(batch, sent_at=sent_at, handling_s=answer.handling_ms / 1000)
        finally:
            self._in_flight -= 1
            self._wake.set()
        for item in batch:
            item.done.set()

    def _record_times(
        self, batch: Sequence[PendingRequest], *, sent_at: float, handling_s: float
    ) -> None:
        """Record where the time of answered requests went, and log the late ones.

        What the leader took is told apart from the way to it and back, with all retries.
        """
        transit_s = max(0.0, self._answered_at - sent_at - handling_s)
        self._metrics.record("dewspindle_relay_seconds", transit_s, part="transit")
        self._metrics.record("dewspindle_relay_seconds", handling_s, part="handling")
        for item in batch:
            queued_s = sent_at - item.queued_at
            self._metrics.record("dewspindle_relay_seconds", queued_s, part="queue")
            if self._answered_at - item.queued_at >= LATE_ANSWER_S:
                logger.info(
                    "request answered late",
                    path=item.request.path,
                    call=peers_pb2.JobCall.Name(item.request.call),
                    queued_s=round(queued_s, 3),
                    transit_s=round(transit_s, 3),
                    handling_s=round(handling_s, 3),
                    requests=len(batch),
                )

    async def announce(self) -> None:
        """Send a message without requests, which tells the leader that this instance is alive."""
        try:
            await self._leader.send(
                methods.RELAY_JOBS,
                peers_pb2.RelayJobsRequest(helper_address=self._helper_address),
                timeout_s=ANNOUNCE_INTERVAL_S,
                is_idempotent=True,
            )
        except DewspindleError as error:
            logger.debug("announcement not answered", why=str(error))
        else:
            self._answered_at = self._timers.now()


class JobRelay:
    """Relays callers' requests to the leader, reads apart from changes."""

    def __init__(
        self,
        leader: LeaderClient,
        *,
        timers: TimerService,
        metrics: Metrics,
        helper_address: str = "",
    ) -> None:
        self._timers = timers
        self._is_helper = bool(helper_address)
        self._reads, self._changes = (
            BatchSender(leader, timers=timers, metrics=metrics, helper_address=helper_address)
            for _ in range(2)
        )

    async def run(self) -> None:
        """Send until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._reads.run, group)
            group.start_soon(self._changes.run, group)
            if self._is_helper:
                group.start_soon(self._announce)

    async def _announce(self) -> None:
        """Stay known to the leader as a helper while there is nothing to relay."""
        while True:
            await self._timers.sleep(ANNOUNCE_INTERVAL_S)
            answered_at = max(self._reads.answered_at, self._changes.answered_at)
            if self._timers.now() - answered_at >= ANNOUNCE_INTERVAL_S:
                await self._reads.announce()

    async def send(self, request: peers_pb2.JobRequest, *, timeout_s: float) -> peers_pb2.JobAnswer:
        """Return the leader's answer.

        Raises `NoLeaderError` if the request certainly had no effect, as it could not be sent in
        time or too much waits already, `OutcomeUnknownError` if it may have had one.
        """
        sender = self._reads if request.call == JOB_READ else self._changes
        item = PendingRequest(request, queued_at=self._timers.now())
        sender.add(item)
        try:
            with self._timers.fail_after(timeout_s):
                await item.done.wait()
        except TimeoutError:
            if sender.discard(item):
                raise NoLeaderError("the request could not be sent to the leader in time") from None
            raise OutcomeUnknownError("the leader did not answer in time") from None
        if item.error is not None:
            raise item.error
        assert item.answer is not None
        return item.answer
