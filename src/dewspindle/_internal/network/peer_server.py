"""gRPC server for requests from other instances."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import grpc
import grpc.aio
from google.protobuf.message import Message

from ..exceptions import DewspindleError
from ..schema import peers_pb2, settings_pb2
from ..utils.logs import get_logger
from .answer_stream import AnswerStream
from .methods import CALLS, SERVICE, Method
from .peer_client import CHANNEL_OPTIONS, ERROR_CODE_KEY
from .tls import make_server_credentials

STOP_GRACE_S = 1.0

ResultT = TypeVar("ResultT")
Handler = Callable[[Any], Awaitable[Message]]

logger = get_logger(__name__)


class PeerServer:
    """Serves registered methods on the peer address."""

    def __init__(self, settings: settings_pb2.Settings) -> None:
        self._settings = settings
        self._handlers: dict[str, Any] = {}
        self._server: grpc.aio.Server | None = None
        self._running: set[asyncio.Future[Any]] = set()
        self._streamed: dict[str, tuple[Method[Any, Any], Handler]] = {}
        self._streams: set[AnswerStream] = set()

    def register(self, method: Method[Any, Any], handler: Handler) -> None:
        """Register the handler of a method; call before `start`."""

        async def answer(request: Message, context: Any) -> Message:
            try:
                return await asyncio.shield(self._start(handler(request)))
            except DewspindleError as error:
                context.set_trailing_metadata(((ERROR_CODE_KEY, error.code),))
                await context.abort(grpc.StatusCode.FAILED_PRECONDITION, error.detail)
                raise

        self._handlers[method.name] = grpc.unary_unary_rpc_method_handler(
            answer,
            request_deserializer=method.request.FromString,
            response_serializer=method.answer.SerializeToString,
        )
        if method.is_streamed:
            self._streamed[method.name] = (method, handler)

    def _start(self, work: Awaitable[ResultT]) -> "asyncio.Future[ResultT]":
        """Run a handler in a task of its own, which its client cannot cancel.

        It must not be interrupted, for example between a write to the log and the update of the
        state in memory.
        """
        task = asyncio.ensure_future(work)
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return task

    async def _serve_calls(self, _: Any, context: Any) -> None:
        """Serve a stream of calls."""
        stream = AnswerStream(context, handle=self._answer_call, start=self._start)
        self._streams.add(stream)
        try:
            await stream.run()
        finally:
            self._streams.discard(stream)

    async def _answer_call(self, call: peers_pb2.Call) -> peers_pb2.CallAnswer:
        answer = peers_pb2.CallAnswer(number=call.number)
        try:
            method, handler = self._streamed[call.method]
            message = await handler(method.request.FromString(call.request))
            answer.answer = message.SerializeToString()
        except DewspindleError as error:
            answer.error.code, answer.error.detail = error.code, error.detail
        except Exception as error:
            logger.exception("call failed", method=call.method)
            answer.error.detail = repr(error)
        return answer

    async def start(self) -> None:
        """Start serving; raise `RuntimeError` if the address cannot be bound."""
        server = grpc.aio.server(options=[*CHANNEL_OPTIONS, ("grpc.so_reuseport", 0)])
        calls = grpc.stream_stream_rpc_method_handler(
            self._serve_calls,
            request_deserializer=CALLS.request.FromString,
            response_serializer=CALLS.answer.SerializeToString,
        )
        handlers = {**self._handlers, CALLS.name: calls}
        handler = grpc.method_handlers_generic_handler(SERVICE, handlers)
        server.add_generic_rpc_handlers((handler,))
        credentials = make_server_credentials(self._settings)
        if credentials is None:
            server.add_insecure_port(self._settings.peer_address)
        else:
            server.add_secure_port(self._settings.peer_address, credentials)
        await server.start()
        self._server = server

    async def stop(self) -> None:
        """Stop serving."""
        for stream in self._streams:
            stream.end()
        if self._server is not None:
            await self._server.stop(grace=STOP_GRACE_S)
