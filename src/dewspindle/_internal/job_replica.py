"""Replica instance of a job cell (process role `cell`)."""

import random

import anyio

from .cell import appliers  # noqa: F401  # Registers the command appliers.
from .cell.view import CellView
from .exceptions import DewspindleError
from .http.server import HttpServer
from .job_instance import LEADER_ATTEMPT_TIMEOUT_S, stop_servers
from .jobs.advice_helper import AdviceHelper
from .jobs.dispatch_limits import DispatchLimits
from .jobs.gateway import AdvisorGateway, WorkerGateway
from .jobs.helper_registry import HelperRegistry
from .jobs.leader_services import JobLeaderServices
from .network import methods
from .network.leader_client import LeaderClient
from .network.peer_client import PeerClient
from .network.peer_server import PeerServer
from .replication.address_book import AddressBook
from .replication.formation import Formation
from .replication.replica import Replica, load_context
from .schema import peers_pb2, settings_pb2
from .utils.logs import get_logger
from .utils.metrics import Metrics
from .utils.timers import TimerService

LEAVE_TIMEOUT_S = 1.5  # An election, and the announcement to the next leader.

logger = get_logger(__name__)


class JobReplicaInstance:
    """A replica of the cell that accepts workers' heartbeats and the queue table, and may lead."""

    def __init__(
        self,
        settings: settings_pb2.Settings,
        *,
        gateway: WorkerGateway,
        advisor: AdvisorGateway | None,
        limits: DispatchLimits,
        timers: TimerService,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._timers = timers
        self._gateway = gateway
        self._advice_helper = AdviceHelper(advisor)
        self._view = CellView(timers=timers, fence_after_s=settings.fence_after_ms / 1000)
        self._peer_client = PeerClient(settings)
        self._peer_server = PeerServer(settings)
        self._address_book = AddressBook(settings)
        self._leader = LeaderClient(
            own_address=settings.peer_address,
            leader_source=self._view,
            rpc_client=self._peer_client,
            timers=timers,
            metrics=metrics,
            attempt_timeout_s=LEADER_ATTEMPT_TIMEOUT_S,
        )
        context = load_context(
            settings=settings,
            timers=timers,
            transport=self._peer_client,
            view=self._view,
            rng=rng,
        )
        self._replica = Replica(context)
        self._formation = Formation(context, address_book=self._address_book)
        self._leader_services = JobLeaderServices(
            settings=settings,
            replica=self._replica,
            view=self._view,
            gateway=gateway,
            advise=self._call_advisor,
            helpers=HelperRegistry(
                own_address=settings.peer_address,
                list_replicas=self._list_live_replicas,
                timers=timers,
            ),
            limits=limits,
            timers=timers,
            metrics=metrics,
        )
        self._shutdown = anyio.Event()
        self._servers: list[HttpServer] = []
        self._register()

    @property
    def leader(self) -> LeaderClient:
        """Return the client for requests to the current leader."""
        return self._leader

    @property
    def address_book(self) -> AddressBook:
        """Return the known addresses of replicas, to which the program adds changed seeds."""
        return self._address_book

    @property
    def leader_services(self) -> JobLeaderServices:
        """Return the services that run while this replica leads."""
        return self._leader_services

    def find_other_leader(self) -> str:
        """Return the peer address of the last known leader, empty if it is this replica."""
        address = self._view.leader_address
        return "" if address == self._settings.peer_address else address

    def add_server(self, server: HttpServer) -> None:
        """Add an HTTP server that runs with the instance."""
        self._servers.append(server)

    def _register(self) -> None:
        handlers = self._replica.handlers
        self._peer_server.register(methods.VOTE, handlers.handle_vote)
        self._peer_server.register(methods.APPEND, handlers.handle_append)
        self._peer_server.register(methods.SNAPSHOT, handlers.handle_snapshot)
        self._peer_server.register(methods.TRANSFER, handlers.handle_transfer)
        self._peer_server.register(methods.HELLO, self._answer_hello)
        self._peer_server.register(methods.FORM, self._formation.handle_form)
        self._advice_helper.register(self._peer_server)
        self._leader_services.register(self._leader, self._peer_server)

    async def _answer_hello(self, request: peers_pb2.HelloRequest) -> peers_pb2.HelloAnswer:
        answer = await self._formation.handle_hello(request)
        # Requests are sent to the replica that leads, so its dispatcher must have started.
        answer.leads = (
            self._replica.may_act_as_leader and self._leader_services.dispatcher is not None
        )
        return answer

    async def _call_advisor(
        self, helper: str, request: peers_pb2.AdviseRequest
    ) -> peers_pb2.AdviseAnswer:
        if helper == self._settings.peer_address:
            return await self._advice_helper.answer(request)
        return await self._peer_client.call(
            helper, methods.ADVISE, request, timeout_s=request.timeout_ms / 1000
        )

    def _list_live_replicas(self) -> list[str]:
        """Return the other replicas that answered the leader within the election timeout."""
        leadership = self._replica.leadership
        if leadership is None:
            return []
        now = self._timers.now()
        alive_s = self._settings.election_timeout_ms / 1000
        return [
            link.peer.address
            for link in leadership.links.values()
            if now - link.confirmed_at < alive_s
        ]

    def begin_shutdown(self) -> None:
        """Begin a graceful shutdown."""
        self._shutdown.set()

    async def run(self) -> None:
        """Run until a graceful shutdown has ended; raise if the instance cannot continue."""
        await self._peer_server.start()
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._run_replica)
                group.start_soon(self._leader_services.run)
                for server in self._servers:
                    group.start_soon(server.run)
                await self._shutdown.wait()
                with anyio.move_on_after(self._settings.drain_timeout_ms / 1000):
                    async with anyio.create_task_group() as closing:
                        closing.start_soon(self._replica.transfer_leadership)
                        closing.start_soon(self._announce_leaving)
                        closing.start_soon(stop_servers, self._servers)
                group.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True):
                await self._peer_server.stop()
                await self._peer_client.close()
                await self._gateway.close()
                await self._advice_helper.close()
                self._replica.close()

    async def _announce_leaving(self) -> None:
        """Tell the leader, after a transfer the next one, that this replica ends."""
        request = peers_pb2.LeaveRequest(replica_id=self._replica.context.replica_id)
        try:
            await self._leader.send(
                methods.LEAVE, request, timeout_s=LEAVE_TIMEOUT_S, is_idempotent=True
            )
        except DewspindleError as error:
            logger.info("departure not announced", why=str(error))

    async def _run_replica(self) -> None:
        await self._formation.run()
        async with anyio.create_task_group() as group:
            group.start_soon(self._formation.rejoin_when_removed)
            group.start_soon(self._replica.run)
