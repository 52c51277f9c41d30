"""Network between replicas that loses, doubles and delays when told to."""

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import anyio
from google.protobuf.message import Message

from dewspindle._internal.exceptions import DewspindleError
from dewspindle._internal.replication.transport import PeerUnreachableError

from .clock import ManualClock, ManualTimerService

A = TypeVar("A", bound=Message)

LATENCY_S = 0.002
LOST_AFTER_S = 2.0

Handler = Callable[[Any], Awaitable[Message]]
Observer = Callable[[str, str, Message], None]


class FakeNetwork:
    """Carries requests between nodes by address."""

    def __init__(self, clock: ManualClock) -> None:
        self._timers = ManualTimerService(clock)
        self._nodes: dict[str, dict[str, Handler]] = {}
        self._pauses: dict[str, ManualTimerService] = {}
        self.cut: set[tuple[str, str]] = set()
        self.lost_answers: set[str] = set()
        self.doubled: set[str] = set()
        self.late_s: dict[str, float] = {}
        self.observers: list[Observer] = []

    def attach(
        self, address: str, handlers: dict[str, Handler], timers: ManualTimerService
    ) -> None:
        self._nodes[address] = handlers
        self._pauses[address] = timers

    def get_handlers(self, address: str) -> dict[str, Handler]:
        """Return what a node answers."""
        return self._nodes[address]

    def detach(self, address: str) -> None:
        self._nodes.pop(address, None)

    def isolate(self, address: str, others: list[str]) -> None:
        """Cut a node off in both directions."""
        for other in others:
            self.cut |= {(address, other), (other, address)}

    def silence(self, address: str, others: list[str]) -> None:
        """Cut a node off so that it hears the others but is not heard."""
        self.cut |= {(address, other) for other in others}

    def heal(self) -> None:
        self.cut.clear()
        self.lost_answers.clear()
        self.doubled.clear()
        self.late_s.clear()

    async def send(
        self, source: str, target: str, method: str, request: Message, answer: type[A]
    ) -> A:
        """Carry a request there and its answer back."""
        for observer in list(self.observers):
            observer(source, method, request)
        await self._timers.sleep(LATENCY_S + self.late_s.get(source, 0.0))
        await self._wait_out_pause(source)
        if (source, target) in self.cut:
            await self._lose()
        received = await self._deliver(target, method, request)
        if source in self.doubled:
            received = await self._deliver(target, method, request)
        await self._timers.sleep(LATENCY_S + self.late_s.get(target, 0.0))
        await self._wait_out_pause(source)
        if (target, source) in self.cut or target in self.lost_answers:
            await self._lose()
        return answer.FromString(received)

    async def _wait_out_pause(self, address: str) -> None:
        timers = self._pauses.get(address)
        while timers is not None and timers.is_paused:
            await self._timers.sleep(0.05)

    async def _lose(self) -> None:
        await self._timers.sleep(LOST_AFTER_S)
        raise PeerUnreachableError("lost")

    async def _deliver(self, target: str, method: str, request: Message) -> bytes:
        await self._wait_out_pause(target)
        handler = self._nodes.get(target, {}).get(method)
        if handler is None:
            raise PeerUnreachableError("nobody listens")
        copy = type(request).FromString(request.SerializeToString())
        try:
            return (await handler(copy)).SerializeToString()
        except DewspindleError as error:
            raise PeerUnreachableError(str(error)) from None
        except anyio.get_cancelled_exc_class():
            raise


class FakeTransport:
    """What one replica sees of the network."""

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
