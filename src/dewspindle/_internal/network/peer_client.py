"""gRPC client for other instances."""

import asyncio
from typing import Any, TypeVar

import grpc
import grpc.aio
from google.protobuf.message import Message

from ..exceptions import DewspindleError
from ..replication.transport import PeerNotConnectedError, PeerUnreachableError
from ..schema import peers_pb2, settings_pb2
from . import methods
from .call_stream import CallStream
from .methods import Method
from .tls import TlsFiles, make_channel_credentials

RequestT = TypeVar("RequestT", bound=Message)
AnswerT = TypeVar("AnswerT", bound=Message)

CONNECT_TIMEOUT_S = 0.5  # Allows for several round trips between regions.
MAX_MESSAGE_BYTES = 256 * 1024 * 1024
FORMATION_TIMEOUT_S = 2.0  # For hello and form requests.
ELECTION_REQUEST_TIMEOUT_S = 2.0  # For vote and transfer requests.
# For append, snapshot and join requests; PeerLink ends appends after the election timeout.
REPLICATION_TIMEOUT_S = 60.0
KEEPALIVE_INTERVAL_MS = 2000  # Between two probes of an idle connection.
KEEPALIVE_TIMEOUT_MS = 1000  # A connection whose probe is not answered in this time is closed.
ERROR_CODE_KEY = "dewspindle-code"
CHANNEL_OPTIONS = [
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 200),
    ("grpc.enable_http_proxy", 0),
    # A connection can fail without a reset, so it is probed with and without active calls.
    ("grpc.keepalive_time_ms", KEEPALIVE_INTERVAL_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.http2.min_ping_interval_without_data_ms", KEEPALIVE_INTERVAL_MS // 2),
    ("grpc.http2.max_ping_strikes", 0),
]


class RefusedByPeerError(DewspindleError):
    """A peer refused a request with an error code, or no leader was known to send it to."""

    status = 503

    def __init__(self, *, code: str, detail: str) -> None:
        super().__init__(detail)
        self.code = code


class PeerClient:
    """Sends requests to other instances over one channel per address.

    Small calls of which many come at once share a stream.
    """

    def __init__(self, settings: settings_pb2.Settings) -> None:
        self._tls_files = TlsFiles(settings) if settings.tls_certificate else None
        self._credentials: grpc.ChannelCredentials | None = None
        self._channels: dict[str, grpc.aio.Channel] = {}
        self._streams: dict[str, CallStream] = {}

    async def call(
        self,
        address: str,
        method: Method[RequestT, AnswerT],
        request: RequestT,
        *,
        timeout_s: float,
    ) -> AnswerT:
        """Send a request; raise `PeerUnreachableError` or `RefusedByPeerError`."""
        channel = await self._get_channel(address)
        if method.is_streamed:
            return await self._call_over_stream(
                channel, address, method, request, timeout_s=timeout_s
            )
        await self._connect(channel, address, timeout_s=min(timeout_s, CONNECT_TIMEOUT_S))
        multi_callable = channel.unary_unary(
            method.path,
            request_serializer=method.request.SerializeToString,
            response_deserializer=method.answer.FromString,
        )
        try:
            return await _wait_for_answer(multi_callable(request, timeout=timeout_s), address)
        except grpc.aio.AioRpcError as error:
            raise _translate_error(error, address) from None

    async def _call_over_stream(
        self,
        channel: grpc.aio.Channel,
        address: str,
        method: Method[RequestT, AnswerT],
        request: RequestT,
        *,
        timeout_s: float,
    ) -> AnswerT:
        stream = self._streams.get(address)
        if stream is None or stream.is_closed:
            await self._connect(channel, address, timeout_s=min(timeout_s, CONNECT_TIMEOUT_S))
            stream = self._streams.get(address)  # Another call may have opened it meanwhile.
            if stream is None or stream.is_closed:
                stream = self._streams[address] = CallStream(channel, address)
        answer = await stream.call(method.name, request.SerializeToString(), timeout_s=timeout_s)
        if answer.WhichOneof("outcome") != "error":
            return method.answer.FromString(answer.answer)
        if answer.error.code:
            raise RefusedByPeerError(code=answer.error.code, detail=answer.error.detail)
        raise PeerUnreachableError(f"{address}: the call failed: {answer.error.detail}")

    async def _connect(self, channel: grpc.aio.Channel, address: str, *, timeout_s: float) -> None:
        """Wait for a connection; raise `PeerNotConnectedError` on a timeout."""
        if channel.get_state(try_to_connect=True) is grpc.ChannelConnectivity.READY:
            return
        try:
            await asyncio.wait_for(channel.channel_ready(), timeout_s)
        except TimeoutError:
            raise PeerNotConnectedError(f"{address}: connection timed out") from None
        except grpc.aio.UsageError:
            raise PeerNotConnectedError(f"{address}: the channel was closed") from None

    async def _get_channel(self, address: str) -> grpc.aio.Channel:
        await self._reload_certificates()
        channel = self._channels.get(address)
        if channel is None:
            if self._credentials is None:
                channel = grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
            else:
                channel = grpc.aio.secure_channel(
                    address, self._credentials, options=CHANNEL_OPTIONS
                )
            self._channels[address] = channel
        return channel

    async def _reload_certificates(self) -> None:
        certificates = self._tls_files.read_if_changed() if self._tls_files else None
        if certificates is None:
            return
        self._credentials = make_channel_credentials(certificates)
        await self.close()

    async def close(self) -> None:
        """Close all channels."""
        streams, self._streams = self._streams, {}
        for stream in streams.values():
            stream.close()
        channels, self._channels = self._channels, {}
        for channel in channels.values():
            await channel.close(grace=1.0)

    async def request_vote(
        self, address: str, request: peers_pb2.VoteRequest
    ) -> peers_pb2.VoteAnswer:
        """Request a vote."""
        return await self._call_replica(address, methods.VOTE, request, ELECTION_REQUEST_TIMEOUT_S)

    async def append(
        self, address: str, request: peers_pb2.AppendRequest
    ) -> peers_pb2.AppendAnswer:
        """Send entries, or an empty request as a heartbeat."""
        return await self._call_replica(address, methods.APPEND, request, REPLICATION_TIMEOUT_S)

    async def install_snapshot(
        self, address: str, request: peers_pb2.SnapshotRequest
    ) -> peers_pb2.SnapshotAnswer:
        """Send a snapshot in place of entries that are no longer retained."""
        return await self._call_replica(address, methods.SNAPSHOT, request, REPLICATION_TIMEOUT_S)

    async def transfer(
        self, address: str, request: peers_pb2.TransferRequest
    ) -> peers_pb2.TransferAnswer:
        """Ask a replica to start an election immediately."""
        return await self._call_replica(
            address, methods.TRANSFER, request, ELECTION_REQUEST_TIMEOUT_S
        )

    async def say_hello(
        self, address: str, request: peers_pb2.HelloRequest
    ) -> peers_pb2.HelloAnswer:
        """Ask an instance for its identity and whether it belongs to a cell."""
        return await self._call_replica(address, methods.HELLO, request, FORMATION_TIMEOUT_S)

    async def form(self, address: str, request: peers_pb2.FormRequest) -> peers_pb2.FormAnswer:
        """Ask a replica with an empty data folder to take part in forming a cell."""
        return await self._call_replica(address, methods.FORM, request, FORMATION_TIMEOUT_S)

    async def join(self, address: str, request: peers_pb2.JoinRequest) -> peers_pb2.JoinAnswer:
        """Ask the leader to add a replica as a learner."""
        return await self._call_replica(address, methods.JOIN, request, REPLICATION_TIMEOUT_S)

    async def _call_replica(
        self, address: str, method: Method[RequestT, AnswerT], request: RequestT, timeout_s: float
    ) -> AnswerT:
        try:
            return await self.call(address, method, request, timeout_s=timeout_s)
        except RefusedByPeerError as error:
            raise PeerUnreachableError(str(error)) from None


async def _wait_for_answer(
    call: grpc.aio.UnaryUnaryCall[RequestT, AnswerT], address: str
) -> AnswerT:
    """Return the answer to a call, and cancel the call together with this task.

    A call that is awaited directly replaces the cancellation of its task by one that anyio does not
    know as its own: a time limit then ends the whole task instead of raising `TimeoutError`. So the
    call is awaited by a task of its own.
    """
    answer = asyncio.ensure_future(call)
    try:
        return await asyncio.shield(answer)
    except asyncio.CancelledError:
        if answer.cancelled():
            raise PeerUnreachableError(f"{address}: the channel was closed") from None
        call.cancel()
        raise


def _translate_error(error: grpc.aio.AioRpcError, address: str) -> Exception:
    code = _get_code(error)
    if code:
        return RefusedByPeerError(code=code, detail=error.details() or "")
    return PeerUnreachableError(f"{address}: {error.code().name.lower()}: {error.details()}")


def _get_code(error: grpc.aio.AioRpcError) -> str:
    metadata: Any = error.trailing_metadata() or ()
    for key, value in metadata:
        if key == ERROR_CODE_KEY:
            return str(value)
    return ""
