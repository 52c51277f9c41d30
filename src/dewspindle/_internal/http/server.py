"""HTTP servers."""

import contextlib
from collections.abc import Iterator
from typing import Any

import anyio
import uvicorn

from ..utils.listeners import BACKLOG, bind

KEEPALIVE_TIMEOUT_S = 60
STOP_TIMEOUT_S = 5


class _UvicornServer(uvicorn.Server):
    """Uvicorn server that leaves signal handling to the instance."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


class HttpServer:
    """Serves one application on one address."""

    def __init__(self, app: Any, *, address: str) -> None:
        self._socket = bind(address)
        self._stopped = anyio.Event()
        self._server = _UvicornServer(
            uvicorn.Config(
                app,
                http="httptools",
                loop="asyncio",
                lifespan="off",
                access_log=False,
                log_config=None,
                backlog=BACKLOG,
                timeout_keep_alive=KEEPALIVE_TIMEOUT_S,
                timeout_graceful_shutdown=STOP_TIMEOUT_S,
                server_header=False,
                date_header=False,
                ws="none",
            )
        )

    @property
    def stopped(self) -> anyio.Event:
        """Return the event that is set when the server has stopped."""
        return self._stopped

    async def run(self) -> None:
        """Serve until `stop` is called."""
        try:
            await self._server.serve(sockets=[self._socket])
        finally:
            self._stopped.set()

    def stop(self) -> None:
        """Stop accepting connections and exit when open requests are complete."""
        self._server.should_exit = True
