"""Forwarding of a call to one backend server over pooled connections."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from types import TracebackType
from typing import Any

import anyio
import httpcore

from ..schema import settings_pb2
from .directory import Backend
from .headers import HeaderList, copy_end_to_end

KEEPALIVE_S = 4.0
CONNECT_TIMEOUT_S = 1.0
CLOSE_TIMEOUT_S = 1.0
REQUEST_STARTED = "http11.send_request_headers.started"


class AttemptFailedError(Exception):
    """An attempt ended without a complete answer, or the backend server refused the call."""

    def __init__(self, why: str, *, may_have_run: bool, is_timeout: bool = False) -> None:
        super().__init__(why)
        self.may_have_run = may_have_run
        self.is_timeout = is_timeout


class CallerDisconnectedError(Exception):
    """The caller disconnected before its request was complete."""


@dataclass(slots=True)
class BackendRequest:
    """The request sent to a backend server."""

    method: bytes
    target: bytes
    headers: HeaderList
    body: bytes | AsyncIterator[bytes]


@dataclass(slots=True)
class Attempt:
    """One attempt at a call, which tracks whether any byte of the request may have been sent."""

    backend: Backend
    request: BackendRequest
    may_have_run: bool = False

    async def trace(self, event: str, info: dict[str, Any]) -> None:
        """Handle a trace event of the HTTP library."""
        if event == REQUEST_STARTED:
            self.may_have_run = True


class Forwarder:
    """Connection pools, one for each backend server."""

    def __init__(self, settings: settings_pb2.Settings) -> None:
        self._settings = settings
        self._pools: dict[str, tuple[str, httpcore.AsyncConnectionPool]] = {}

    def _get_pool(self, backend: Backend) -> httpcore.AsyncConnectionPool:
        address = backend.document.address
        known = self._pools.get(backend.id)
        if known is not None and known[0] == address:
            return known[1]
        # The announced number is a total over all instances; 0 means no limit.
        limit = backend.document.connections // self._settings.max_instances or None
        pool = httpcore.AsyncConnectionPool(
            max_connections=limit,
            max_keepalive_connections=limit,
            keepalive_expiry=KEEPALIVE_S,
            http1=True,
            http2=False,
            retries=0,
        )
        self._pools[backend.id] = (address, pool)
        return pool

    def open(self, attempt: Attempt, *, timeout_s: float) -> "OpenAnswer":
        """Return a context manager that sends the request and receives the answer's head."""
        backend = attempt.backend
        request = httpcore.Request(
            attempt.request.method,
            httpcore.URL(
                scheme=b"http",
                host=backend.document.address.rpartition(":")[0].encode(),
                port=int(backend.document.address.rpartition(":")[2]),
                target=attempt.request.target,
            ),
            headers=attempt.request.headers,
            content=attempt.request.body,
            extensions={
                "trace": attempt.trace,
                "timeout": {
                    "connect": min(CONNECT_TIMEOUT_S, timeout_s),
                    "pool": timeout_s,
                    "read": timeout_s,
                    "write": timeout_s,
                },
            },
        )
        return OpenAnswer(self._get_pool(backend), request, attempt)

    async def close_pool(self, backend_id: str) -> None:
        """Close the connection pool of a backend server."""
        known = self._pools.pop(backend_id, None)
        if known is not None:
            await known[1].aclose()

    async def close(self) -> None:
        """Close all connections."""
        for backend_id in list(self._pools):
            await self.close_pool(backend_id)


class OpenAnswer:
    """Context manager that sends a request and receives its answer.

    The request is sent on entry, which returns once the head of the answer is received.
    """

    def __init__(
        self, pool: httpcore.AsyncConnectionPool, request: httpcore.Request, attempt: Attempt
    ) -> None:
        self._pool = pool
        self._request = request
        self._attempt = attempt
        self._response: httpcore.Response | None = None

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        assert self._response is not None
        return int(self._response.status)

    @property
    def headers(self) -> HeaderList:
        """Return the end-to-end headers."""
        assert self._response is not None
        return copy_end_to_end(self._response.headers)

    async def __aenter__(self) -> "OpenAnswer":
        try:
            self._response = await self._pool.handle_async_request(self._request)
        except httpcore.TimeoutException as error:
            raise AttemptFailedError(
                f"the request to the backend server timed out: {type(error).__name__}",
                may_have_run=self._attempt.may_have_run,
                is_timeout=True,
            ) from error
        except (httpcore.NetworkError, httpcore.ProtocolError, OSError) as error:
            raise AttemptFailedError(
                f"the request to the backend server failed: {type(error).__name__}: {error}",
                may_have_run=self._attempt.may_have_run,
            ) from error
        return self

    def _prevent_reuse_with_unread_data(self) -> None:
        """Close the connection if it received data beyond the end of the answer.

        The HTTP library would parse that data as the answer to the next request on the connection.
        Its public interface does not expose such data, so its parser is queried directly and the
        connection is marked as failed.
        """
        assert self._response is not None
        stream = getattr(self._response.stream, "_stream", None)
        connection = getattr(stream, "_connection", None)
        parser = getattr(connection, "_h11_state", None)
        if parser is None:
            raise AttemptFailedError(
                "the parser of the HTTP connection is not accessible", may_have_run=True
            )
        unread, _ = parser.trailing_data
        if unread:
            parser.send_failed()

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._response is not None:
            # The HTTP library reuses the connection only if the answer was read completely.
            with anyio.CancelScope(shield=True), anyio.move_on_after(CLOSE_TIMEOUT_S):
                await self._response.aclose()

    async def iterate_body(self) -> AsyncIterator[bytes]:
        """Yield the body; raise `AttemptFailedError` if it is truncated."""
        assert self._response is not None
        try:
            async for chunk in self._response.aiter_stream():
                yield chunk
            self._prevent_reuse_with_unread_data()
        except httpcore.TimeoutException as error:
            raise AttemptFailedError(
                "timed out while reading the body of the answer", may_have_run=True, is_timeout=True
            ) from error
        except (httpcore.NetworkError, httpcore.ProtocolError, OSError) as error:
            raise AttemptFailedError(
                f"the answer was truncated: {error}", may_have_run=True
            ) from error
