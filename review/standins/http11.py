"""A minimal HTTP/1.1 server and client with JSON bodies."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

Handler = Callable[[str, str, dict[str, str], Any], Awaitable[tuple[int, Any]]]


class ConnectionLostError(Exception):
    """No complete response arrived."""


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


def _make_message(first: str, headers: dict[str, str], body: Any) -> bytes:
    content = b"" if body is None else json.dumps(body).encode()
    fields = {
        "Content-Type": "application/json",
        "Content-Length": str(len(content)),
        **headers,
    }
    lines = [first, *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + content


class Server:
    """Serves one address; `crash` resets all connections and closes the port."""

    def __init__(self, host: str, port: int, handler: Handler) -> None:
        self._host = host
        self._port = port
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on the address."""
        self._server = await asyncio.start_server(self._serve, self._host, self._port)

    def crash(self) -> None:
        """Stop listening and reset all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers, content = await _read_message(reader)
                method, path, _ = first.split(" ", 2)
                body = json.loads(content) if content else None
                status, answer = await self._handler(method, path, headers, body)
                writer.write(_make_message(f"HTTP/1.1 {status} X", {}, answer))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


class KeptConnection:
    """A connection for several requests, one after the other."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def call(self, method: str, path: str, *, body: Any, timeout_s: float) -> int:
        """Send a request and return the status; raise `ConnectionLostError` without an answer."""
        try:
            async with asyncio.timeout(timeout_s):
                if self._reader is None or self._writer is None:
                    host, _, port = self._address.partition(":")
                    self._reader, self._writer = await asyncio.open_connection(host, int(port))
                headers = {"Host": self._address}
                self._writer.write(_make_message(f"{method} {path} HTTP/1.1", headers, body))
                await self._writer.drain()
                first, _, _ = await _read_message(self._reader)
                return int(first.split(" ")[1])
        except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError) as error:
            self.close()
            raise ConnectionLostError(str(error) or type(error).__name__) from None
        except asyncio.CancelledError:
            self.close()  # A late answer must not be taken for that of the next request.
            raise

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None


async def call(
    address: str,
    method: str,
    path: str,
    *,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float,
) -> tuple[int, Any]:
    """Send one request on a connection of its own; raise `ConnectionLostError` without an answer.

    The connection is closed at the time limit, as by a client that leaves.
    """
    host, _, port = address.partition(":")
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            fields = {"Host": address, "Connection": "close", **(headers or {})}
            writer.write(_make_message(f"{method} {path} HTTP/1.1", fields, body))
            await writer.drain()
            first, _, content = await _read_message(reader)
            return int(first.split(" ")[1]), json.loads(content) if content else None
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError) as error:
        raise ConnectionLostError(str(error) or type(error).__name__) from None
    finally:
        if writer is not None:
            writer.transport.abort()
