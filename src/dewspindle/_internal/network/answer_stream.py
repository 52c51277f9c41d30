"""The server's end of a stream of calls."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from ..schema import peers_pb2
from ..utils.logs import get_logger
from .call_stream import END_OF_STREAM

MAX_FRAME_BYTES = 1024 * 1024  # Of the answers in one frame, unless a single one is larger.

CallHandler = Callable[[peers_pb2.Call], Coroutine[Any, Any, peers_pb2.CallAnswer]]
TaskStarter = Callable[
    [Coroutine[Any, Any, peers_pb2.CallAnswer]], "asyncio.Future[peers_pb2.CallAnswer]"
]

logger = get_logger(__name__)


class AnswerStream:
    """Runs the calls of one stream side by side, and sends the answers that have gathered."""

    def __init__(self, context: Any, *, handle: CallHandler, start: TaskStarter) -> None:
        self._context = context
        self._handle = handle
        self._start = start  # A call goes on if the stream ends before its answer.
        self._open: set[asyncio.Future[peers_pb2.CallAnswer]] = set()
        self._answers: list[peers_pb2.CallAnswer] = []
        self._changed = asyncio.Event()
        self._is_ending = False
        self._reader: asyncio.Future[None] | None = None

    def end(self) -> None:
        """Read no more calls; the stream ends when all that were read are answered."""
        if self._reader is not None:
            self._reader.cancel()

    async def run(self) -> None:
        """Serve until the client ends the stream, or `end` is called."""
        self._reader = asyncio.ensure_future(self._read_calls())
        try:
            writer = asyncio.ensure_future(self._write_answers())
            try:
                await asyncio.wait({self._reader})
                if not self._reader.cancelled() and (error := self._reader.exception()):
                    logger.info("stream of calls broke", why=repr(error))
                self._is_ending = True
                self._changed.set()
                await writer
            finally:
                writer.cancel()
        finally:
            self._reader.cancel()

    async def _read_calls(self) -> None:
        while (frame := await self._context.read()) is not END_OF_STREAM:
            for call in frame.calls:
                task = self._start(self._handle(call))
                self._open.add(task)
                task.add_done_callback(self._add_answer)

    def _add_answer(self, task: "asyncio.Future[peers_pb2.CallAnswer]") -> None:
        self._open.discard(task)
        if not task.cancelled():
            self._answers.append(task.result())
        self._changed.set()

    async def _write_answers(self) -> None:
        while not self._is_ending or self._open or self._answers:
            await self._changed.wait()
            self._changed.clear()
            while self._answers:
                await self._context.write(self._take_frame())

    def _take_frame(self) -> peers_pb2.CallAnswerFrame:
        frame = peers_pb2.CallAnswerFrame()
        size = 0
        while self._answers:
            size += len(self._answers[0].answer)
            if frame.answers and size > MAX_FRAME_BYTES:
                break
            frame.answers.append(self._answers.pop(0))
        return frame
