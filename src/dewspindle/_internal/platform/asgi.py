"""Helpers for ASGI applications that run without a framework."""

import json
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

from ..exceptions import BodyTooLargeError

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]


class ClientDisconnectedError(Exception):
    """The client disconnected before its request body was complete."""


async def read_body(receive: Receive, *, max_bytes: int) -> bytes:
    """Return the request body; raise `BodyTooLargeError` or `ClientDisconnectedError`."""
    parts: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise ClientDisconnectedError
        part = message.get("body", b"")
        size += len(part)
        if size > max_bytes:
            raise BodyTooLargeError(f"the request body exceeds {max_bytes} bytes")
        parts.append(part)
        if not message.get("more_body", False):
            return b"".join(parts)


async def send_json(
    send: Send, status: int, body: Any = None, *, headers: dict[str, str] | None = None
) -> None:
    """Send a response with a JSON body."""
    await send_bytes(
        send, status, json.dumps(body if body is not None else {}).encode(), headers=headers
    )


async def send_bytes(
    send: Send,
    status: int,
    content: bytes,
    *,
    content_type: str = "application/json",
    headers: dict[str, str] | None = None,
) -> None:
    """Send a response."""
    fields = {
        "content-type": content_type,
        "content-length": str(len(content)),
        **(headers or {}),
    }
    raw = [(name.encode(), value.encode()) for name, value in fields.items()]
    await send({"type": "http.response.start", "status": status, "headers": raw})
    await send({"type": "http.response.body", "body": content})


def get_header(scope: Scope, name: bytes) -> str:
    """Return the header with the given lowercase name, or an empty string."""
    for key, value in scope["headers"]:
        if key == name:
            return str(value.decode("latin-1"))
    return ""
