"""Backend server on a raw socket that injects faults and counts the calls that it runs."""

import asyncio
from collections import Counter

RESPONSE_BODY = b'{"ok": true, "path": "%s"}'


class FaultyBackend:
    """HTTP/1.1 server that injects a fault into its next calls and counts calls by their path.

    A call counts as run from the receipt of its whole request, whatever becomes of the response.
    """

    def __init__(self) -> None:
        self.run_counts: Counter[str] = Counter()
        self.in_flight = 0
        self.most_in_flight = 0
        self.fault = ""
        self.faults_left = 0
        self.response_gate: asyncio.Event | None = None
        self.call_arrived = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def stop(self) -> None:
        assert self._server is not None
        self._server.close()
        for task in list(self._tasks):
            task.cancel()

    def inject_fault(self, fault: str, *, times: int = 1) -> None:
        self.fault = fault
        self.faults_left = times

    def _take_fault(self) -> str:
        if self.faults_left <= 0:
            return ""
        self.faults_left -= 1
        return self.fault

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            self._tasks.discard(task)

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        fault = self._take_fault()
        if fault == "reset mid-request":
            # The call does not run, but its sender has sent a part of it and cannot know that.
            writer.transport.abort()
            return False
        length = 0
        for line in head.split(b"\r\n"):
            if line.lower().startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        await reader.readexactly(length)
        path = head.split(b" ", 2)[1].decode()
        if fault == "refusal":
            writer.write(b"HTTP/1.1 503 Busy\r\nDewspindle-Ran: no\r\nContent-Length: 0\r\n\r\n")
            return True
        return await self._run(path, fault, writer)

    async def _run(self, path: str, fault: str, writer: asyncio.StreamWriter) -> bool:
        self.run_counts[path] += 1
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        self.call_arrived.set()
        try:
            if self.response_gate is not None:
                await self.response_gate.wait()
            return await self._respond(path, fault, writer)
        finally:
            self.in_flight -= 1

    async def _respond(self, path: str, fault: str, writer: asyncio.StreamWriter) -> bool:
        body = RESPONSE_BODY % path.encode()
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
        if fault == "reset after request":
            writer.transport.abort()
            return False
        if fault == "stall":
            await asyncio.Event().wait()
        if fault == "malformed response":
            writer.write(b"not http at all\r\n\r\n")
            return False
        if fault == "truncated body":
            writer.write(head % len(body) + body[:5])
            await writer.drain()
            return False
        if fault == "wrong content length":
            writer.write(head % (len(body) + 50) + body)
            await writer.drain()
            return False
        writer.write(head % len(body) + body)
        if fault == "duplicate response":
            other = b'{"ok": false, "path": "somebody else"}'
            writer.write(head % len(other) + other)
        await writer.drain()
        return fault != "close after response"
