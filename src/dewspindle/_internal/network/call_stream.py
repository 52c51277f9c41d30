"""Calls to one peer over one stream.

The RPC library's server accepts calls one after the other, each over several turns of its event
loop. On a busy loop, calls that come at the same time would wait for each other, but the messages
of open streams do not.
"""

import asyncio
import itertools
from collections.abc import Awaitable
from typing import Any

import grpc
import grpc.aio

from ..replication.transport import PeerNotConnectedError, PeerUnreachableError
from ..schema import peers_pb2
from . import methods

MAX_FRAME_BYTES = 1024 * 1024  # Of the calls in one frame, unless a single one is larger.
# A call that times out while nothing arrived for so long closes the stream, so that a peer that was
# paused does not run calls whose callers have given up.
SILENT_S = 1.0
END_OF_STREAM: Any = grpc.aio.EOF  # type: ignore[attr-defined]


class CallStream:
    """An open stream of calls; it ends with the first error, and is then replaced."""

    def __init__(self, channel: grpc.aio.Channel, address: str) -> None:
        self._address = address
        self._loop = asyncio.get_running_loop()
        self._rpc: Any = channel.stream_stream(
            methods.CALLS.path,
            request_serializer=methods.CALLS.request.SerializeToString,
            response_deserializer=methods.CALLS.answer.FromString,
        )()  # type: ignore[call-arg]
        self._numbers = itertools.count(1)
        self._unsent: dict[int, peers_pb2.Call] = {}
        self._pending: dict[int, asyncio.Future[peers_pb2.CallAnswer]] = {}
        self._has_unsent = asyncio.Event()
        self._waits_since = self._loop.time()  # For anything to arrive.
        self._is_closed = False
        self._tasks = [
            asyncio.ensure_future(self._run(self._write_calls())),
            asyncio.ensure_future(self._run(self._read_answers())),
        ]

    @property
    def is_closed(self) -> bool:
        """Return whether the stream has ended and takes no calls."""
        return self._is_closed

    async def call(self, method: str, request: bytes, *, timeout_s: float) -> peers_pb2.CallAnswer:
        """Send a request and return its answer, which may be an error of the peer.

        Raises `PeerNotConnectedError` if it was certainly not sent, else `PeerUnreachableError`.
        """
        if not self._pending:
            self._waits_since = self._loop.time()
        number = next(self._numbers)
        future = self._pending[number] = self._loop.create_future()
        self._unsent[number] = peers_pb2.Call(number=number, method=method, request=request)
        self._has_unsent.set()
        timer = self._loop.call_later(timeout_s, self._expire, number)
        try:
            answer: peers_pb2.CallAnswer = await future
            return answer
        finally:
            timer.cancel()
            self._pending.pop(number, None)
            self._unsent.pop(number, None)

    def _expire(self, number: int) -> None:
        self._fail(number, "no answer before the timeout")
        if self._loop.time() - self._waits_since >= SILENT_S:
            self.close("the peer is silent")

    def _fail(self, number: int, why: str) -> None:
        future = self._pending.get(number)
        if future is None or future.done():
            return
        # Taken back at once: the writer may run before the caller does.
        is_unsent = self._unsent.pop(number, None) is not None
        error = PeerNotConnectedError if is_unsent else PeerUnreachableError
        future.set_exception(error(f"{self._address}: {why}"))

    def close(self, why: str = "the stream was closed") -> None:
        """End the stream, and fail the calls without an answer."""
        if self._is_closed:
            return
        self._is_closed = True
        for number in list(self._pending):
            self._fail(number, why)
        self._rpc.cancel()
        for task in self._tasks:
            task.cancel()

    async def _run(self, work: Awaitable[None]) -> None:
        """Run one direction of the stream until it ends."""
        why = "the peer ended the stream"
        try:
            await work
        except grpc.aio.AioRpcError as error:
            why = f"{error.code().name.lower()}: {error.details()}"
        except (asyncio.InvalidStateError, grpc.aio.UsageError) as error:
            why = str(error)  # The other direction ended first.
        finally:
            self.close(why)

    async def _write_calls(self) -> None:
        while True:
            await self._has_unsent.wait()
            self._has_unsent.clear()
            while self._unsent:
                await self._rpc.write(self._take_frame())

    def _take_frame(self) -> peers_pb2.CallFrame:
        frame = peers_pb2.CallFrame()
        size = 0
        for number, call in list(self._unsent.items()):
            size += len(call.request)
            if frame.calls and size > MAX_FRAME_BYTES:
                break
            frame.calls.append(call)
            del self._unsent[number]
        return frame

    async def _read_answers(self) -> None:
        while (frame := await self._rpc.read()) is not END_OF_STREAM:
            self._waits_since = self._loop.time()
            for answer in frame.answers:
                future = self._pending.get(answer.number)
                if future is not None and not future.done():
                    future.set_result(answer)
