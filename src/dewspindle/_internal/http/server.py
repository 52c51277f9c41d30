"""HTTP servers."""

import contextlib
import socket
from collections.abc import Iterator
from typing import Any

import anyio
import uvicorn

from ..exceptions import InvalidSettingError
from ..utils.addresses import parse_address

BACKLOG = 2048
KEEPALIVE_TIMEOUT_S = 60
STOP_TIMEOUT_S = 5


class _UvicornServer(uvicorn.Server):
    """Uvicorn server that leaves signal handling to the instance."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


def bind(address_text: str) -> socket.socket:
    """Return a bound socket; raise `InvalidSettingError` if the address is unavailable."""
    address = parse_address(address_text)
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    # asyncio sets TCP_NODELAY on accepted sockets only if the protocol is IPPROTO_TCP.
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((address.host, address.port))
    except OSError as error:
        listener.close()
        raise InvalidSettingError(
            f"cannot listen on {address}: {error.strerror}",
            hint="choose a local address that no other process uses",
        ) from None
    listener.setblocking(False)
    return listener


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
