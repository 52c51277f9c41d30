"""Client that asks the advisor, through several instances, which workers may run a step."""

from collections import defaultdict
from collections.abc import Awaitable, Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from operator import attrgetter
from typing import Any

from anyio.abc import TaskGroup

from ..exceptions import DewspindleError
from ..models.ids import JobId
from ..replication.transport import PeerUnreachableError
from ..scheduling.job_advice import ApprovalOdds
from ..schema import jobs_pb2, peers_pb2
from ..utils.logs import get_logger
from ..utils.metrics import Metrics
from ..utils.refusals import RetryReason
from ..utils.timers import TimerService
from .helper_registry import Helper

StepKey = tuple[JobId, int, int]
AdviceCall = Callable[[str, peers_pb2.AdviseRequest], Awaitable[peers_pb2.AdviseAnswer]]

# Longest time for a start order to reach a worker on an undisturbed network.
TICKET_MARGIN_S = 0.15
# The queue's settings give the expected duration of a call. The first timeout is close to it, so
# that a lost helper is detected early.
FIRST_TIMEOUT_FACTOR = 1.3
FIRST_TIMEOUT_SLACK_S = 0.3  # Longest delay that a busy instance adds.
# After a failed call the timeout is longer, as the advisor itself may be slow.
TIMEOUT_FACTOR = 2.0
TIMEOUT_SLACK_S = 1.0
RETRY_DELAY_S = 0.25
# How long a failed helper is chosen last: until a lost instance is known to be lost.
FAILED_HELPER_PENALTY_S = 3.0
LONG_CALL_S = 0.15  # Longer calls leave one instance free for shorter ones.
# One in so many calls is made for the request that has waited longest, once it has waited long.
CALLS_PER_OLDEST = 4
OLD_REQUEST_S = 1.0
STALE_REQUEST_S = 0.5  # After which the workers of a request that was not sent are chosen anew.

logger = get_logger(__name__)


@dataclass(slots=True)
class StepAdvice:
    """Decisions of the advisor for a step; a decision on a worker does not change."""

    # By worker, for every worker ever approved, also after its ticket expired or was rejected.
    tickets: dict[str, str] = field(default_factory=dict)
    expires_at: dict[str, float] = field(default_factory=dict)  # By worker, unless rejected.
    # No task is placed there, nor can an earlier leader have placed one.
    refused: set[str] = field(default_factory=set)
    # Those left out by an incomplete answer, with the time at which they may be listed again.
    left_out_until: dict[str, float] = field(default_factory=dict)
    pending: set[str] = field(default_factory=set)  # Workers listed in requests without answer.
    was_asked: bool = False  # Whether any request was made.
    asked_since: float | None = None  # When it was first asked for, if no helper was free since.
    failures: int = 0  # Consecutive calls without a decision.
    retry_at: float = float("-inf")

    def has_ticket(self, worker_id: str, now: float) -> bool:
        """Return whether the ticket for a worker stays valid long enough for a start."""
        return self.expires_at.get(worker_id, 0.0) > now + TICKET_MARGIN_S

    def select_tickets(self, workers: Iterable[str]) -> dict[str, str]:
        """Return the tickets for some workers, as far as there are any."""
        return {worker: self.tickets[worker] for worker in workers if worker in self.tickets}

    def list_valid(self, now: float) -> list[str]:
        """Return the workers whose tickets stay valid long enough for a start."""
        return [worker for worker in self.expires_at if self.has_ticket(worker, now)]

    @property
    def is_pending(self) -> bool:
        """Return whether a request is pending."""
        return bool(self.pending)

    @property
    def is_renewal_pending(self) -> bool:
        """Return whether a request lists workers that were approved before."""
        return any(worker in self.tickets for worker in self.pending)

    @property
    def is_decision_pending(self) -> bool:
        """Return whether a request lists workers that were not approved before."""
        return any(worker not in self.tickets for worker in self.pending)

    def may_ask(self, now: float) -> bool:
        """Return whether the delay after a failed call has passed."""
        return now >= self.retry_at

    def is_refused(self, worker_id: str, now: float) -> bool:
        """Return whether a worker need not be listed: it is refused, or was left out just now."""
        return worker_id in self.refused or self.left_out_until.get(worker_id, 0.0) > now

    def needs_renewal(self, worker_id: str, now: float, *, within_s: float) -> bool:
        """Return whether the ticket of an approved worker ends within a time."""
        return self.expires_at.get(worker_id, 0.0) < now + within_s

    def record_decision(
        self,
        workers: Iterable[str],
        approved: Mapping[str, str],
        *,
        expires_at: float,
        is_incomplete: bool = False,
    ) -> None:
        """Store the advisor's decision on the workers of a request."""
        self.tickets.update(approved)
        self.expires_at.update(dict.fromkeys(approved, expires_at))
        for worker in workers:
            if worker in approved:
                continue
            if is_incomplete:
                self.left_out_until[worker] = expires_at
            else:
                self.refused.add(worker)
            self.tickets.pop(worker, None)
            self.expires_at.pop(worker, None)

    def drop_ticket(self, worker_id: str) -> None:
        """Mark a ticket that a worker rejected as not valid."""
        self.expires_at.pop(worker_id, None)


class AdvicePurpose(Enum):
    """What a request for advice is made for."""

    TASKS = "tasks"  # Single tasks, on new or approved workers.
    GANG = "gang"  # Further workers for a gang.
    RENEWAL = "renewal"  # Tickets of workers that a gang waits for.
    INHERITED = "inherited"  # Whether an inherited step may run on silent workers.


@dataclass(slots=True, eq=False)
class AdviceRequest:
    """A request for advice that waits for a free helper."""

    key: StepKey
    queue: str
    workers: list[str]
    expected_s: float
    rank: tuple[float, ...]
    purpose: AdvicePurpose = AdvicePurpose.TASKS
    asked_at: float = 0.0  # When its step was first asked for, if no helper was free since.
    queued_at: float = 0.0

    @property
    def is_long(self) -> bool:
        """Return whether the call would delay shorter ones."""
        return self.expected_s > LONG_CALL_S


def choose_helper(
    free: Iterable[Helper],
    *,
    is_long: bool,
    used_at: Mapping[str, float],
    penalized: Collection[str] = (),
) -> Helper:
    """Return the helper for a call, the least recently used among equals.

    Replicas are preferred for short calls, entry instances for long ones, and the leader comes
    last. Helpers that failed recently come after all others.
    """
    return min(
        free,
        key=lambda helper: (
            helper.address in penalized,
            helper.is_leader,
            helper.is_replica == is_long,
            used_at.get(helper.address, float("-inf")),
        ),
    )


def estimate_call_s(advisor: jobs_pb2.Advisor, count: int) -> float:
    """Return the expected duration of an advisor call for a number of workers."""
    return (advisor.decision_ms + advisor.per_worker_ms * count) / 1000


class AdviceClient:
    """Keeps tickets by step and calls the advisor, with one call in flight per instance at most."""

    def __init__(
        self,
        *,
        list_helpers: Callable[[], Iterable[Helper]],
        call: AdviceCall,
        timers: TimerService,
        metrics: Metrics,
        on_answer: Callable[[StepKey], None],
    ) -> None:
        self._list_helpers = list_helpers
        self._call = call
        self._timers = timers
        self._metrics = metrics
        self._on_answer = on_answer
        self._steps: dict[StepKey, StepAdvice] = {}
        self._waiting: list[AdviceRequest] = []
        self._odds = ApprovalOdds()
        self._calls_in_flight: dict[str, bool] = {}  # Whether the call is long, by helper.
        self._penalized_until: dict[str, float] = {}
        self._used_at: dict[str, float] = {}
        self._group: TaskGroup | None = None
        self._helper_count = 0  # At the last dispatch.
        self._advised: set[StepKey] = set()  # Steps whose requests were answered lately.
        self._calls_by_rank = 0  # Calls since the longest waiting request had its turn.
        self._helper_seconds: defaultdict[AdvicePurpose, float] = defaultdict(float)

    @property
    def odds(self) -> ApprovalOdds:
        """Return the learnt odds that the advisor approves a worker."""
        return self._odds

    @property
    def has_spare_helper(self) -> bool:
        """Return whether a helper was free after the last dispatch, and no request waits for it."""
        return not self._waiting and len(self._calls_in_flight) < self._helper_count

    def start(self, group: TaskGroup) -> None:
        """Use a task group for calls."""
        self._group = group

    def get(self, key: StepKey) -> StepAdvice:
        """Return the advice for a step, empty if there is none yet."""
        advice = self._steps.get(key)
        if advice is None:
            advice = self._steps[key] = StepAdvice()
        return advice

    def forget(self, key: StepKey) -> None:
        """Drop the advice and the waiting requests of a step."""
        self._steps.pop(key, None)
        self._waiting = [request for request in self._waiting if request.key != key]

    def take_advised(self) -> set[StepKey]:
        """Return the steps whose requests were answered since the last time."""
        advised, self._advised = self._advised, set()
        return advised

    def ask(self, request: AdviceRequest) -> None:
        """Queue a request unless it lists a pending worker or a call failed recently."""
        advice = self.get(request.key)
        now = self._timers.now()
        if not request.workers or not advice.may_ask(now):
            return
        if not advice.pending.isdisjoint(request.workers):
            return
        if advice.asked_since is None:
            advice.asked_since = now
        request.asked_at = advice.asked_since
        request.queued_at = now
        advice.pending.update(request.workers)
        self._waiting.append(request)

    def withdraw_stale(self, keys: Collection[StepKey]) -> None:
        """Withdraw the requests of steps that have waited long, as their workers may be full.

        A new request counts from when the withdrawn ones were made.
        """
        oldest = self._timers.now() - STALE_REQUEST_S
        stale = [r for r in self._waiting if r.queued_at <= oldest and r.key in keys]
        for request in stale:
            self._waiting.remove(request)
            self.get(request.key).pending.difference_update(request.workers)

    def dispatch(self) -> None:
        """Send waiting requests through free helpers, in rank order."""
        helpers = list(self._list_helpers())
        self._helper_count = len(helpers)
        if self._group is None or not self._waiting:
            return
        now = self._timers.now()
        self._penalized_until = {h: at for h, at in self._penalized_until.items() if at > now}
        free = {helper for helper in helpers if helper.address not in self._calls_in_flight}
        candidates = list(self._waiting)
        while free and candidates:
            first = min(candidates, key=attrgetter("rank"))
            request = self._choose_next(first, candidates, now)
            is_in_turn = request is not first
            candidates.remove(request)
            # Of several helpers, one is kept free of long calls.
            if request.is_long and 1 < len(helpers) <= sum(self._calls_in_flight.values()) + 1:
                candidates = [other for other in candidates if not other.is_long]
                continue
            # Helpers of one kind may be lost together, so a retry prefers the other kind.
            is_retry = self.get(request.key).failures > 0
            helper = choose_helper(
                free,
                is_long=request.is_long and not is_retry,
                used_at=self._used_at,
                penalized=self._penalized_until,
            )
            free.remove(helper)
            self._waiting.remove(request)
            self.get(request.key).asked_since = None
            self._calls_by_rank = 0 if is_in_turn else self._calls_by_rank + 1
            self._calls_in_flight[helper.address] = request.is_long
            self._used_at[helper.address] = now
            self._group.start_soon(self._call_helper, helper.address, request)

    def _choose_next(
        self, first: AdviceRequest, candidates: list[AdviceRequest], now: float
    ) -> AdviceRequest:
        """Return the request of highest rank or, now and then, the one that has waited longest.

        Otherwise a request would wait as long as enough others of higher rank are made.
        """
        if self._calls_by_rank < CALLS_PER_OLDEST - 1:
            return first
        # Of several that have waited equally long, the one that ranks last.
        oldest = max(candidates, key=lambda request: (-request.asked_at, request.rank))
        return first if now - oldest.asked_at < OLD_REQUEST_S else oldest

    def take_load(self) -> dict[str, Any]:
        """Return figures on helpers and requests for the log, those on calls since the last time.

        `helper_seconds` is the time that calls took, by the purpose of the request.
        """
        now = self._timers.now()
        waits = [now - request.asked_at for request in self._waiting]
        seconds, self._helper_seconds = self._helper_seconds, defaultdict(float)
        return {
            "helpers": self._helper_count,
            "busy_helpers": len(self._calls_in_flight),
            "waiting_requests": len(waits),
            "longest_request_wait_s": round(max(waits, default=0.0), 3),
            "helper_seconds": {p.value: round(taken, 2) for p, taken in seconds.items()},
        }

    async def _call_helper(self, helper: str, request: AdviceRequest) -> None:
        job, occurrence, step = request.key
        started_at = self._timers.now()
        timeout_s = self._choose_timeout(request)
        message = peers_pb2.AdviseRequest(
            job=job,
            occurrence=occurrence,
            step=step,
            workers=request.workers,
            timeout_ms=int(timeout_s * 1000),
        )
        try:
            answer = await self._call(helper, message)
        except (PeerUnreachableError, DewspindleError) as error:
            logger.warning("advice failed", job=job, step=step, helper=helper, why=str(error))
            self._metrics.count_retry(RetryReason.ADVICE_FAILED)
            self._penalized_until[helper] = self._timers.now() + FAILED_HELPER_PENALTY_S
            self._finish(helper, request, None)
            return
        took_s = self._timers.now() - started_at
        self._metrics.record("dewspindle_advice_seconds", took_s, purpose=request.purpose.value)
        self._helper_seconds[request.purpose] += took_s
        self._finish(helper, request, answer)

    def _choose_timeout(self, request: AdviceRequest) -> float:
        if self.get(request.key).failures == 0:
            return request.expected_s * FIRST_TIMEOUT_FACTOR + FIRST_TIMEOUT_SLACK_S
        return request.expected_s * TIMEOUT_FACTOR + TIMEOUT_SLACK_S

    def _finish(
        self, helper: str, request: AdviceRequest, answer: peers_pb2.AdviseAnswer | None
    ) -> None:
        self._calls_in_flight.pop(helper, None)
        advice = self._steps.get(request.key)
        if advice is not None:
            advice.pending.difference_update(request.workers)
            self._advised.add(request.key)
            self._apply_answer(advice, request, answer)
        self.dispatch()  # The helper is free for another request.
        self._on_answer(request.key)

    def _apply_answer(
        self,
        advice: StepAdvice,
        request: AdviceRequest,
        answer: peers_pb2.AdviseAnswer | None,
    ) -> None:
        now = self._timers.now()
        if answer is None or answer.busy:
            # The first failure is retried at once through another helper. After further ones the
            # advisor itself may not answer, so the retry waits.
            advice.retry_at = now + (RETRY_DELAY_S if advice.failures else 0.0)
            advice.failures += 1
            return
        advice.failures = 0
        if answer.incomplete:
            advice.retry_at = now + RETRY_DELAY_S
        approved = {approval.worker: approval.ticket for approval in answer.approvals}
        first = [worker for worker in request.workers if worker not in advice.tickets]
        self._odds.record(
            request.queue, listed=len(first), approved=sum(w in approved for w in first)
        )
        advice.record_decision(
            request.workers,
            approved,
            expires_at=now + answer.validity_ms / 1000,
            is_incomplete=answer.incomplete,
        )
