"""HTTP interface for worker heartbeats and the operator's queue table."""

from collections.abc import Awaitable, Callable

from ..exceptions import BodyTooLargeError, DewspindleError
from ..network import methods
from ..network.leader_client import LeaderClient
from ..schema import cell_pb2, jobs_pb2, peers_pb2
from ..utils.logs import get_logger
from ..utils.timers import TimerService
from .asgi import ClientDisconnectedError, Receive, Scope, Send, read_body, send_bytes, send_json
from .heartbeats import check_worker_id, decode_born_ms, decode_heartbeat
from .queue_table import NOT_CONFIGURED, READ_QUEUE_TABLE_PATH, decode_queue_table

MAX_BODY_BYTES = 4 * 1024 * 1024  # Sufficient for a table with thousands of queues.
HEARTBEAT_RELAY_TIMEOUT_S = 0.9  # Workers switch to another instance after 1 s without a response.
QUEUE_TABLE_TIMEOUT_S = 0.9  # The operator tries another instance after 1 s without a response.
# In these paths, "Instances" are incarnations of workers, not instances of the scheduler.
HEARTBEAT_PREFIX = "/Instances.Heartbeat/"
DEREGISTER_PREFIX = "/Instances.Deregister/"

Handler = Callable[[str, bytes, Send], Awaitable[None]]

logger = get_logger(__name__)


class ControlApp:
    """Relays worker heartbeats and queue table requests to the leader."""

    def __init__(self, *, leader: LeaderClient, timers: TimerService) -> None:
        self._leader = leader
        self._timers = timers
        self._routes: list[tuple[str, str, Handler]] = [
            ("POST", HEARTBEAT_PREFIX, self._handle_heartbeat),
            ("POST", DEREGISTER_PREFIX, self._handle_deregistration),
            ("POST", "/Config.Replace", self._replace_queue_table),
            ("GET", READ_QUEUE_TABLE_PATH, self._read_queue_table),
        ]

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request."""
        if scope["type"] != "http":
            return
        path: str = scope["path"]
        for method, prefix, handler in self._routes:
            if method == scope["method"] and path.startswith(prefix):
                await self._handle(handler, path[len(prefix) :], receive, send)
                return
        await send_json(send, 404, {"error": "not-found"})

    async def _handle(self, handler: Handler, rest: str, receive: Receive, send: Send) -> None:
        try:
            body = await read_body(receive, max_bytes=MAX_BODY_BYTES)
            await handler(rest, body, send)
        except ClientDisconnectedError:
            return
        except BodyTooLargeError as error:
            await send_json(send, 413, {"error": error.code})
        except DewspindleError as error:
            # Also 503 if the outcome is unknown: heartbeats and queue tables may be sent again.
            status = 400 if error.status in (400, 422) else 503
            logger.info("control request failed", code=error.code, why=error.detail, status=status)
            await send_json(send, status, {"error": error.code, "detail": error.detail})

    async def _handle_heartbeat(self, worker_id: str, body: bytes, send: Send) -> None:
        await self._relay_heartbeat(decode_heartbeat(worker_id, body))
        await send_json(send, 200)

    async def _handle_deregistration(self, worker_id: str, body: bytes, send: Send) -> None:
        check_worker_id(worker_id)
        worker = jobs_pb2.CalledWorker(id=worker_id, born_ms=decode_born_ms(body))
        await self._relay_heartbeat(peers_pb2.WorkerBeat(worker=worker, leaves=True))
        await send_json(send, 200)

    async def _relay_heartbeat(self, heartbeat: peers_pb2.WorkerBeat) -> None:
        await self._leader.send(
            methods.RELAY_HEARTBEAT,
            peers_pb2.RelayBeatRequest(beat=heartbeat),
            timeout_s=HEARTBEAT_RELAY_TIMEOUT_S,
            is_idempotent=True,
        )

    async def _replace_queue_table(self, _: str, body: bytes, send: Send) -> None:
        table = decode_queue_table(body)
        await self._leader.propose(
            cell_pb2.Command(queue_table=table), timeout_s=QUEUE_TABLE_TIMEOUT_S, is_idempotent=True
        )
        # A table whose version is not above the current one is accepted, but has no effect.
        logger.info("queue table accepted", version=table.version, queues=len(table.queues))
        await send_json(send, 200)

    async def _read_queue_table(self, _: str, body: bytes, send: Send) -> None:
        table = await self._leader.send(
            methods.READ_QUEUES,
            peers_pb2.ReadQueueTableRequest(),
            timeout_s=QUEUE_TABLE_TIMEOUT_S,
            is_idempotent=True,
        )
        if table.version == 0:
            await send_json(send, 503, {"error": NOT_CONFIGURED})
            return
        await send_bytes(send, 200, table.document)
