"""A proxy on a loopback address that loses what passes in one direction."""

import asyncio
import contextlib


class Proxy:
    """Forwards connections from its own address to a target.

    While answers are lost, open connections still carry requests to the target, but nothing comes
    back on them. New connections carry nothing, as their handshake can't be completed. While
    requests are lost, nothing reaches the target.
    """

    def __init__(self, target: str) -> None:
        self.loses_answers = False
        self.loses_requests = False
        self.address = ""
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def close(self) -> None:
        """Close the address and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        is_dead = self.loses_answers or self.loses_requests
        self._writers.add(writer)
        target_writer: asyncio.StreamWriter | None = None
        try:
            if is_dead:
                while await reader.read(65536):
                    pass
                return
            host, _, port = self._target.partition(":")
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
            self._writers.add(target_writer)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, target_writer, is_answer=False))
                group.create_task(self._pump(target_reader, writer, is_answer=True))
        except* OSError:
            pass
        finally:
            for each in (writer, target_writer):
                if each is not None:
                    self._writers.discard(each)
                    each.transport.abort()

    async def _pump(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, *, is_answer: bool
    ) -> None:
        while data := await source.read(65536):
            if self.loses_answers if is_answer else self.loses_requests:
                continue
            sink.write(data)
            await sink.drain()
        with contextlib.suppress(OSError):
            sink.write_eof()
