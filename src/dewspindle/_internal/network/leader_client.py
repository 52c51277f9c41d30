"""Client that sends requests to the current leader, across changes of the leader."""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol, TypeVar

import anyio
from google.protobuf.message import Message

from ..exceptions import DewspindleError, NoLeaderError, OutcomeUnknownError
from ..replication.transport import PeerNotConnectedError, PeerUnreachableError
from ..schema import cell_pb2, peers_pb2
from ..utils.metrics import Metrics
from ..utils.refusals import RetryReason
from ..utils.timers import Signal, TimerService, wait_for_event
from . import methods
from .methods import Method
from .peer_client import RefusedByPeerError

RequestT = TypeVar("RequestT", bound=Message)
AnswerT = TypeVar("AnswerT", bound=Message)

RETRY_DELAY_S = 0.05
ATTEMPT_TIMEOUT_S = 5.0
# Error codes that guarantee that the request had no effect.
NO_EFFECT_CODES = frozenset(("not-leader", "no-leader", "disk-full"))


class RpcClient(Protocol):
    """Sends one request to the instance at an address."""

    async def call(
        self,
        address: str,
        method: Method[RequestT, AnswerT],
        request: RequestT,
        *,
        timeout_s: float,
    ) -> AnswerT:
        """Send the request and return the answer."""


class LeaderSource(Protocol):
    """Provides the address of the current leader."""

    @property
    def leader_address(self) -> str:
        """Return the peer address of the last known leader, or an empty string."""

    @property
    def signal(self) -> Signal:
        """Return the signal that is set at least when another leader becomes known."""

    def suspect_leader(self, address: str) -> None:
        """Report that the leader did not answer a request."""


class LeaderClient:
    """Sends requests to the leader, local or remote, and retries them where that is safe."""

    def __init__(
        self,
        *,
        own_address: str,
        leader_source: LeaderSource,
        rpc_client: RpcClient,
        timers: TimerService,
        metrics: Metrics,
        attempt_timeout_s: float = ATTEMPT_TIMEOUT_S,
    ) -> None:
        self._own_address = own_address
        self._leader_source = leader_source
        self._rpc_client = rpc_client
        self._timers = timers
        self._metrics = metrics
        self._attempt_timeout_s = attempt_timeout_s
        self._local: dict[str, Callable[[Any], Awaitable[Any]]] = {}

    def register_local(
        self, method: Method[Any, Any], handler: Callable[[Any], Awaitable[Any]]
    ) -> None:
        """Register the handler to call directly while this instance leads."""
        self._local[method.name] = handler

    async def propose(
        self, command: cell_pb2.Command, *, timeout_s: float, is_idempotent: bool = False
    ) -> cell_pb2.Result:
        """Commit a change through the leader.

        An idempotent change, such as one with a key, is resent after a lost answer. Raises
        `NoLeaderError` if it had no effect, `OutcomeUnknownError` if it may have had one.
        """
        request = peers_pb2.ProposeRequest(command=command.SerializeToString())
        return await self.send(
            methods.PROPOSE,
            request,
            timeout_s=timeout_s,
            is_idempotent=is_idempotent or bool(command.key),
        )

    async def send(
        self,
        method: Method[RequestT, AnswerT],
        request: RequestT,
        *,
        timeout_s: float,
        is_idempotent: bool,
    ) -> AnswerT:
        """Send a request to the leader, with retries until it is answered or times out.

        A request that is not idempotent is not sent again once it may have had an effect. The
        timeout does not interrupt a local handler.
        """
        deadline = self._timers.now() + timeout_s
        may_have_run = False
        while True:
            remaining = deadline - self._timers.now()
            if remaining <= 0:
                raise self._make_send_error(may_have_run=may_have_run)
            event = self._leader_source.signal.event
            try:
                return await self._try_once(
                    method, request, timeout_s=remaining, is_idempotent=is_idempotent
                )
            except PeerNotConnectedError:
                self._metrics.count_retry(RetryReason.LEADER_UNREACHABLE)
            except PeerUnreachableError:
                self._metrics.count_retry(RetryReason.LEADER_UNREACHABLE)
                may_have_run = True
            except OutcomeUnknownError:
                self._metrics.count_retry(RetryReason.LEADER_CHANGED)
                may_have_run = True
            except DewspindleError as error:
                if error.code == OutcomeUnknownError.code:
                    may_have_run = True
                elif error.code not in NO_EFFECT_CODES:
                    raise
                # Also counts a full disk and an unknown outcome at the leader.
                self._metrics.count_retry(RetryReason.NO_LEADER)
            if may_have_run and not is_idempotent:
                raise self._make_send_error(may_have_run=True)
            await wait_for_event(self._timers, event=event, seconds=RETRY_DELAY_S)

    async def _try_once(
        self,
        method: Method[RequestT, AnswerT],
        request: RequestT,
        *,
        timeout_s: float,
        is_idempotent: bool,
    ) -> AnswerT:
        address = self._leader_source.leader_address
        if not address:
            raise RefusedByPeerError(code="no-leader", detail="no leader is known")
        if address == self._own_address:
            return await self._local[method.name](request)  # type: ignore[no-any-return]
        try:
            call = self._rpc_client.call(
                address, method, request, timeout_s=min(timeout_s, self._attempt_timeout_s)
            )
            return await (self._call_until_superseded(address, call) if is_idempotent else call)
        except PeerUnreachableError:
            self._leader_source.suspect_leader(address)
            raise

    async def _call_until_superseded(self, address: str, call: Awaitable[AnswerT]) -> AnswerT:
        """Await a call; raise `PeerUnreachableError` as soon as another leader is known.

        A leader that does not answer would otherwise hold the request until the attempt times out.
        """
        error: Exception | None = None
        answer: AnswerT | None = None
        async with anyio.create_task_group() as group:
            group.start_soon(self._cancel_when_superseded, address, group.cancel_scope)
            try:
                answer = await call
            except (PeerUnreachableError, DewspindleError) as raised:
                error = raised
            group.cancel_scope.cancel()
        if error is not None:
            raise error
        if answer is None:
            raise PeerUnreachableError(f"{address}: another leader was found")
        return answer

    async def _cancel_when_superseded(self, address: str, scope: anyio.CancelScope) -> None:
        while self._leader_source.leader_address in (address, ""):
            await self._leader_source.signal.event.wait()
        scope.cancel()

    def _make_send_error(self, *, may_have_run: bool) -> DewspindleError:
        """Return the error after a timeout, or after an attempt that must not be repeated."""
        if may_have_run:
            return OutcomeUnknownError("the leader did not answer in time")
        return NoLeaderError("no leader could be reached in time")
