"""HTTP interface for records."""

from typing import Any

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..cell.view import CellView
from ..exceptions import (
    ChangeRefusedError,
    InvalidDocumentError,
    InvalidRequestError,
    NotFoundError,
)
from ..models.tasks import get_record_state_name
from ..records.conversion import CURRENT_VERSION, change_record, get_version, make_record
from ..schema import cell_pb2, documents_pb2
from ..utils.documents import parse_document, parse_json_object
from ..utils.refusals import Refusal
from .change_handler import ChangeHandler, get_if_match
from .responses import check_result, make_etag, make_json_response
from .serializers import serialize_explanation, serialize_record, serialize_record_summary

DEFAULT_LIMIT = 200
MAX_LIMIT = 10_000


class RecordApi:
    """Handles requests that submit, read, change, cancel and explain records."""

    def __init__(self, *, view: CellView, change_handler: ChangeHandler) -> None:
        self._view = view
        self._change_handler = change_handler

    def make_routes(self) -> list[Route]:
        """Return the routes of the interface."""
        return [
            Route("/v1/records", self.submit, methods=["POST"]),
            Route("/v1/records", self.list_records, methods=["GET"]),
            Route("/v1/records:cancel", self.cancel_selection, methods=["POST"]),
            Route("/v1/records/{record}", self.get_record, methods=["GET"]),
            Route("/v1/records/{record}", self.change, methods=["PUT"]),
            Route("/v1/records/{record}", self.cancel, methods=["DELETE"]),
            Route("/v1/records/{record}/explain", self.explain, methods=["GET"]),
        ]

    async def submit(self, request: Request) -> Response:
        """Accept a record; it is durable on a quorum when the response is sent."""
        body = await self._change_handler.read_change_body(request)
        record = make_record(parse_json_object(body))
        command = cell_pb2.Command(submit_record=cell_pb2.SubmitRecord(record=record))
        result = await self._change_handler.commit(request, command, body)
        return make_json_response(
            {"id": result.id, "revision": result.revision},
            status=201,
            headers={
                "ETag": make_etag(result.revision),
                "Location": f"/v1/records/{result.id}",
            },
        )

    def _find_record(self, request: Request) -> cell_pb2.Record:
        record_id = request.path_params["record"]
        record = self._view.state.get_record(record_id)
        if record is None:
            raise NotFoundError(f"record {record_id} does not exist")
        return record

    async def get_record(self, request: Request) -> Response:
        """Return a record in the requested schema version."""
        self._change_handler.authorization.check_read(request)
        record = self._find_record(request)
        schema_version = _parse_integer(request, "schema_version", CURRENT_VERSION)
        get_version(schema_version)  # Raises an error if the schema version is unknown.
        return make_json_response(
            serialize_record(record, schema_version=schema_version),
            headers={"ETag": make_etag(record.revision)},
        )

    async def list_records(self, request: Request) -> Response:
        """List records, newest first, filtered by team, state and name prefix."""
        self._change_handler.authorization.check_read(request)
        query = request.query_params
        limit = min(MAX_LIMIT, _parse_integer(request, "limit", DEFAULT_LIMIT))
        serialized: list[dict[str, Any]] = []
        for record in reversed(list(self._view.state.records.values())):
            if len(serialized) >= limit:
                break
            if query.get("team") not in (None, record.team):
                continue
            if query.get("state") not in (None, get_record_state_name(record.state)):
                continue
            if record.name.startswith(query.get("name_prefix", "")):
                serialized.append(serialize_record_summary(record))
        total = len(self._view.state.records)
        return make_json_response(
            {"records": serialized, "known": total, "revision": self._view.revision}
        )

    async def explain(self, request: Request) -> Response:
        """Return the decisions about a record and the reason for which it waits."""
        self._change_handler.authorization.check_read(request)
        return make_json_response(
            serialize_explanation(self._view.state, self._find_record(request))
        )

    async def change(self, request: Request) -> Response:
        """Change a record that is still at the given revision."""
        body = await self._change_handler.read_change_body(request)
        if_revision = get_if_match(request)
        document = parse_json_object(body)
        # This instance may lag behind the one from which the client read the record.
        await self._change_handler.wait_until_applied(if_revision)
        known = self._change_handler.find_known_outcome(request, body)
        if known is not None:
            check_result(known)
            return _make_change_response(known)
        record = self._find_record(request)
        if record.revision != if_revision:
            raise _make_revision_conflict(record, if_revision)
        changed = change_record(record, document)
        command = cell_pb2.Command(
            change_record=cell_pb2.ChangeRecord(
                id=record.id, if_revision=if_revision, record=changed
            )
        )
        return _make_change_response(await self._change_handler.commit(request, command, body))

    async def cancel(self, request: Request) -> Response:
        """Cancel one record; none of its tasks start after the response."""
        body = await self._change_handler.read_change_body(request)
        has_condition = "if-match" in request.headers
        command = cell_pb2.Command(
            cancel_records=cell_pb2.CancelRecords(
                ids=[request.path_params["record"]],
                if_revision=get_if_match(request) if has_condition else 0,
            )
        )
        return _make_change_response(await self._change_handler.commit(request, command, body))

    async def cancel_selection(self, request: Request) -> Response:
        """Cancel all selected records in one change."""
        body = await self._change_handler.read_change_body(request)
        selection = parse_document(documents_pb2.SelectionDocument(), parse_json_object(body))
        if not (selection.ids or selection.team or selection.name_prefix):
            raise InvalidDocumentError(
                "the selection is empty", hint="specify ids, a team or a name_prefix"
            )
        command = cell_pb2.Command(
            cancel_records=cell_pb2.CancelRecords(
                ids=selection.ids, team=selection.team, name_prefix=selection.name_prefix
            )
        )
        result = await self._change_handler.commit(request, command, body)
        return make_json_response({"cancelled": result.count, "revision": result.revision})


def _make_change_response(result: cell_pb2.Result) -> Response:
    return make_json_response(
        {"id": result.id, "revision": result.revision},
        headers={"ETag": make_etag(result.revision)},
    )


def _make_revision_conflict(record: cell_pb2.Record, if_revision: int) -> ChangeRefusedError:
    return ChangeRefusedError(
        code=Refusal.REVISION_CONFLICT.value,
        status=412,
        detail=f"record {record.id} is at revision {record.revision}, not {if_revision}",
        revision=record.revision,
    )


def _parse_integer(request: Request, name: str, default: int) -> int:
    text = request.query_params.get(name)
    if text is None:
        return default
    if not text.isascii() or not text.isdigit():
        raise InvalidRequestError(f"query parameter {name} is not a non-negative integer: {text!r}")
    return int(text)
