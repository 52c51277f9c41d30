"""Parsing and buffering of callers' requests."""

from collections.abc import AsyncIterator, Awaitable, Callable, MutableMapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import unquote

from ..exceptions import InvalidRequestError
from . import headers as names
from .forwarding import CallerDisconnectedError
from .headers import HeaderList, get_header

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]

CALL_PATH_PREFIX = "/call/"
MAX_BUFFERED_BYTES = 256 * 1024  # For a request or answer body.
REPEATABLE_METHODS = frozenset((b"GET", b"HEAD"))  # Unless a header tells otherwise.


@dataclass(slots=True)
class Call:
    """A parsed request of a caller."""

    service: str
    target: bytes  # Path and query sent to the backend server.
    method: bytes
    headers: HeaderList
    caller: str  # Dewspindle-Caller, or else the IP address of the client.
    key: str  # Idempotency-Key, or empty.
    is_repeatable: bool
    deadline: float


class CallBody:
    """A request body: buffered if it is small, otherwise streamed once."""

    def __init__(self, receive: Receive) -> None:
        self._receive = receive
        self._buffered = b""
        self._has_more = True

    @property
    def is_fully_buffered(self) -> bool:
        """Return whether the whole body is buffered, so that it can be sent again."""
        return not self._has_more

    @property
    def buffered(self) -> bytes:
        """Return the buffered part of the body."""
        return self._buffered

    async def read(self) -> None:
        """Buffer the body, up to the first part that exceeds the limit."""
        parts = []
        size = 0
        while self._has_more and size <= MAX_BUFFERED_BYTES:
            part = await self._receive_part()
            parts.append(part)
            size += len(part)
        self._buffered = b"".join(parts)

    async def _receive_part(self) -> bytes:
        message = await self._receive()
        if message["type"] == "http.disconnect":
            raise CallerDisconnectedError("the caller disconnected before the request was complete")
        self._has_more = bool(message.get("more_body", False))
        return bytes(message.get("body", b""))

    async def stream(self) -> AsyncIterator[bytes]:
        """Yield the whole body; may be called once only."""
        yield self._buffered
        while self._has_more:
            yield await self._receive_part()


def parse_call(scope: Scope, *, now: float, max_timeout_s: float) -> Call:
    """Parse a caller's request; raise `InvalidRequestError` if it is invalid."""
    raw_path = bytes(scope.get("raw_path") or scope["path"].encode())
    service, _, path = raw_path.decode("latin-1").removeprefix(CALL_PATH_PREFIX).partition("/")
    if not service:
        raise InvalidRequestError(
            "the path contains no service name", hint="use /call/SERVICE/PATH"
        )
    target = b"/" + path.encode("latin-1")
    if scope["query_string"]:
        target += b"?" + scope["query_string"]
    headers: HeaderList = list(scope["headers"])
    method = scope["method"].encode()
    client = scope.get("client")
    caller = get_header(headers, names.CALLER)
    return Call(
        service=unquote(service),
        target=target,
        method=method,
        headers=headers,
        caller=caller.decode("latin-1") if caller else (client[0] if client else ""),
        key=(get_header(headers, names.IDEMPOTENCY_KEY) or b"").decode("latin-1"),
        is_repeatable=_parse_repeatable(headers, method),
        deadline=now + _parse_timeout_s(headers, max_timeout_s),
    )


def _parse_timeout_s(headers: HeaderList, max_timeout_s: float) -> float:
    value = get_header(headers, names.TIMEOUT)
    if value is None:
        return max_timeout_s
    if not value.isdigit() or int(value) == 0:
        raise InvalidRequestError("Dewspindle-Timeout-Ms is not a positive integer")
    return min(max_timeout_s, int(value) / 1000)


def _parse_repeatable(headers: HeaderList, method: bytes) -> bool:
    value = get_header(headers, names.REPEATABLE)
    if value is None:
        return method in REPEATABLE_METHODS
    if value.lower() not in (b"yes", b"no"):
        raise InvalidRequestError("Dewspindle-Repeatable is neither yes nor no")
    return value.lower() == b"yes"
