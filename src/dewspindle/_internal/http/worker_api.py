"""HTTP interface for workers, served on the callers' address."""

import anyio
from google.protobuf import json_format
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..exceptions import FencedError
from ..network import methods
from ..network.leader_client import LeaderClient
from ..schema import documents_pb2, peers_pb2, settings_pb2
from ..utils.documents import parse_document, parse_json_object
from .bodies import read_body
from .responses import make_json_response

POLL_MARGIN_S = 5.0  # Time for the leader's answer beyond the time for which a poll is held open.


class WorkerApi:
    """Relays worker polls to the leader."""

    def __init__(self, *, settings: settings_pb2.Settings, leader: LeaderClient) -> None:
        self._settings = settings
        self._leader = leader
        self._held_polls: set[anyio.CancelScope] = set()

    def release_held_polls(self) -> None:
        """End all held polls immediately, so that the workers poll another instance."""
        for scope in self._held_polls:
            scope.cancel()

    def make_routes(self) -> list[Route]:
        """Return the routes of the interface."""
        return [Route("/v1/workers/{worker}/poll", self.poll, methods=["POST"])]

    async def poll(self, request: Request) -> Response:
        """Relay one poll and return the worker's orders."""
        body = await read_body(request, limit=self._settings.max_body_bytes)
        poll = parse_document(documents_pb2.PollDocument(), parse_json_object(body))
        relay_request = peers_pb2.RelayPollRequest(worker=request.path_params["worker"], poll=poll)
        answer = await self._relay(relay_request)
        return make_json_response(
            json_format.MessageToDict(
                answer.answer,
                preserving_proto_field_name=True,
                always_print_fields_with_no_presence=True,
            )
        )

    async def _relay(self, relay_request: peers_pb2.RelayPollRequest) -> peers_pb2.RelayPollAnswer:
        hold_s = self._settings.poll_hold_ms / 1000
        scope = anyio.CancelScope()
        self._held_polls.add(scope)
        try:
            with scope:
                return await self._leader.send(
                    methods.RELAY_POLL,
                    relay_request,
                    timeout_s=hold_s + POLL_MARGIN_S,
                    is_idempotent=False,
                )
        finally:
            self._held_polls.discard(scope)
        raise FencedError("this instance is shutting down")
