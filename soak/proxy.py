"""Loopback proxy that delays and resets connections and drops traffic in either direction."""

import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

import anyio
from anyio.abc import SocketStream, TaskGroup

CHUNK_BYTES = 64 * 1024
ZERO_LINGER = struct.pack("ii", 1, 0)  # `struct linger`: closing the socket sends a reset.


@dataclass
class LinkState:
    """Faults that a proxy applies to its connections."""

    delay_s: float = 0.0
    drops_requests: bool = False
    drops_answers: bool = False
    refuses_connections: bool = False  # New connections are reset.


class Proxy:
    """Forwards connections from its own address to a target."""

    def __init__(self, target: Callable[[], str]) -> None:
        self.link = LinkState()
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
        await listener.serve(self._forward_connection, task_group=group)

    async def _forward_connection(self, downstream: SocketStream) -> None:
        if self.link.refuses_connections:
            await self._abort(downstream)
            return
        host, _, port = self._target().rpartition(":")
        try:
            upstream = await anyio.connect_tcp(host, int(port))
        except OSError:
            await self._abort(downstream)
            return
        self._streams |= {downstream, upstream}
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._forward_bytes, downstream, upstream, True)
                group.start_soon(self._forward_bytes, upstream, downstream, False)
        finally:
            self._streams -= {downstream, upstream}
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(downstream)
                await anyio.aclose_forcefully(upstream)

    async def _forward_bytes(
        self, source: SocketStream, sink: SocketStream, is_request: bool
    ) -> None:
        try:
            while True:
                data = await source.receive(CHUNK_BYTES)
                if self.link.delay_s:
                    await anyio.sleep(self.link.delay_s)
                if self.link.drops_requests if is_request else self.link.drops_answers:
                    continue
                await sink.send(data)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            # One end has closed, so close the other end, too.
            await anyio.aclose_forcefully(source)
            await anyio.aclose_forcefully(sink)

    async def reset(self) -> None:
        """Reset every open connection."""
        for stream in list(self._streams):
            await self._abort(stream)

    async def _abort(self, stream: SocketStream) -> None:
        raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        # The other direction may already have closed the socket.
        with suppress(OSError):
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
        await anyio.aclose_forcefully(stream)

    async def restore(self) -> None:
        """Clear all faults; reset the connections if bytes may have been dropped."""
        has_dropped_bytes = self.link.drops_requests or self.link.drops_answers
        self.link = LinkState()
        if has_dropped_bytes:
            await self.reset()
