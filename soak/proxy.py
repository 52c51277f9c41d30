"""A loopback proxy that delays, resets, cuts one way and silences connections."""

import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

import anyio
from anyio.abc import SocketStream, TaskGroup

CHUNK = 64 * 1024
RESET = struct.pack("ii", 1, 0)  # Linger for no time, so that closing sends a reset.


@dataclass
class Link:
    """What a proxy does to the bytes that go through it."""

    delay_s: float = 0.0
    drops_requests: bool = False
    drops_answers: bool = False
    is_refused: bool = False  # Connections are reset as they come.


class Proxy:
    """Listens on an address of its own and forwards to a target."""

    def __init__(self, target: Callable[[], str]) -> None:
        self.link = Link()
        self._target = target
        self._streams: set[SocketStream] = set()
        self._socket = socket.socket()
        self._socket.bind(("127.0.0.1", 0))
        self._socket.listen(1024)
        self._socket.setblocking(False)
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"

    async def run(self, group: TaskGroup) -> None:
        """Serve until cancelled."""
        listener = await anyio.abc.SocketListener.from_socket(self._socket)
        await listener.serve(self._carry, task_group=group)

    async def _carry(self, near: SocketStream) -> None:
        if self.link.is_refused:
            await self._abort(near)
            return
        host, _, port = self._target().rpartition(":")
        try:
            far = await anyio.connect_tcp(host, int(port))
        except OSError:
            await self._abort(near)
            return
        self._streams |= {near, far}
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._pump, near, far, True)
                group.start_soon(self._pump, far, near, False)
        finally:
            self._streams -= {near, far}
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(near)
                await anyio.aclose_forcefully(far)

    async def _pump(self, source: SocketStream, sink: SocketStream, is_request: bool) -> None:
        try:
            while True:
                data = await source.receive(CHUNK)
                if self.link.delay_s:
                    await anyio.sleep(self.link.delay_s)
                if self.link.drops_requests if is_request else self.link.drops_answers:
                    continue
                await sink.send(data)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            # Either end has gone, so the other one is told.
            await anyio.aclose_forcefully(source)
            await anyio.aclose_forcefully(sink)

    async def reset(self) -> None:
        """Reset every open connection."""
        for stream in list(self._streams):
            await self._abort(stream)

    async def _abort(self, stream: SocketStream) -> None:
        raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        # The other direction may have closed it by now.
        with suppress(OSError):
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        await anyio.aclose_forcefully(stream)

    async def heal(self) -> None:
        """Let everything pass again; connections that lost bytes are reset."""
        lost_bytes = self.link.drops_requests or self.link.drops_answers
        self.link = Link()
        if lost_bytes:
            await self.reset()
