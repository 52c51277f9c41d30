"""HTTP interface with which callers submit, read and cancel jobs."""

import math
from typing import Any

from ..exceptions import (
    BodyTooLargeError,
    DewspindleError,
    InvalidDocumentError,
    MalformedBodyError,
    NoLeaderError,
)
from ..jobs.relay import RELAY_TIMEOUT_S, JobRelay
from ..models.enums import JobStatus
from ..schema import peers_pb2
from ..schema.peers_pb2 import JOB_CANCEL, JOB_READ, JOB_SUBMIT
from ..utils.key_digests import compute_key_digest
from ..utils.logs import get_logger
from ..utils.metrics import Metrics
from ..utils.refusals import Refusal
from ..utils.timers import TimerService
from .asgi import ClientDisconnectedError, Receive, Scope, Send, get_header, read_body, send_json
from .job_bodies import STATUS_NAMES, decode_job

# Buffered for one request. The leader applies the limit of the queue table, which it knows.
MAX_BODY_BYTES = 4 * 1024 * 1024
RESPONSE_MARGIN_S = 0.1  # Part of a caller's deadline reserved for sending the response.
MIN_TIMEOUT_S = 0.05
RETRY_AFTER_S = 1  # Approximate duration of an election.

KEY_SCHEME = "token"  # Of the Authorization header, in lower case.

_CALLS_BY_METHOD = {"POST": JOB_SUBMIT, "GET": JOB_READ, "DELETE": JOB_CANCEL}

logger = get_logger(__name__)


def read_key_digest(scope: Scope) -> bytes:
    """Return the digest of the caller's key, empty if it sent none."""
    scheme, _, key = get_header(scope, b"authorization").partition(" ")
    key = key.strip()
    return compute_key_digest(key) if key and scheme.lower() == KEY_SCHEME else b""


class ClientApp:
    """Relays callers' job requests to the leader."""

    def __init__(self, *, relay: JobRelay, timers: TimerService, metrics: Metrics) -> None:
        self._relay = relay
        self._timers = timers
        self._metrics = metrics

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request."""
        if scope["type"] != "http":
            return
        started_at = self._timers.now()
        call = _CALLS_BY_METHOD.get(scope["method"])
        if call is None:
            await send_json(send, 405, {"error": "method-not-allowed"})
            return
        try:
            request = await self._make_request(call, scope, receive)
        except ClientDisconnectedError:
            return
        except (BodyTooLargeError, InvalidDocumentError, MalformedBodyError) as error:
            logger.info("request refused", path=scope["path"], code=error.code, why=error.detail)
            status = 413 if isinstance(error, BodyTooLargeError) else 400
            await send_json(send, status, {"error": error.code, "detail": error.detail})
            return
        await self._relay_request(request, scope, send)
        name = peers_pb2.JobCall.Name(call)
        self._metrics.record(
            "dewspindle_request_seconds", self._timers.now() - started_at, call=name
        )

    async def _make_request(
        self, call: peers_pb2.JobCall.ValueType, scope: Scope, receive: Receive
    ) -> peers_pb2.JobRequest:
        body = await read_body(receive, max_bytes=MAX_BODY_BYTES)
        request = peers_pb2.JobRequest(
            call=call,
            host=get_header(scope, b"host").partition(":")[0],
            path=scope["path"],
            key_digest=read_key_digest(scope),
        )
        if call == JOB_SUBMIT:
            request.body_bytes = len(body)
            request.spec.CopyFrom(decode_job(body))
        return request

    async def _relay_request(self, request: peers_pb2.JobRequest, scope: Scope, send: Send) -> None:
        try:
            answer = await self._relay.send(request, timeout_s=self._get_timeout(scope))
        except NoLeaderError as error:
            await self._send_unavailable(request, error, send)
            return
        except DewspindleError as error:
            if request.call == JOB_READ:
                await self._send_unavailable(request, error, send)
                return
            self._log_refusal(request, status=504, code=error.code, why=error.detail)
            await send_json(send, 504, {"error": error.code})
            return
        await self._send_response(request, answer, send)

    async def _send_unavailable(
        self, request: peers_pb2.JobRequest, error: DewspindleError, send: Send
    ) -> None:
        """Send status 503 for a request without effect: one that reached no leader, or a read."""
        self._metrics.count_refusal(Refusal.NO_LEADER)
        self._log_refusal(request, status=503, code=error.code, why=error.detail)
        await send_json(
            send, 503, {"error": error.code}, headers={"retry-after": str(RETRY_AFTER_S)}
        )

    def _get_timeout(self, scope: Scope) -> float:
        # Despite its name, the header holds the remaining time, not a point in time.
        text = get_header(scope, b"x-dewspindle-deadline-ms")
        if not text.isascii() or not text.isdigit():
            return RELAY_TIMEOUT_S
        timeout_s = int(text) / 1000 - RESPONSE_MARGIN_S
        return max(MIN_TIMEOUT_S, min(timeout_s, RELAY_TIMEOUT_S))

    async def _send_response(
        self, request: peers_pb2.JobRequest, answer: peers_pb2.JobAnswer, send: Send
    ) -> None:
        headers: dict[str, str] = {}
        body: dict[str, Any] = {}
        if answer.retry_after_ms:
            headers["retry-after"] = str(math.ceil(answer.retry_after_ms / 1000))
        if answer.counted:
            # Length of the queue; "pending" is also a name of a job state.
            body["pending"] = answer.waiting
        elif answer.state:
            body["state"] = STATUS_NAMES[JobStatus(answer.state)]
        if answer.code:
            body["error"] = answer.code
            self._log_refusal(
                request, status=answer.status, code=answer.code, why="refused by the leader"
            )
        await send_json(send, answer.status, body, headers=headers)

    def _log_refusal(
        self, request: peers_pb2.JobRequest, *, status: int, code: str, why: str
    ) -> None:
        logger.info(
            "request refused",
            path=request.path,
            call=peers_pb2.JobCall.Name(request.call),
            status=status,
            code=code,
            why=why,
        )
