"""gRPC server for requests from other instances."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import grpc
import grpc.aio
from google.protobuf.message import Message

from ..exceptions import DewspindleError
from ..schema import settings_pb2
from .methods import SERVICE, Method
from .peer_client import CHANNEL_OPTIONS, ERROR_CODE_KEY
from .tls import make_server_credentials

STOP_GRACE_S = 1.0

Handler = Callable[[Any], Awaitable[Message]]


class PeerServer:
    """Serves registered methods on the peer address."""

    def __init__(self, settings: settings_pb2.Settings) -> None:
        self._settings = settings
        self._handlers: dict[str, Any] = {}
        self._server: grpc.aio.Server | None = None
        self._running: set[asyncio.Future[Message]] = set()

    def register(self, method: Method[Any, Any], handler: Handler) -> None:
        """Register the handler of a method; call before `start`."""

        async def answer(request: Message, context: Any) -> Message:
            # A client that cancels its request must not interrupt a handler, for example between
            # a write to the log and the update of the state in memory.
            task = asyncio.ensure_future(handler(request))
            self._running.add(task)
            task.add_done_callback(self._running.discard)
            try:
                return await asyncio.shield(task)
            except DewspindleError as error:
                context.set_trailing_metadata(((ERROR_CODE_KEY, error.code),))
                await context.abort(grpc.StatusCode.FAILED_PRECONDITION, error.detail)
                raise

        self._handlers[method.name] = grpc.unary_unary_rpc_method_handler(
            answer,
            request_deserializer=method.request.FromString,
            response_serializer=method.answer.SerializeToString,
        )

    async def start(self) -> None:
        """Start serving; raise `RuntimeError` if the address cannot be bound."""
        server = grpc.aio.server(options=[*CHANNEL_OPTIONS, ("grpc.so_reuseport", 0)])
        handler = grpc.method_handlers_generic_handler(SERVICE, self._handlers)
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
        if self._server is not None:
            await self._server.stop(grace=STOP_GRACE_S)
