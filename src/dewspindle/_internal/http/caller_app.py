"""Application on the address of callers, backend servers and workers."""

from typing import Any

from starlette.applications import Starlette
from starlette.routing import Route

from ..exceptions import DewspindleError
from ..routing.call_request import CALL_PATH_PREFIX
from ..routing.calls import CallRouter
from .answers import answer_error, answer_unexpected
from .backend_api import BackendApi
from .health import HealthApi
from .worker_api import WorkerApi


class CallerApp:
    """Hands calls to the router without the cost of a framework, and the rest to routes."""

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
        self._others = Starlette(
            routes=routes,
            exception_handlers={
                DewspindleError: answer_error,
                Exception: answer_unexpected,
            },
        )

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request."""
        if scope["type"] == "http" and scope["path"].startswith(CALL_PATH_PREFIX):
            await self._router(scope, receive, send)
        else:
            await self._others(scope, receive, send)
