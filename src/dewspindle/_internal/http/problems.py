"""Problem responses (RFC 9457)."""

import json
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

from ..exceptions import DewspindleError, InvalidDocumentError

MEDIA_TYPE = "application/problem+json"

Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]


def make_problem(error: DewspindleError) -> dict[str, Any]:
    """Return the members of a problem object."""
    problem: dict[str, Any] = {
        "type": f"urn:dewspindle:problem:{error.code}",
        "title": error.code.replace("-", " "),
        "status": error.status,
        "code": error.code,
        "detail": error.detail,
    }
    if error.hint:
        problem["hint"] = error.hint
    if isinstance(error, InvalidDocumentError) and error.field:
        problem["field"] = error.field
    return problem


async def send_problem(
    send: Send, error: DewspindleError, *, extra_headers: list[tuple[bytes, bytes]] | None = None
) -> None:
    """Send a problem response over ASGI."""
    await send_value(
        send, error.status, make_problem(error), media_type=MEDIA_TYPE, extra_headers=extra_headers
    )


async def send_value(
    send: Send,
    status: int,
    value: Any,
    *,
    media_type: str = "application/json",
    extra_headers: list[tuple[bytes, bytes]] | None = None,
) -> None:
    """Send a response with a JSON body over ASGI."""
    body = json.dumps(value).encode()
    headers = [
        (b"content-type", media_type.encode()),
        (b"content-length", str(len(body)).encode()),
        *(extra_headers or []),
    ]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
