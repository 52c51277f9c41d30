"""Attempts at a call: choice of backend server, retries, and the error returned to the caller."""

from ..exceptions import DewspindleError
from ..models.enums import ExecutionStatus
from ..schema import settings_pb2
from ..utils.budgets import RetryBudget
from ..utils.metrics import Metrics
from ..utils.refusals import Refusal, RetryReason
from ..utils.timers import TimerService
from . import headers as names
from .call_request import MAX_BUFFERED_BYTES, Call, CallBody
from .claims import MAX_STORED_BODY_BYTES, BufferedAnswer
from .directory import Backend, BackendDirectory
from .forwarding import Attempt, AttemptFailedError, BackendRequest, Forwarder, OpenAnswer
from .headers import HeaderList, copy_end_to_end, get_header
from .limits import CallLimits
from .responder import CallFailedError, Responder
from .shares import CallRefusedError, SlotShares

MAX_ATTEMPTS = 3
# Per service on one instance, in addition to retry_budget_percent.
RETRIES_PER_S = 1.0
RETRY_CAPACITY = 50.0  # Retries that may accumulate.


class CallAttempts:
    """Sends calls to backend servers, with retries on others within the retry budget."""

    def __init__(
        self,
        *,
        settings: settings_pb2.Settings,
        directory: BackendDirectory,
        shares: SlotShares,
        limits: CallLimits,
        forwarder: Forwarder,
        timers: TimerService,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._shares = shares
        self._limits = limits
        self._forwarder = forwarder
        self._timers = timers
        self._metrics = metrics
        self._budgets: dict[str, RetryBudget] = {}

    async def run(self, call: Call, body: CallBody, responder: Responder) -> None:
        """Try backend servers until one answers or no further retry is allowed."""
        budget = self._get_budget(call.service)
        budget.deposit()
        excluded: set[str] = set()
        may_have_run = False
        while True:
            try:
                backend = await self._shares.acquire(
                    call.service,
                    priority=self._limits.get_priority(call.service),
                    deadline=call.deadline,
                    excluded=excluded,
                )
            except CallRefusedError as error:
                if may_have_run:
                    raise CallFailedError(
                        error.refusal,
                        error.detail,
                        status=error.status,
                        ran=ExecutionStatus.UNKNOWN,
                    ) from error
                raise
            attempt = Attempt(backend=backend, request=self._make_request(call, body))
            try:
                await self._try_backend(call, attempt, responder)
                return
            except AttemptFailedError as error:
                may_have_run = may_have_run or error.may_have_run
                excluded.add(backend.id)
                if responder.is_started or not body.is_fully_buffered:
                    raise self._make_failure(error, may_have_run=may_have_run) from error
                if not self._may_retry(call, error, excluded, budget):
                    raise self._make_failure(error, may_have_run=may_have_run) from error

    def _get_budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                timers=self._timers,
                retries_per_attempt=self._settings.retry_budget_percent / 100,
                minimum_per_s=RETRIES_PER_S,
                capacity=RETRY_CAPACITY,
            )
            self._budgets[service] = budget
        return budget

    def _make_request(self, call: Call, body: CallBody) -> BackendRequest:
        remaining_ms = max(1, int((call.deadline - self._timers.now()) * 1000))
        headers = [
            (name, value)
            for name, value in copy_end_to_end(call.headers)
            if name.lower() not in (names.TIMEOUT, b"content-length")
        ]
        headers.append((names.TIMEOUT, str(remaining_ms).encode()))
        if body.is_fully_buffered:
            has_body = body.buffered or call.method not in (b"GET", b"HEAD", b"DELETE")
            if has_body:
                headers.append((b"content-length", str(len(body.buffered)).encode()))
            return BackendRequest(call.method, call.target, headers, body.buffered)
        length = get_header(call.headers, b"content-length")
        if length is not None:
            headers.append((b"content-length", length))
        else:
            headers.append((b"transfer-encoding", b"chunked"))
        return BackendRequest(call.method, call.target, headers, body.stream())

    async def _try_backend(self, call: Call, attempt: Attempt, responder: Responder) -> None:
        """Send a call to one backend server, and release its slot in every case."""
        started_at = self._timers.now()
        try:
            buffered_answer = await self._exchange(call, attempt, responder)
        except BaseException as error:
            if not isinstance(
                error, AttemptFailedError
            ):  # The caller has disconnected, for example.
                self._directory.end_probe(attempt.backend)
            has_ended = isinstance(error, AttemptFailedError) and not error.may_have_run
            self._release_slot(attempt.backend, started_at, has_ended=has_ended)
            raise
        self._release_slot(attempt.backend, started_at, has_ended=True)
        if buffered_answer is None:
            await responder.send_part(b"", is_last=True)
        else:
            await self._send_buffered(buffered_answer, responder)

    async def _exchange(
        self, call: Call, attempt: Attempt, responder: Responder
    ) -> BufferedAnswer | None:
        """Return a small answer buffered; stream a large one to the caller and return None."""
        remaining = call.deadline - self._timers.now()
        try:
            with self._timers.fail_after(remaining):
                async with self._forwarder.open(attempt, timeout_s=max(0.001, remaining)) as answer:
                    _raise_if_refused(answer.status, answer.headers)
                    buffered_answer = await self._read_answer(answer, responder)
        except TimeoutError:
            self._directory.note_failure(attempt.backend)
            raise AttemptFailedError(
                "the backend server's answer was not complete before the deadline",
                may_have_run=attempt.may_have_run,
                is_timeout=True,
            ) from None
        except AttemptFailedError:
            self._directory.note_failure(attempt.backend)
            raise
        self._directory.note_success(attempt.backend)
        return buffered_answer

    def _release_slot(self, backend: Backend, started_at: float, *, has_ended: bool) -> None:
        """Release a slot, at once if the backend server surely no longer works on the call."""
        if has_ended:
            self._shares.release(backend, held_s=self._timers.now() - started_at)
        else:
            self._shares.release_later(backend)

    async def _read_answer(self, answer: OpenAnswer, responder: Responder) -> BufferedAnswer | None:
        buffered: list[bytes] = []
        size = 0
        async for chunk in answer.iterate_body():
            size += len(chunk)
            if responder.is_started:
                await responder.send_part(chunk, is_last=False)
                continue
            buffered.append(chunk)
            if size > MAX_BUFFERED_BYTES:
                await responder.start(answer.status, answer.headers)
                await responder.send_part(b"".join(buffered), is_last=False)
                buffered.clear()
        if responder.is_started:
            return None
        return BufferedAnswer(
            ran=ExecutionStatus.YES,
            status=answer.status,
            headers=answer.headers,
            body=b"".join(buffered),
        )

    async def _send_buffered(self, buffered_answer: BufferedAnswer, responder: Responder) -> None:
        if len(buffered_answer.body) <= MAX_STORED_BODY_BYTES:
            responder.stored_answer = buffered_answer
        await responder.start(buffered_answer.status, buffered_answer.headers)
        await responder.send_part(buffered_answer.body, is_last=True)

    def _may_retry(
        self, call: Call, error: AttemptFailedError, excluded: set[str], budget: RetryBudget
    ) -> bool:
        if error.is_timeout:
            return False
        if error.may_have_run and not call.is_repeatable:
            return False
        others = [b for b in self._directory.list_ready(call.service) if b.id not in excluded]
        if len(excluded) >= MAX_ATTEMPTS or not others or not budget.try_withdraw():
            return False
        reason = RetryReason.CONNECTION_LOST if error.may_have_run else RetryReason.CONNECT_FAILED
        if isinstance(error, BackendRefusedError):
            reason = RetryReason.BACKEND_REFUSED
        self._metrics.count_retry(reason)
        return True

    def _make_failure(self, error: AttemptFailedError, *, may_have_run: bool) -> DewspindleError:
        if not may_have_run:
            # Also if the backend server refused the call, or no pooled connection became free.
            return CallRefusedError(Refusal.BACKEND_UNREACHABLE, str(error))
        if error.is_timeout:
            return CallFailedError(
                Refusal.DEADLINE_PASSED, str(error), status=504, ran=ExecutionStatus.UNKNOWN
            )
        return CallFailedError(
            Refusal.BACKEND_FAILED, str(error), status=502, ran=ExecutionStatus.UNKNOWN
        )


class BackendRefusedError(AttemptFailedError):
    """A backend server refused a call, stating that it did not run it."""


def _raise_if_refused(status: int, answer_headers: HeaderList) -> None:
    is_refusal = (
        status == 503 and get_header(answer_headers, names.RAN) == ExecutionStatus.NO.value.encode()
    )
    if is_refusal:
        raise BackendRefusedError("the backend server refused the call", may_have_run=False)
