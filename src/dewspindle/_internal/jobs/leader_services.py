"""Services of the leader of a job cell, and the requests that only it answers."""

from typing import Any

import anyio

from ..cell.view import CellView
from ..exceptions import NotLeaderError, OutcomeUnknownError
from ..network import methods
from ..network.leader_client import LeaderClient
from ..network.peer_server import PeerServer
from ..replication.leadership import Leadership
from ..replication.leadership_watch import run_while_leading, wait_for_leadership_end
from ..replication.membership_manager import MembershipManager
from ..replication.replica import Replica
from ..schema import cell_pb2, jobs_pb2, peers_pb2, settings_pb2
from ..utils.logs import get_logger
from ..utils.metrics import Metrics
from ..utils.timers import TimerService
from .advice import AdviceCall
from .dispatch_limits import DispatchLimits
from .dispatcher import JobDispatcher
from .gateway import WorkerGateway
from .helper_registry import HelperRegistry
from .leader_views import LeaderState, View
from .request_handler import JobRequestHandler
from .status_report import TeamReporter
from .team_counters import TeamCounters

logger = get_logger(__name__)


class JobLeaderServices:
    """Runs a dispatcher during each term that this replica leads."""

    def __init__(
        self,
        *,
        settings: settings_pb2.Settings,
        replica: Replica,
        view: CellView,
        gateway: WorkerGateway,
        advise: AdviceCall,
        helpers: HelperRegistry,
        limits: DispatchLimits,
        timers: TimerService,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._replica = replica
        self._view = view
        self._gateway = gateway
        self._advise = advise
        self._helpers = helpers
        self._limits = limits
        self._timers = timers
        self._metrics = metrics
        self._members = MembershipManager(replica)
        self._dispatcher: JobDispatcher | None = None
        self._request_handler: JobRequestHandler | None = None
        self._state: LeaderState | None = None

    @property
    def dispatcher(self) -> JobDispatcher | None:
        """Return the dispatcher of the current term, or None if this replica does not lead."""
        return self._dispatcher

    @property
    def members(self) -> MembershipManager:
        """Return the manager of the cell's membership."""
        return self._members

    def register(self, leader: LeaderClient, server: PeerServer) -> None:
        """Register the handlers of leader requests, for local calls and for the network."""
        for method, handler in (
            (methods.PROPOSE, self._propose),
            (methods.RELAY_JOBS, self._relay_jobs),
            (methods.RELAY_HEARTBEAT, self._relay_heartbeat),
            (methods.READ_QUEUES, self._read_queues),
            (methods.LEAVE, self._members.handle_leave),
        ):
            leader.register_local(method, handler)
            server.register(method, handler)
        server.register(methods.JOIN, self._members.handle_join)
        server.register(methods.CHANGE_MEMBERS, self._members.handle_change)

    async def run(self) -> None:
        """Run the services in each term that this replica leads, until cancelled."""
        await run_while_leading(self._replica, self._lead)

    async def _lead(self, leadership: Leadership) -> None:
        dispatcher = JobDispatcher(
            replica=self._replica,
            view=self._view,
            gateway=self._gateway,
            advise=self._advise,
            list_helpers=self._helpers.list_helpers,
            limits=self._limits,
            timers=self._timers,
            metrics=self._metrics,
            term=leadership.term,
            inherited_state_at=leadership.inherited_state_at,
        )
        store = self._view.state.job_store
        counters = TeamCounters(store=store, timers=self._timers, metrics=self._metrics)
        self._state = LeaderState(
            leadership.term,
            dispatcher,
            TeamReporter(
                store=store,
                fleet=dispatcher.fleet,
                jobs=dispatcher.jobs,
                teams=dispatcher.planner.teams,
                counters=counters,
                timers=self._timers,
            ),
        )
        self._request_handler = JobRequestHandler(
            replica=self._replica,
            view=self._view,
            jobs=dispatcher.jobs,
            admission=dispatcher.admission,
            counters=counters,
            timers=self._timers,
            metrics=self._metrics,
        )
        self._dispatcher = dispatcher
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._run_dispatcher, dispatcher, leadership)
                group.start_soon(self._members.run)
                await wait_for_leadership_end(self._replica, leadership)
                group.cancel_scope.cancel()
        finally:
            self._dispatcher = None
            self._request_handler = None
            self._state = None

    async def _run_dispatcher(self, dispatcher: JobDispatcher, leadership: Leadership) -> None:
        """Run the dispatcher; a proposal that fails on loss of leadership only ends the term."""
        try:
            await dispatcher.run()
        except* (NotLeaderError, OutcomeUnknownError) as errors:
            if leadership.is_leading and not leadership.is_transferring:
                raise
            logger.info("dispatching ended on loss of leadership", why=str(errors.exceptions[0]))

    def _require_leadership(self) -> None:
        if not self._replica.may_act_as_leader:
            raise NotLeaderError("this replica may not act as the leader")

    def make_view(self, view: View) -> Any:
        """Return a view of the current term; raise `NotLeaderError` if this replica leads none."""
        self._require_leadership()
        if self._state is None:
            raise NotLeaderError("this replica has not started its dispatcher")
        return view(self._state)

    async def _propose(self, request: peers_pb2.ProposeRequest) -> cell_pb2.Result:
        """Commit a change that this or another instance proposed."""
        return await self._replica.propose(cell_pb2.Command.FromString(request.command))

    async def _relay_jobs(self, request: peers_pb2.RelayJobsRequest) -> peers_pb2.RelayJobsAnswer:
        self._require_leadership()
        if self._request_handler is None:
            raise NotLeaderError("this replica has not started its dispatcher")
        self._helpers.record_entry_instance(request.helper_address)
        return await self._request_handler.answer(request)

    async def _relay_heartbeat(
        self, request: peers_pb2.RelayBeatRequest
    ) -> peers_pb2.RelayBeatAnswer:
        self._require_leadership()
        if self._dispatcher is None:
            raise NotLeaderError("this replica has not started its dispatcher")
        await self._dispatcher.handle_heartbeat(request.beat)
        return peers_pb2.RelayBeatAnswer(leader_instance=self._settings.instance_id)

    async def _read_queues(self, _: peers_pb2.ReadQueueTableRequest) -> jobs_pb2.QueueTable:
        """Return the queue table, which the leader lease guarantees to be the newest."""
        self._require_leadership()
        return self._view.state.job_store.queue_table
