"""Client of HTTP interfaces, for the command line, entry instances and the stand-ins."""

import json
from typing import Any

import anyio
import httpcore

from ..exceptions import ServerUnreachableError
from .json_sender import JsonResponse, make_response


class JsonClient:
    """Sends JSON requests to one address of an instance."""

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
    ) -> JsonResponse:
        """Send a request; raise `ServerUnreachableError` if no complete response arrives."""
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
        return make_response(
            self._base,
            status=response.status,
            headers=((name.decode(), value.decode()) for name, value in response.headers),
            content=response.content,
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()


class AddressedJsonClient:
    """Sends JSON to any address, with a client for each; for few addresses and rare calls."""

    def __init__(self) -> None:
        self._clients: dict[str, JsonClient] = {}

    async def post(
        self, address: str, path: str, *, body: Any, headers: dict[str, str], timeout_s: float
    ) -> JsonResponse:
        """Send a request; raise `ServerUnreachableError` or `TimeoutError`."""
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = JsonClient(address)
        with anyio.fail_after(timeout_s):
            return await client.request(
                "POST", path, body=body, headers=headers, timeout_s=timeout_s
            )

    async def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            await client.close()
