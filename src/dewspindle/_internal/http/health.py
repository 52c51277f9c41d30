"""Liveness, readiness and metrics endpoints."""

from collections.abc import Callable

from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from ..utils.metrics import Metrics


class HealthApi:
    """Serves load balancers and metrics collectors."""

    def __init__(self, *, is_ready: Callable[[], bool], metrics: Metrics) -> None:
        self._is_ready = is_ready
        self._metrics = metrics

    def make_routes(self) -> list[Route]:
        """Return the routes of the interface."""
        return [
            Route("/healthz", self.show_health),
            Route("/readyz", self.show_readiness),
            Route("/metrics", self.show_metrics),
        ]

    async def show_health(self, _: Request) -> Response:
        """Report that the process is running."""
        return PlainTextResponse("ok\n")

    async def show_readiness(self, _: Request) -> Response:
        """Report whether this instance accepts new requests."""
        if self._is_ready():
            return PlainTextResponse("ready\n")
        return PlainTextResponse("not ready\n", status_code=503)

    async def show_metrics(self, _: Request) -> Response:
        """Return all metrics in the Prometheus text format."""
        return Response(self._metrics.render(), media_type="text/plain; version=0.0.4")
