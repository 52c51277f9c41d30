"""Application served to operators."""

from starlette.applications import Starlette

from ..exceptions import DewspindleError
from .cell_api import CellApi
from .health import HealthApi
from .record_api import RecordApi
from .responses import handle_error, handle_unexpected_error


def make_operator_app(
    *, record_api: RecordApi, cell_api: CellApi, health_api: HealthApi
) -> Starlette:
    """Build the operators' application."""
    return Starlette(
        routes=[
            *record_api.make_routes(),
            *cell_api.make_routes(),
            *health_api.make_routes(),
        ],
        exception_handlers={
            DewspindleError: handle_error,
            Exception: handle_unexpected_error,
        },
    )
