"""In-memory network between replicas that can drop, duplicate and delay messages."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import anyio
from google.protobuf.message import Message

from dewspindle._internal.exceptions import DewspindleError
from dewspindle._internal.replication.transport import PeerUnreachableError

from .clock import ManualClock, ManualTimerService

AnswerT = TypeVar("AnswerT", bound=Message)

LATENCY_S = 0.002  # In each direction.
REQUEST_TIMEOUT_S = 2.0

Handler = Callable[[Any], Coroutine[Any, Any, Message]]
RequestHook = Callable[[str, str, Message], None]  # Source address, method and request.


def _retrieve_error(task: asyncio.Task[Message]) -> None:
    """Mark the error of a request that its caller has given up as retrieved."""
    if not task.cancelled():
        task.exception()


class FakeNetwork:
    """Delivers requests between nodes by address, with the faults that are set."""

    def __init__(self, clock: ManualClock) -> None:
        self._timers = ManualTimerService(clock)
        self._handlers: dict[str, dict[str, Handler]] = {}
        self._node_timers: dict[str, ManualTimerService] = {}
        self.cut_links: set[tuple[str, str]] = set()  # Source and target of lost messages.
        self.refused_links: set[tuple[str, str]] = set()  # Requests fail at once; answers pass.
        self.lost_answers: set[str] = set()  # Nodes whose answers are lost; requests arrive.
        self.duplicated: set[str] = set()  # Nodes whose requests are delivered twice.
        self.delays_s: dict[str, float] = {}  # Added to each message that a node sends.
        self.request_hooks: list[RequestHook] = []  # Called before a request is sent.

    def attach(
        self, address: str, handlers: dict[str, Handler], timers: ManualTimerService
    ) -> None:
        self._handlers[address] = handlers
        self._node_timers[address] = timers

    def get_handlers(self, address: str) -> dict[str, Handler]:
        """Return the request handlers of a node by method."""
        return self._handlers[address]

    def detach(self, address: str) -> None:
        self._handlers.pop(address, None)

    def isolate(self, address: str, others: list[str]) -> None:
        """Cut the links of a node to the others in both directions."""
        for other in others:
            self.cut_links |= {(address, other), (other, address)}

    def block_outgoing(self, address: str, others: list[str]) -> None:
        """Cut the links of a node to the others in its outgoing direction only."""
        self.cut_links |= {(address, other) for other in others}

    def heal(self) -> None:
        self.cut_links.clear()
        self.refused_links.clear()
        self.lost_answers.clear()
        self.duplicated.clear()
        self.delays_s.clear()

    async def send(
        self, source: str, target: str, method: str, request: Message, answer: type[AnswerT]
    ) -> AnswerT:
        """Deliver a request and return its answer.

        Raises `PeerUnreachableError` if the request or the answer is lost, the target is down, or
        its handler refuses the request.
        """
        for hook in list(self.request_hooks):
            hook(source, method, request)
        await self._timers.sleep(LATENCY_S + self.delays_s.get(source, 0.0))
        await self._wait_while_paused(source)
        if (source, target) in self.refused_links:
            raise PeerUnreachableError("connection refused")
        if (source, target) in self.cut_links:
            await self._time_out()
        received = await self._deliver(target, method, request)
        if source in self.duplicated:
            received = await self._deliver(target, method, request)
        await self._timers.sleep(LATENCY_S + self.delays_s.get(target, 0.0))
        await self._wait_while_paused(source)
        if (target, source) in self.cut_links or target in self.lost_answers:
            await self._time_out()
        return answer.FromString(received)

    async def _wait_while_paused(self, address: str) -> None:
        timers = self._node_timers.get(address)
        while timers is not None and timers.is_paused:
            await self._timers.sleep(0.05)

    async def _time_out(self) -> None:
        await self._timers.sleep(REQUEST_TIMEOUT_S)
        raise PeerUnreachableError(f"no answer within {REQUEST_TIMEOUT_S} s")

    async def _deliver(self, target: str, method: str, request: Message) -> bytes:
        await self._wait_while_paused(target)
        handler = self._handlers.get(target, {}).get(method)
        if handler is None:
            raise PeerUnreachableError(f"no handler of {method} at {target}")
        copy = type(request).FromString(request.SerializeToString())
        try:
            # As in the peer server, a request that the caller gives up is still handled.
            task = asyncio.ensure_future(handler(copy))
            task.add_done_callback(_retrieve_error)
            return (await asyncio.shield(task)).SerializeToString()
        except DewspindleError as error:
            raise PeerUnreachableError(str(error)) from None
        except anyio.get_cancelled_exc_class():
            raise


class FakeTransport:
    """Peer transport of one replica over the fake network; its methods are those in `answers`."""

    def __init__(self, network: FakeNetwork, address: str) -> None:
        self._network = network
        self._address = address

    def __getattr__(self, method: str) -> Any:
        from dewspindle._internal.schema import peers_pb2

        answers: dict[str, type[Message]] = {
            "request_vote": peers_pb2.VoteAnswer,
            "append": peers_pb2.AppendAnswer,
            "install_snapshot": peers_pb2.SnapshotAnswer,
            "transfer": peers_pb2.TransferAnswer,
            "say_hello": peers_pb2.HelloAnswer,
            "form": peers_pb2.FormAnswer,
            "join": peers_pb2.JoinAnswer,
        }

        async def send(target: str, request: Message) -> Message:
            return await self._network.send(self._address, target, method, request, answers[method])

        return send
