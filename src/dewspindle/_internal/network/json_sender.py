"""What the clients of HTTP interfaces have in common."""

from dataclasses import dataclass
from typing import Any, Protocol


@dataclass(frozen=True, slots=True)
class JsonAnswer:
    """Status, headers and JSON body of an answer."""

    status: int
    headers: dict[str, str]
    body: Any


class JsonSender(Protocol):
    """Sends JSON to any address."""

    async def post(
        self, address: str, path: str, *, body: Any, headers: dict[str, str], timeout_s: float
    ) -> JsonAnswer:
        """Send a request; raise `ServerUnreachableError` or `TimeoutError`."""

    async def close(self) -> None:
        """Close all connections."""
