"""Application that serves the leader's views to operators, beside another application."""

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

from ..exceptions import DewspindleError, MethodNotAllowedError, NotLeaderError
from ..jobs.leader_views import View, find_view
from ..utils.logs import get_logger
from ..utils.plain_values import make_plain
from .problems import MEDIA_TYPE, make_problem, send_problem, send_value

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]

logger = get_logger(__name__)


class LeaderViewsApp:
    """Answers requests for views, and passes all others on.

    `make_view` raises `NotLeaderError` on a replica that does not lead. `find_leader` returns the
    address at which the leader serves its views, or an empty string.
    """

    def __init__(
        self,
        fallback: App,
        *,
        make_view: Callable[[View], Any],
        find_leader: Callable[[], str],
    ) -> None:
        self._fallback = fallback
        self._make_view = make_view
        self._find_leader = find_leader

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request."""
        view = find_view(scope["path"]) if scope["type"] == "http" else None
        if view is None:
            await self._fallback(scope, receive, send)
            return
        if scope["method"] != "GET":
            error = MethodNotAllowedError("views can only be read")
            await send_problem(send, error, extra_headers=[(b"allow", b"GET")])
            return
        await self._send_view(view, scope, send)

    async def _send_view(self, view: View, scope: Scope, send: Send) -> None:
        try:
            value = make_plain(self._make_view(view))
        except NotLeaderError as error:
            body = {**make_problem(error), "leader_address": self._find_leader() or None}
            await send_value(
                send,
                error.status,
                body,
                media_type=MEDIA_TYPE,
                extra_headers=[(b"retry-after", b"1")],
            )
        except Exception as error:
            logger.error("view failed", path=scope["path"], exc_info=error)
            await send_problem(send, DewspindleError("unexpected error; see the replica's log"))
        else:
            await send_value(send, 200, value)
