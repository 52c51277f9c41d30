"""Server of the requests that other instances send."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import grpc
import grpc.aio
from google.protobuf.message import Message

from ..exceptions import DewspindleError
from ..schema import settings_pb2
from .methods import SERVICE, Method
from .peer_client import CHANNEL_OPTIONS, CODE_KEY
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
        """Answer a method with what a handler returns."""

        async def answer(request: Message, context: Any) -> Message:
            # A client that gives up must not stop a handler halfway, as between a write to the
            # log and taking note of it.
            task = asyncio.ensure_future(handler(request))
            self._running.add(task)
            task.add_done_callback(self._running.discard)
            try:
                return await asyncio.shield(task)
            except DewspindleError as error:
                context.set_trailing_metadata(((CODE_KEY, error.code),))
                await context.abort(grpc.StatusCode.FAILED_PRECONDITION, error.detail)
                raise

        self._handlers[method.name] = grpc.unary_unary_rpc_method_handler(
            answer,
            request_deserializer=method.request.FromString,
            response_serializer=method.answer.SerializeToString,
        )

    async def start(self) -> None:
        """Begin to serve; raise `RuntimeError` where the address cannot be had."""
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
