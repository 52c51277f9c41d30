"""Stub of a worker: an HTTP server with configured responses."""

import json
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

from dewspindle._internal.http.server import HttpServer
from dewspindle._internal.utils.local_ports import reserve_address

Message = MutableMapping[str, Any]


class StubWorkerServer:
    """Records requests; returns the response configured for the path, if there is one.

    Otherwise it accepts each order, and lists each started task as done.
    """

    def __init__(self) -> None:
        self.address = reserve_address()
        self.responses: dict[str, tuple[int, Any]] = {}
        # Sent for each request in place of a response, with its declared length, if any.
        self.raw_response: tuple[bytes, int | None] | None = None
        self.requests: list[tuple[str, dict[str, str], dict[str, Any]]] = []
        self._finished_tasks: list[list[Any]] = []
        self.server = HttpServer(self, address=self.address)

    async def __call__(
        self,
        scope: Message,
        receive: Callable[[], Awaitable[Message]],
        send: Callable[[Message], Awaitable[None]],
    ) -> None:
        if scope["type"] != "http":
            return
        body = b""
        while True:
            message = await receive()
            body += message.get("body", b"")
            if not message.get("more_body"):
                break
        headers = {key.decode(): value.decode() for key, value in scope["headers"]}
        fields = json.loads(body) if body else {}
        self.requests.append((scope["path"], headers, fields))
        if self.raw_response is not None:
            content, length = self.raw_response
            raw = [(b"content-type", b"application/json")]
            raw += [(b"content-length", b"%d" % length)] if length is not None else []
            await send({"type": "http.response.start", "status": 200, "headers": raw})
            await send({"type": "http.response.body", "body": content})
            return
        status, response = self.responses.get(scope["path"]) or self._run(scope["path"], fields)
        content = json.dumps(response).encode()
        raw = [(b"content-type", b"application/json"), (b"content-length", b"%d" % len(content))]
        await send({"type": "http.response.start", "status": status, "headers": raw})
        await send({"type": "http.response.body", "body": content})

    def _run(self, path: str, fields: dict[str, Any]) -> tuple[int, Any]:
        if path == "/run-start":
            number = len(self._finished_tasks) + 1
            row = [number, fields["task"], fields["attempt"], "done", ""]
            self._finished_tasks.append(row)
            return 200, {"clock_ms": 1000}
        if path == "/hold":
            unacknowledged = [row for row in self._finished_tasks if row[0] > fields["ack_cursor"]]
            return 200, {"clock_ms": 1000, "active": [], "finished": unacknowledged}
        return 200, {"clock_ms": 1000}
