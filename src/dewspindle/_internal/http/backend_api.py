"""HTTP interface for backend servers, served on the callers' address."""

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..routing.directory import BackendDirectory
from ..routing.shares import SlotShares
from ..schema import documents_pb2, settings_pb2
from ..utils.documents import parse_document, parse_json_object
from .bodies import read_body
from .responses import make_json_response


class BackendApi:
    """Receives the announcements of backend servers, and removes them on request."""

    def __init__(
        self,
        *,
        settings: settings_pb2.Settings,
        directory: BackendDirectory,
        shares: SlotShares,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._shares = shares

    def make_routes(self) -> list[Route]:
        """Return the routes of the interface."""
        return [
            Route("/v1/backends", self.announce, methods=["POST"]),
            Route("/v1/backends/{backend}", self.remove, methods=["DELETE"]),
        ]

    async def announce(self, request: Request) -> Response:
        """Store a backend server's announcement and return the announcement's lifetime."""
        body = await read_body(request, limit=self._settings.max_body_bytes)
        document = parse_document(documents_pb2.BackendDocument(), parse_json_object(body))
        self._directory.announce(document)
        self._shares.renewal_needed.set()
        return make_json_response({"lifetime_ms": self._settings.backend_lifetime_ms})

    async def remove(self, request: Request) -> Response:
        """Remove a backend server."""
        self._directory.mark_gone(request.path_params["backend"])
        self._shares.renewal_needed.set()
        return Response(status_code=204)
