"""The instance of `dewspindle serve`, which schedules records and routes calls.

The platform's programs build theirs from `job_entry` and `job_replica`.
"""

import random
import signal
from collections.abc import Callable, Coroutine
from typing import Any

import anyio
from anyio.abc import TaskGroup

from .. import __version__
from .cell import appliers  # noqa: F401  # Registers the command appliers.
from .cell.view import CellView
from .http.backend_api import BackendApi
from .http.caller_app import CallerApp
from .http.cell_api import CellApi
from .http.change_handler import ChangeHandler
from .http.health import HealthApi
from .http.operator_app import make_operator_app
from .http.record_api import RecordApi
from .http.server import HttpServer
from .http.worker_api import WorkerApi
from .leader_services import LeaderServices
from .network import methods
from .network.follow_service import FollowService
from .network.leader_client import LeaderClient
from .network.observer import CellObserver
from .network.peer_client import PeerClient
from .network.peer_server import PeerServer
from .replication.disk import Disk
from .replication.formation import Formation
from .replication.replica import Replica, load_context
from .routing.attempts import CallAttempts
from .routing.calls import CallRouter, drain_calls
from .routing.claims import Claims
from .routing.directory import BackendDirectory
from .routing.forwarding import Forwarder
from .routing.limits import CallLimits
from .routing.share_client import ShareClient
from .routing.shares import SlotShares
from .schema import peers_pb2, settings_pb2
from .utils.logs import get_logger
from .utils.metrics import Metrics, initialize_reason_counters
from .utils.refusals import Refusal, RetryReason
from .utils.timers import SystemTimerService, TimerService

logger = get_logger(__name__)


class Instance:
    """Components of one instance: construction, startup and shutdown."""

    def __init__(
        self,
        settings: settings_pb2.Settings,
        *,
        timers: TimerService | None = None,
        rng: random.Random | None = None,
        disk: Disk | None = None,
    ) -> None:
        self._settings = settings
        self._timers = timers or SystemTimerService()
        self._rng = rng or random.Random()
        self._metrics = Metrics(instance=settings.instance_id, zone=settings.availability_zone)
        self._metrics.load()
        initialize_reason_counters(self._metrics, enums=(Refusal, RetryReason))
        self._view = CellView(timers=self._timers, fence_after_s=settings.fence_after_ms / 1000)
        self._peer_client = PeerClient(settings)
        self._peer_server = PeerServer(settings)
        self._leader = LeaderClient(
            own_address=settings.peer_address,
            leader_source=self._view,
            rpc_client=self._peer_client,
            timers=self._timers,
            metrics=self._metrics,
        )
        self._directory = BackendDirectory(settings=settings, timers=self._timers)
        self._shutdown = anyio.Event()
        self._is_closing = False
        self._replica: Replica | None = None
        self._formation: Formation | None = None
        self._leader_services: LeaderServices | None = None
        self._make_routing()
        if settings.data_dir:
            self._make_replica(disk or Disk())
        self._make_servers()

    @property
    def view(self) -> CellView:
        """Return the copy of the cell state."""
        return self._view

    @property
    def replica(self) -> Replica | None:
        """Return the replica, or None on an instance without a data folder."""
        return self._replica

    @property
    def is_ready(self) -> bool:
        """Return whether load balancers should send requests to this instance.

        They should while its state is fresh, a leader has once admitted it for slot shares, and
        it is not shutting down. An instance that is not ready still answers requests.
        """
        is_serving = self._view.is_fresh and self._share_client.is_admitted
        return is_serving and not self._is_closing

    def _make_routing(self) -> None:
        settings, timers = self._settings, self._timers
        self._shares = SlotShares(
            settings=settings, directory=self._directory, timers=timers, rng=self._rng
        )
        self._share_client = ShareClient(
            settings=settings,
            view=self._view,
            directory=self._directory,
            shares=self._shares,
            leader=self._leader,
            timers=timers,
            is_ready=lambda: self.is_ready,
            version=__version__,
        )
        self._claims = Claims(
            settings=settings, view=self._view, leader=self._leader, timers=timers
        )
        self._forwarder = Forwarder(settings)
        limits = CallLimits(
            settings=settings,
            view=self._view,
            timers=timers,
            count_instances=lambda: sum(s.ready for s in self._share_client.instances),
        )
        attempts = CallAttempts(
            settings=settings,
            directory=self._directory,
            shares=self._shares,
            limits=limits,
            forwarder=self._forwarder,
            timers=timers,
            metrics=self._metrics,
        )
        self._router = CallRouter(
            settings=settings,
            view=self._view,
            claims=self._claims,
            limits=limits,
            attempts=attempts,
            timers=timers,
            metrics=self._metrics,
        )

    def _make_replica(self, disk: Disk) -> None:
        context = load_context(
            settings=self._settings,
            timers=self._timers,
            transport=self._peer_client,
            view=self._view,
            rng=self._rng,
            disk=disk,
        )
        self._replica = Replica(context)
        self._formation = Formation(context)
        self._leader_services = LeaderServices(
            settings=self._settings,
            replica=self._replica,
            view=self._view,
            directory=self._directory,
            share_client=self._share_client,
            timers=self._timers,
            metrics=self._metrics,
        )
        self._leader_services.register(self._leader)
        self._register_replica_methods(self._replica, self._formation, self._leader_services)

    def _register_replica_methods(
        self, replica: Replica, formation: Formation, leader_services: LeaderServices
    ) -> None:
        server = self._peer_server
        handlers = replica.handlers
        follow = FollowService(replica, timers=self._timers)
        server.register(methods.VOTE, handlers.handle_vote)
        server.register(methods.APPEND, handlers.handle_append)
        server.register(methods.SNAPSHOT, handlers.handle_snapshot)
        server.register(methods.TRANSFER, handlers.handle_transfer)
        server.register(methods.HELLO, formation.handle_hello)
        server.register(methods.FORM, formation.handle_form)
        server.register(methods.JOIN, leader_services.members.handle_join)
        server.register(methods.CHANGE_MEMBERS, leader_services.members.handle_change)
        server.register(methods.FOLLOW, follow.follow)
        server.register(methods.PROPOSE, leader_services.propose)
        server.register(methods.RELAY_POLL, leader_services.relay_poll)
        server.register(methods.SHARE, leader_services.renew_shares)

    async def _handle_hello_without_replica(
        self, _: peers_pb2.HelloRequest
    ) -> peers_pb2.HelloAnswer:
        """Answer a hello on an instance without a data folder."""
        return peers_pb2.HelloAnswer(
            instance_id=self._settings.instance_id, leader_address=self._view.leader_address
        )

    def _make_servers(self) -> None:
        change_handler = ChangeHandler(
            settings=self._settings,
            view=self._view,
            leader=self._leader,
            timers=self._timers,
            metrics=self._metrics,
        )
        health_api = HealthApi(is_ready=lambda: self.is_ready, metrics=self._metrics)
        cell_api = CellApi(
            settings=self._settings,
            view=self._view,
            change_handler=change_handler,
            leader=self._leader,
            directory=self._directory,
            share_client=self._share_client,
            timers=self._timers,
            begin_shutdown=self.begin_shutdown,
            save_snapshot=self._replica.save_snapshot if self._replica else None,
        )
        operator_app = make_operator_app(
            record_api=RecordApi(view=self._view, change_handler=change_handler),
            cell_api=cell_api,
            health_api=health_api,
        )
        self._worker_api = WorkerApi(settings=self._settings, leader=self._leader)
        caller_app = CallerApp(
            router=self._router,
            worker_api=self._worker_api,
            backend_api=BackendApi(
                settings=self._settings, directory=self._directory, shares=self._shares
            ),
            health_api=health_api,
        )
        self._http_servers = [
            HttpServer(operator_app, address=self._settings.operator_address),
            HttpServer(caller_app, address=self._settings.http_address),
        ]

    def begin_shutdown(self) -> None:
        """Start a graceful shutdown."""
        self._shutdown.set()

    async def run(self) -> None:
        """Run until a graceful shutdown has completed, or raise if the instance fails."""
        if self._replica is None:
            self._peer_server.register(methods.HELLO, self._handle_hello_without_replica)
        await self._peer_server.start()
        logger.info(
            "instance started",
            http=self._settings.http_address,
            operator=self._settings.operator_address,
            replica=self._replica is not None,
        )
        try:
            async with anyio.create_task_group() as group:
                for run in self._list_tasks():
                    group.start_soon(run)
                await self._shutdown.wait()
                await self._shut_down()
                group.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True):
                await self._close()

    async def _close(self) -> None:
        await self._peer_server.stop()
        await self._peer_client.close()
        await self._forwarder.close()
        if self._replica is not None:
            self._replica.close()

    def _list_tasks(self) -> list[Callable[[], Coroutine[Any, Any, None]]]:
        tasks: list[Callable[[], Coroutine[Any, Any, None]]] = [
            self._share_client.run,
            self._claims.run,
            *(server.run for server in self._http_servers),
        ]
        if self._replica is not None and self._leader_services is not None:
            tasks += [self._run_replica, self._leader_services.run]
        else:
            tasks.append(self._run_observer)
        return tasks

    async def _run_replica(self) -> None:
        assert self._formation is not None
        assert self._replica is not None
        await self._formation.run()
        await self._replica.run()

    async def _run_observer(self) -> None:
        observer = CellObserver(
            settings=self._settings,
            view=self._view,
            rpc_client=self._peer_client,
            timers=self._timers,
            rng=self._rng,
        )
        await observer.run()

    async def _shut_down(self) -> None:
        """Shut down gracefully.

        Report not ready for the ready delay, then refuse new calls and drain those in progress
        up to the drain timeout. Then give back the slots, transfer the leadership and stop the
        servers.
        """
        logger.info("shutting down", open_calls=self._router.open_calls)
        self._is_closing = True
        self._router.begin_closing()
        await self._timers.sleep(self._settings.ready_delay_ms / 1000)
        self._router.begin_refusing()
        is_drained = await drain_calls(
            self._router, timers=self._timers, timeout_s=self._settings.drain_timeout_ms / 1000
        )
        if not is_drained:
            logger.warning("drain timeout reached; aborting calls", count=self._router.open_calls)
        await self._share_client.leave()
        if self._replica is not None and self._replica.leadership is not None:
            await self._replica.transfer_leadership()
            # The next leader may still count slots as held by this instance, so it gives them
            # back there as well.
            await self._share_client.leave()
        self._worker_api.release_held_polls()
        for server in self._http_servers:
            server.stop()
        for server in self._http_servers:
            await server.stopped.wait()
        logger.info("shutdown complete")


async def watch_signals(instance: Instance, group: TaskGroup) -> None:
    """Start a graceful shutdown on the first signal, and exit immediately on the second."""
    is_shutting_down = False
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            if is_shutting_down:
                logger.warning("second signal received; exiting immediately")
                group.cancel_scope.cancel()
                return
            is_shutting_down = True
            instance.begin_shutdown()


async def run_instance(settings: settings_pb2.Settings) -> None:
    """Run an instance that shuts down on SIGTERM or SIGINT."""
    instance = Instance(settings)
    async with anyio.create_task_group() as group:
        group.start_soon(watch_signals, instance, group)
        await instance.run()
        group.cancel_scope.cancel()
