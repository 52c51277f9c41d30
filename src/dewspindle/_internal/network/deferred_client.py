"""JSON client whose HTTP library is imported after the start of the program."""

from collections.abc import Callable, Sequence
from typing import Any

import anyio

from ..utils.imports import import_in_steps
from .json_sender import JsonResponse, JsonSender

MakeClient = Callable[[Any], JsonSender]  # Takes the imported module.


class DeferredJsonClient:
    """Sends JSON with a client of another module.

    The library takes up to a third of the time to start, which callers wait for after a power loss.
    """

    def __init__(self, module: str, *, libraries: Sequence[str], make_client: MakeClient) -> None:
        self._module = module
        self._libraries = libraries
        self._make_client = make_client
        self._client: JsonSender | None = None
        self._lock = anyio.Lock()

    async def load(self) -> JsonSender:
        """Import the library unless that is done, and return the client."""
        async with self._lock:
            if self._client is None:
                module = await import_in_steps(self._module, __package__, libraries=self._libraries)
                self._client = self._make_client(module)
            return self._client

    async def post(
        self, address: str, path: str, *, body: Any, headers: dict[str, str], timeout_s: float
    ) -> JsonResponse:
        """Send a request; raise `ServerUnreachableError` or `TimeoutError`."""
        client = self._client or await self.load()
        return await client.post(address, path, body=body, headers=headers, timeout_s=timeout_s)

    async def close(self) -> None:
        """Close all connections."""
        if self._client is not None:
            await self._client.close()
