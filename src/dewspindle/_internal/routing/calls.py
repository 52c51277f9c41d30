"""Entry point of calls: admission, claims of idempotency keys, forwarding and answers."""

from ..cell.view import CellView
from ..exceptions import BodyTooLargeError, DewspindleError
from ..http.problems import send_problem
from ..models.enums import ExecutionStatus
from ..schema import cell_pb2, settings_pb2
from ..utils.metrics import Metrics
from ..utils.refusals import Refusal
from ..utils.timers import Signal, TimerService
from . import headers as names
from .attempts import CallAttempts
from .call_request import MAX_BUFFERED_BYTES, Call, CallBody, Receive, Scope, parse_call
from .claims import Claims, ClaimTicket, make_digest
from .forwarding import CallerDisconnectedError
from .limits import CallLimits
from .responder import CallFailedError, Responder, Send
from .shares import CallRefusedError


class CallRouter:
    """ASGI application for `/call/{service}/{path}`."""

    def __init__(
        self,
        *,
        settings: settings_pb2.Settings,
        view: CellView,
        claims: Claims,
        limits: CallLimits,
        attempts: CallAttempts,
        timers: TimerService,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._view = view
        self._claims = claims
        self._limits = limits
        self._attempts = attempts
        self._timers = timers
        self._metrics = metrics
        self._open_calls = 0
        self._is_closing = False
        self._is_refusing = False
        self._ended = Signal()

    @property
    def open_calls(self) -> int:
        """Return how many calls are in progress."""
        return self._open_calls

    @property
    def ended(self) -> Signal:
        """Return the signal that is set when a call ends."""
        return self._ended

    def begin_closing(self) -> None:
        """Answer all further calls with `Connection: close`."""
        self._is_closing = True

    def begin_refusing(self) -> None:
        """Refuse all further calls."""
        self._is_refusing = True

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one call."""
        self._open_calls += 1
        started_at = self._timers.now()
        responder = Responder(send=send, is_closing=self._is_closing)
        try:
            await self._serve(scope, receive, responder)
        except CallRefusedError as error:
            self._metrics.count_refusal(error.refusal)
            await self._refuse(
                responder, error, ExecutionStatus.NO, retry_after_s=error.retry_after_s
            )
        except CallFailedError as error:
            self._metrics.count_refusal(error.refusal)
            await self._refuse(responder, error, error.ran)
        except CallerDisconnectedError:
            self._metrics.count("dewspindle_callers_gone")
        except DewspindleError as error:
            await self._refuse(responder, error, ExecutionStatus.NO)
        finally:
            self._open_calls -= 1
            self._metrics.record("dewspindle_call_s", self._timers.now() - started_at)
            self._ended.set()

    async def _refuse(
        self,
        responder: Responder,
        error: DewspindleError,
        ran: ExecutionStatus,
        *,
        retry_after_s: int | None = None,
    ) -> None:
        if responder.is_started:
            # Ending the task before the answer is complete closes the connection, so the caller
            # detects that the answer is truncated.
            raise error
        extra = [(names.RAN, ran.value.encode())]
        if retry_after_s is not None:
            extra.append((b"retry-after", str(retry_after_s).encode()))
        if responder.is_closing:
            extra.append((b"connection", b"close"))
        await send_problem(responder.send, error, extra_headers=extra)

    async def _serve(self, scope: Scope, receive: Receive, responder: Responder) -> None:
        call = parse_call(
            scope,
            now=self._timers.now(),
            max_timeout_s=self._settings.call_timeout_ms / 1000,
        )
        self._check_accepting()
        with self._limits.admit(caller=call.caller, service=call.service):
            body = await self._read_body(call, receive)
            ticket = await self._claim(call, body)
            if ticket is not None and ticket.existing is not None:
                await self._answer_from_claim(call, ticket.existing, responder)
                return
            await self._run_call(call, body, responder, ticket)

    def _check_accepting(self) -> None:
        if self._is_refusing:
            raise CallRefusedError(Refusal.DRAINING, "this instance is shutting down")
        if not self._view.is_fresh:
            raise CallRefusedError(
                Refusal.FENCED, "this instance has received no fresh revision within fence_after_ms"
            )

    async def _read_body(self, call: Call, receive: Receive) -> CallBody:
        body = CallBody(receive)
        try:
            with self._timers.fail_after(call.deadline - self._timers.now()):
                await body.read()
        except TimeoutError:
            raise CallRefusedError(
                Refusal.DEADLINE_PASSED, "the request body was not received before the deadline"
            ) from None
        return body

    async def _claim(self, call: Call, body: CallBody) -> ClaimTicket | None:
        """Claim the idempotency key of a call that is not repeatable."""
        if call.is_repeatable or not call.key:
            return None
        if not body.is_fully_buffered:
            raise BodyTooLargeError(
                f"the body of a call with an idempotency key may have at most {MAX_BUFFERED_BYTES} "
                "bytes if the call is not repeatable"
            )
        digest = make_digest(call.method, call.service.encode() + call.target, body.buffered)
        return await self._claims.claim(
            f"{call.service}:{call.key}", digest, deadline=call.deadline
        )

    async def _answer_from_claim(
        self, call: Call, existing: cell_pb2.CallClaim, responder: Responder
    ) -> None:
        claim: cell_pb2.CallClaim | None = existing
        if not existing.done:
            latest_end_ms = existing.at_ms + self._settings.call_timeout_ms
            remaining_s = max(0.0, (latest_end_ms - self._timers.wall_ms()) / 1000)
            deadline = min(call.deadline, self._timers.now() + remaining_s)
            claim = await self._claims.wait_for_outcome(existing.key, deadline=deadline)
        if claim is None or claim.ran != ExecutionStatus.YES.value:
            raise CallFailedError(
                Refusal.OUTCOME_UNKNOWN,
                "an earlier request with this idempotency key was sent; it is still running or its "
                "outcome is unknown",
                status=409,
                ran=ExecutionStatus.UNKNOWN,
            )
        if not claim.status:
            raise CallFailedError(
                Refusal.OUTCOME_UNKNOWN,
                "an earlier request with this idempotency key ran; its answer was too large "
                "to be stored",
                status=409,
                ran=ExecutionStatus.YES,
            )
        await responder.start(claim.status, [(h.name, h.value) for h in claim.headers])
        await responder.send_part(claim.body, is_last=True)

    async def _run_call(
        self, call: Call, body: CallBody, responder: Responder, ticket: ClaimTicket | None
    ) -> None:
        """Run a call; if it has a claim, queue the outcome for commit in every case."""
        if ticket is None:
            await self._attempts.run(call, body, responder)
            return
        ran = ExecutionStatus.UNKNOWN
        try:
            await self._attempts.run(call, body, responder)
            ran = ExecutionStatus.YES
        except CallRefusedError:
            ran = ExecutionStatus.NO
            raise
        except CallFailedError as error:
            ran = error.ran
            raise
        finally:
            self._claims.finish(
                f"{call.service}:{call.key}",
                holder=ticket.holder,
                ran=ran,
                answer=responder.stored_answer,
            )


async def drain_calls(router: CallRouter, *, timers: TimerService, timeout_s: float) -> bool:
    """Wait until no call is in progress; return whether that was so before the timeout."""
    try:
        with timers.fail_after(timeout_s):
            while router.open_calls:
                await router.ended.event.wait()
    except TimeoutError:
        return False
    return True
