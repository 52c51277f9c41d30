"""Application served to callers, backend servers and workers."""

from typing import Any

from starlette.applications import Starlette
from starlette.routing import Route

from ..exceptions import DewspindleError
from ..routing.call_request import CALL_PATH_PREFIX
from ..routing.calls import CallRouter
from .backend_api import BackendApi
from .health import HealthApi
from .responses import handle_error, handle_unexpected_error
from .worker_api import WorkerApi


class CallerApp:
    """Passes calls to the router, bypassing the framework's overhead; Starlette serves the rest."""

    def __init__(
        self,
        *,
        router: CallRouter,
        worker_api: WorkerApi,
        backend_api: BackendApi,
        health_api: HealthApi,
    ) -> None:
        self._router = router
        routes: list[Route] = [
            *worker_api.make_routes(),
            *backend_api.make_routes(),
            *health_api.make_routes(),
        ]
        self._framework_app = Starlette(
            routes=routes,
            exception_handlers={
                DewspindleError: handle_error,
                Exception: handle_unexpected_error,
            },
        )

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handle one request."""
        if scope["type"] == "http" and scope["path"].startswith(CALL_PATH_PREFIX):
            await self._router(scope, receive, send)
        else:
            await self._framework_app(scope, receive, send)
