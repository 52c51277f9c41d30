"""Readiness endpoint of entry instances, for the load balancer, and metrics endpoint."""

from collections.abc import Callable

from ..utils.metrics import Metrics
from .asgi import Receive, Scope, Send, send_bytes, send_json


class ReadinessApp:
    """Reports whether this instance accepts new connections."""

    def __init__(self, *, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request."""
        if scope["type"] == "http":
            await send_json(send, 200 if self._is_ready() else 503)


class MetricsApp:
    """Serves all metrics in the Prometheus text format."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request."""
        if scope["type"] == "http":
            await send_bytes(send, 200, self._metrics.render(), content_type="text/plain")
