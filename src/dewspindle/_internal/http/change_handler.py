"""Validation of operators' changes and their commit through the leader."""

import hashlib
import re

from starlette.requests import Request

from ..cell.view import CellView
from ..exceptions import InvalidRequestError, PreconditionRequiredError
from ..network.leader_client import LeaderClient
from ..schema import cell_pb2, settings_pb2
from ..utils.metrics import Metrics
from ..utils.refusals import Refusal
from ..utils.timers import TimerService, wait_for_event
from .authorization import Authorization
from .bodies import read_body
from .responses import check_result

MAX_KEY_CHARACTERS = 200
APPLY_TIMEOUT_S = 2.0  # Afterwards a change is answered although not yet applied here.
_ETAG = re.compile(r'(?:W/)?"?(\d+)"?')
_REFUSALS = {refusal.value: refusal for refusal in Refusal}


class ChangeHandler:
    """Authorizes changes, requires an idempotency key, and commits them through the leader."""

    def __init__(
        self,
        *,
        settings: settings_pb2.Settings,
        view: CellView,
        leader: LeaderClient,
        timers: TimerService,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._view = view
        self._leader = leader
        self._timers = timers
        self._metrics = metrics
        self._authorization = Authorization(settings)

    @property
    def authorization(self) -> Authorization:
        """Return the bearer token check."""
        return self._authorization

    async def read_change_body(self, request: Request) -> bytes:
        """Return the body of a change after checking the token and the idempotency key."""
        self._authorization.check_change(request)
        get_key(request)
        return await read_body(request, limit=self._settings.max_body_bytes)

    async def commit(
        self, request: Request, command: cell_pb2.Command, body: bytes
    ) -> cell_pb2.Result:
        """Commit a change, and wait for a limited time until this instance has applied it.

        Raises `ChangeRefusedError` if it is refused, `NoLeaderError` if it certainly had no effect,
        and `OutcomeUnknownError` if it may have been committed.
        """
        command.key = get_key(request)
        command.digest = make_digest(request, body)
        result = await self._leader.propose(
            command, timeout_s=self._settings.propose_timeout_ms / 1000
        )
        if result.code in _REFUSALS:
            self._metrics.count_refusal(_REFUSALS[result.code])
        check_result(result)
        await self.wait_until_applied(result.revision)
        return result

    async def wait_until_applied(self, revision: int) -> None:
        """Wait, for at most `APPLY_TIMEOUT_S`, until this instance has applied a revision."""
        deadline = self._timers.now() + APPLY_TIMEOUT_S
        while self._view.revision < revision:
            event = self._view.signal.event
            remaining = deadline - self._timers.now()
            if not await wait_for_event(self._timers, event=event, seconds=remaining):
                return

    def find_known_outcome(self, request: Request, body: bytes) -> cell_pb2.Result | None:
        """Return the original outcome of a resent change, if this instance knows it."""
        resent_command = cell_pb2.Command(key=get_key(request), digest=make_digest(request, body))
        return self._view.state.outcomes.find(resent_command)


def get_key(request: Request) -> str:
    """Return the idempotency key; raise `InvalidRequestError` if it is missing or too long."""
    key = request.headers.get("idempotency-key", "").strip()
    if not key:
        raise InvalidRequestError(
            "the header Idempotency-Key is missing",
            hint="send a new key with each change and the same key when resending it",
        )
    if len(key) > MAX_KEY_CHARACTERS:
        raise InvalidRequestError(
            f"the header Idempotency-Key is longer than {MAX_KEY_CHARACTERS} characters"
        )
    return key


def get_if_match(request: Request) -> int:
    """Return the expected revision of a change; raise `PreconditionRequiredError` if missing."""
    value = request.headers.get("if-match", "").strip()
    if not value and request.headers.get("if-none-match", "").strip() == "*":
        return 0
    if not value:
        raise PreconditionRequiredError("the header If-Match is missing")
    match = _ETAG.fullmatch(value)
    if match is None:
        raise InvalidRequestError(f"If-Match {value!r} is not an entity tag issued by this server")
    return int(match[1])


def make_digest(request: Request, body: bytes) -> bytes:
    """Return a digest that distinguishes a resend from another change with the same key."""
    digest = hashlib.sha256()
    condition = request.headers.get("if-match", "")
    for part in (request.method, request.url.path, condition):
        digest.update(part.encode() + b"\0")
    digest.update(body)
    return digest.digest()
