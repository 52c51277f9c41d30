"""A small HTTP/1.1 client and server on asyncio, for the stand-ins."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any


@dataclass
class Request:
    """One call of a server."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


Handler = Callable[[Request], Awaitable[tuple[int, Any]]]


async def _read_headers(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    first = (await reader.readuntil(b"\r\n")).decode("latin-1").strip()
    headers: dict[str, str] = {}
    while line := (await reader.readuntil(b"\r\n")).decode("latin-1").strip():
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


class HttpServer:
    """Serves JSON calls on keep-alive connections."""

    def __init__(self, handle: Handler) -> None:
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._silences = 0

    def silence(self) -> None:
        """Answer nothing more on the connections that are open now; new ones work."""
        self._silences += 1

    async def start(self, address: str) -> None:
        """Listen on an address."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        silences = self._silences
        try:
            while True:
                first, headers = await _read_headers(reader)
                method, path, _ = first.split(" ", 2)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                if silences != self._silences:
                    await asyncio.Event().wait()  # As if the request had not arrived.
                status, answer = await self._handle(Request(method, path, headers, body))
                content = json.dumps(answer).encode()
                if silences != self._silences:
                    await asyncio.Event().wait()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()


async def request(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    *,
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, Any]:
    """Send one call on a connection of its own; return the status and the decoded body."""
    async with asyncio.timeout(timeout_s):
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            content = b"" if body is None else json.dumps(body).encode()
            fields = {
                "Host": address,
                "Content-Type": "application/json",
                "Content-Length": str(len(content)),
                "Connection": "close",
                **(headers or {}),
            }
            head = f"{method} {path} HTTP/1.1\r\n"
            head += "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            writer.write(head.encode() + b"\r\n" + content)
            await writer.drain()
            first, answer_headers = await _read_headers(reader)
            length = int(answer_headers.get("content-length", "0"))
            content = await reader.readexactly(length)
            return int(first.split(" ")[1]), json.loads(content) if content else None
        except asyncio.IncompleteReadError as error:
            raise ConnectionResetError("the connection ended before the answer") from error
        finally:
            writer.close()
