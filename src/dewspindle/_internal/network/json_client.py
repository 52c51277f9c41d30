"""Client of the HTTP interfaces, for the command line and the stand-ins."""

import json
from dataclasses import dataclass
from typing import Any

import httpcore

from ..exceptions import ServerUnreachableError


@dataclass(frozen=True, slots=True)
class JsonAnswer:
    """Status, headers and JSON body of an answer."""

    status: int
    headers: dict[str, str]
    body: Any


class JsonClient:
    """Sends JSON to one address of an instance."""

    def __init__(self, address: str, *, token: str = "", max_connections: int = 10) -> None:
        self._base = f"http://{address}"
        self._headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._pool = httpcore.AsyncConnectionPool(max_connections=max_connections)

    async def request(
        self,
        method: str,
        path: str,
        *,
        body: Any = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 30.0,
    ) -> JsonAnswer:
        """Send a request; raise `ServerUnreachableError` where nothing whole came back."""
        content = b"" if body is None else json.dumps(body).encode()
        timeouts = {"connect": 5.0, "read": timeout_s, "write": timeout_s, "pool": timeout_s}
        try:
            response = await self._pool.request(
                method,
                f"{self._base}{path}",
                headers=list({**self._headers, **(headers or {})}.items()),
                content=content,
                extensions={"timeout": timeouts},
            )
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
            raise ServerUnreachableError(f"{self._base}: {error or type(error).__name__}") from None
        names = {k.decode().lower(): v.decode() for k, v in response.headers}
        is_json = "json" in names.get("content-type", "")
        try:
            value = json.loads(response.content) if is_json else response.content
        except ValueError as error:
            raise ServerUnreachableError(f"{self._base}: the answer is not JSON") from error
        return JsonAnswer(status=response.status, headers=names, body=value)

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()
