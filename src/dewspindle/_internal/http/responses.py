"""JSON responses, and problem responses made from errors."""

import json
from typing import Any

from starlette.requests import Request
from starlette.responses import Response

from ..exceptions import ChangeRefusedError, DewspindleError
from ..schema import cell_pb2
from ..utils.logs import get_logger
from .problems import MEDIA_TYPE, make_problem

logger = get_logger(__name__)


def make_json_response(
    value: Any, *, status: int = 200, headers: dict[str, str] | None = None
) -> Response:
    """Return a JSON response."""
    return Response(
        json.dumps(value), status_code=status, headers=headers, media_type="application/json"
    )


def make_problem_response(error: DewspindleError) -> Response:
    """Return the problem response (RFC 9457) of an error."""
    headers = {}
    if error.status in (429, 503):
        headers["Retry-After"] = "1"
    if isinstance(error, ChangeRefusedError) and error.revision:
        headers["ETag"] = make_etag(error.revision)
    return Response(
        json.dumps(make_problem(error)),
        status_code=error.status,
        headers=headers,
        media_type=MEDIA_TYPE,
    )


async def handle_error(_: Request, error: Exception) -> Response:
    """Convert an error of the application into a problem response."""
    assert isinstance(error, DewspindleError)
    return make_problem_response(error)


async def handle_unexpected_error(request: Request, error: Exception) -> Response:
    """Log an unexpected error and return a problem response without its text."""
    logger.error("unexpected error", path=request.url.path, exc_info=error)
    return make_problem_response(DewspindleError("unexpected error; see the log of the instance"))


def make_etag(revision: int) -> str:
    """Return the entity tag of a revision."""
    return f'"{revision}"'


def check_result(result: cell_pb2.Result) -> None:
    """Raise `ChangeRefusedError` if the result is a refusal."""
    if result.code:
        raise ChangeRefusedError(
            code=result.code,
            status=result.status,
            detail=result.detail,
            revision=result.revision,
        )
