"""Stand-in backend server that announces itself and echoes requests."""

import json
from typing import Any

from ..exceptions import ServerUnreachableError
from ..http.server import HttpServer
from ..network.json_client import JsonClient
from ..utils.logs import get_logger
from ..utils.timers import TimerService

ANNOUNCE_INTERVAL_S = 2.0

logger = get_logger(__name__)


class StandInBackend:
    """Echoes requests for any path after a fixed service time, and counts runs by path."""

    def __init__(
        self,
        *,
        backend: str,
        service: str,
        zone: str,
        address: str,
        slots: int,
        connections: int,
        client: JsonClient,
        timers: TimerService,
        service_time_s: float = 0.0,
    ) -> None:
        self._backend = backend
        self._service = service
        self._zone = zone
        self._address = address
        self._slots = slots
        self._connections = connections
        self._client = client
        self._timers = timers
        self._service_time_s = service_time_s
        self._server = HttpServer(self, address=address)
        self._in_flight = 0
        self._most_in_flight = 0
        self._ran: dict[str, int] = {}

    @property
    def address(self) -> str:
        """Return the address of the server."""
        return self._address

    @property
    def most_in_flight(self) -> int:
        """Return the maximum number of concurrent requests."""
        return self._most_in_flight

    @property
    def ran(self) -> dict[str, int]:
        """Return the number of runs by path."""
        return self._ran

    async def serve(self) -> None:
        """Serve until cancelled."""
        await self._server.run()

    async def announce_periodically(self) -> None:
        """Announce the server periodically until cancelled."""
        while True:
            await self.announce("ready")
            await self._timers.sleep(ANNOUNCE_INTERVAL_S)

    async def announce(self, state: str) -> None:
        """Announce the server once; a lost announcement is only logged."""
        try:
            await self._client.request(
                "POST",
                "/v1/backends",
                body={
                    "id": self._backend,
                    "service": self._service,
                    "address": self._address,
                    "availability_zone": self._zone,
                    "slots": self._slots,
                    "connections": self._connections,
                    "state": state,
                },
            )
        except ServerUnreachableError as error:
            logger.debug("announcement failed", backend=self._backend, why=str(error))

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handle one request by echoing its path and body."""
        self._in_flight += 1
        self._most_in_flight = max(self._most_in_flight, self._in_flight)
        try:
            await self._answer(scope, receive, send)
        finally:
            self._in_flight -= 1

    async def _answer(self, scope: Any, receive: Any, send: Any) -> None:
        body = b""
        has_more = True
        while has_more:
            message = await receive()
            body += message.get("body", b"")
            has_more = message.get("more_body", False)
        path = scope["path"]
        self._ran[path] = self._ran.get(path, 0) + 1
        if self._service_time_s:
            await self._timers.sleep(self._service_time_s)
        response_body = json.dumps(
            {"backend": self._backend, "path": path, "body": body.decode("utf-8", "replace")}
        ).encode()
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(response_body)).encode()),
        ]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": response_body})
