"""What the clients of HTTP interfaces have in common."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Protocol

from ..exceptions import ServerUnreachableError


@dataclass(frozen=True, slots=True)
class JsonResponse:
    """Status, headers and JSON body of an answer."""

    status: int
    headers: dict[str, str]
    body: Any


def make_response(
    server: str, *, status: int, headers: Iterable[tuple[str, str]], content: bytes
) -> JsonResponse:
    """Return an answer; raise `ServerUnreachableError` where it says JSON and is none."""
    names = {name.lower(): value for name, value in headers}
    is_json = "json" in names.get("content-type", "")
    try:
        value = json.loads(content) if is_json else content
    except ValueError as error:
        raise ServerUnreachableError(f"{server}: the answer is not JSON") from error
    return JsonResponse(status=status, headers=names, body=value)


class JsonSender(Protocol):
    """Sends JSON to any address."""

    async def post(
        self, address: str, path: str, *, body: Any, headers: dict[str, str], timeout_s: float
    ) -> JsonResponse:
        """Send a request; raise `ServerUnreachableError` or `TimeoutError`."""

    async def close(self) -> None:
        """Close all connections."""
