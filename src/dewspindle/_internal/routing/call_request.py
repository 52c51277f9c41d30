"""Callers' requests as they come in."""

from collections.abc import AsyncIterator, Awaitable, Callable, MutableMapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import unquote

from ..exceptions import MissingHeaderError
from . import headers as names
from .forwarding import CallerGoneError
from .headers import HeaderList, get_header

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]

CALL_PATH_PREFIX = "/call/"
BUFFER_BYTES = 256 * 1024  # Of a request or an answer that is held whole.
REPEATABLE_METHODS = frozenset((b"GET", b"HEAD"))


@dataclass(slots=True)
class Call:
    """One caller's request."""

    service: str
    target: bytes
    method: bytes
    headers: HeaderList
    caller: str
    key: str
    is_repeatable: bool
    deadline: float


class CallBody:
    """A request's body: held whole where it is small, streamed once where it is not."""

    def __init__(self, receive: Receive) -> None:
        self._receive = receive
        self._held = b""
        self._has_more = True

    @property
    def is_whole(self) -> bool:
        """Tell whether the body is held, so that it can be sent again."""
        return not self._has_more

    @property
    def held(self) -> bytes:
        """Return what is held."""
        return self._held

    async def read(self) -> None:
        """Hold the body, or as much of it as may be held."""
        parts = []
        size = 0
        while self._has_more and size <= BUFFER_BYTES:
            part = await self._receive_part()
            parts.append(part)
            size += len(part)
        self._held = b"".join(parts)

    async def _receive_part(self) -> bytes:
        message = await self._receive()
        if message["type"] == "http.disconnect":
            raise CallerGoneError("the caller is gone")
        self._has_more = bool(message.get("more_body", False))
        return bytes(message.get("body", b""))

    async def stream(self) -> AsyncIterator[bytes]:
        """Yield the whole body; possible once."""
        yield self._held
        while self._has_more:
            yield await self._receive_part()


def parse_call(scope: Scope, *, now: float, longest_s: float) -> Call:
    """Parse a caller's request; raise `MissingHeaderError` naming what is wrong."""
    raw_path = bytes(scope.get("raw_path") or scope["path"].encode())
    service, _, path = raw_path.decode("latin-1").removeprefix(CALL_PATH_PREFIX).partition("/")
    if not service:
        raise MissingHeaderError("the path names no service", hint="use /call/SERVICE/PATH")
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
        deadline=now + _parse_timeout_s(headers, longest_s),
    )


def _parse_timeout_s(headers: HeaderList, longest_s: float) -> float:
    value = get_header(headers, names.TIMEOUT)
    if value is None:
        return longest_s
    if not value.isdigit() or int(value) == 0:
        raise MissingHeaderError("Dewspindle-Timeout-Ms is not a positive whole number")
    return min(longest_s, int(value) / 1000)


def _parse_repeatable(headers: HeaderList, method: bytes) -> bool:
    value = get_header(headers, names.REPEATABLE)
    if value is None:
        return method in REPEATABLE_METHODS
    if value.lower() not in (b"yes", b"no"):
        raise MissingHeaderError("Dewspindle-Repeatable is neither yes nor no")
    return value.lower() == b"yes"
