"""Types shared by the clients of HTTP interfaces."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Protocol

from ..exceptions import ServerUnreachableError


@dataclass(frozen=True, slots=True)
class JsonResponse:
    """Status, headers and body of a response; JSON is decoded."""

    status: int
    headers: dict[str, str]
    body: Any


def make_response(
    server: str, *, status: int, headers: Iterable[tuple[str, str]], content: bytes
) -> JsonResponse:
    """Return a decoded response; raise `ServerUnreachableError` if its JSON is invalid."""
    lowercase_headers = {name.lower(): value for name, value in headers}
    is_json = "json" in lowercase_headers.get("content-type", "")
    try:
        value = json.loads(content) if is_json else content
    except (ValueError, RecursionError) as error:
        raise ServerUnreachableError(f"{server}: the response is not valid JSON") from error
    return JsonResponse(status=status, headers=lowercase_headers, body=value)


class JsonSender(Protocol):
    """Sends JSON to any address."""

    async def post(
        self, address: str, path: str, *, body: Any, headers: dict[str, str], timeout_s: float
    ) -> JsonResponse:
        """Send a request; raise `ServerUnreachableError` or `TimeoutError`."""

    async def close(self) -> None:
        """Close all connections."""
