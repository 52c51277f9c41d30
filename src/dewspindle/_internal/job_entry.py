"""Entry instance of a job cell (process role `entry`), which accepts callers' requests."""

import random

import anyio

from .http.server import HttpServer
from .job_instance import LEADER_ATTEMPT_TIMEOUT_S, stop_servers
from .jobs.advice_helper import AdviceHelper
from .jobs.gateway import AdvisorGateway
from .jobs.relay import JobRelay
from .network.leader_client import LeaderClient
from .network.leader_tracker import LeaderTracker
from .network.peer_client import PeerClient
from .network.peer_server import PeerServer
from .replication.address_book import AddressBook
from .schema import settings_pb2
from .utils.metrics import Metrics
from .utils.timers import TimerService


class JobEntryInstance:
    """A stateless instance that relays callers' requests to the leader."""

    def __init__(
        self,
        settings: settings_pb2.Settings,
        *,
        advisor: AdvisorGateway | None,
        timers: TimerService,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._timers = timers
        self._peer_client = PeerClient(settings)
        self._peer_server = PeerServer(settings)
        self._advice_helper = AdviceHelper(advisor)
        self._advice_helper.register(self._peer_server)
        self._address_book = AddressBook(settings)
        self._tracker = LeaderTracker(
            settings=settings,
            address_book=self._address_book,
            rpc_client=self._peer_client,
            timers=timers,
            rng=rng,
        )
        leader = LeaderClient(
            own_address="",  # Never the leader's, so each request goes over the network.
            leader_source=self._tracker,
            rpc_client=self._peer_client,
            timers=timers,
            metrics=metrics,
            attempt_timeout_s=LEADER_ATTEMPT_TIMEOUT_S,
        )
        self._relay = JobRelay(
            leader,
            timers=timers,
            metrics=metrics,
            helper_address=settings.peer_address if advisor else "",
        )
        self._shutdown = anyio.Event()
        self._servers: list[HttpServer] = []

    @property
    def relay(self) -> JobRelay:
        """Return the relay of requests to the leader."""
        return self._relay

    @property
    def address_book(self) -> AddressBook:
        """Return the known addresses of replicas, to which the program adds changed seeds."""
        return self._address_book

    @property
    def is_ready(self) -> bool:
        """Return whether new connections may be sent here."""
        return self._tracker.is_connected and not self._shutdown.is_set()

    def add_server(self, server: HttpServer) -> None:
        """Add an HTTP server that runs with the instance."""
        self._servers.append(server)

    def begin_shutdown(self) -> None:
        """Begin a graceful shutdown."""
        self._shutdown.set()

    async def run(self) -> None:
        """Run until a graceful shutdown has ended."""
        await self._peer_server.start()
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._tracker.run)
                group.start_soon(self._relay.run)
                for server in self._servers:
                    group.start_soon(server.run)
                await self._shutdown.wait()
                # Callers connect until the load balancer has seen that this instance is not ready.
                await self._timers.sleep(self._settings.ready_delay_ms / 1000)
                with anyio.move_on_after(self._settings.drain_timeout_ms / 1000):
                    await stop_servers(self._servers)
                group.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True):
                await self._peer_server.stop()
                await self._peer_client.close()
                await self._advice_helper.close()
