"""What the leader of a cell that runs jobs does, and the requests that only it answers."""

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
from .dispatcher import DispatchLimits, JobDispatcher
from .gateway import WorkerGateway
from .helpers import HelperBook
from .intake import JobIntake

logger = get_logger(__name__)


class JobDuties:
    """Starts the dispatcher with each term that is led, and ends it with the term."""

    def __init__(
        self,
        *,
        settings: settings_pb2.Settings,
        replica: Replica,
        view: CellView,
        gateway: WorkerGateway,
        advise: AdviceCall,
        helpers: HelperBook,
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
        self._intake: JobIntake | None = None

    @property
    def dispatcher(self) -> JobDispatcher | None:
        """Return the dispatcher of the term that is led, if any."""
        return self._dispatcher

    @property
    def members(self) -> MembershipManager:
        """Return the keeper of the members."""
        return self._members

    def register(self, leader: LeaderClient, server: PeerServer) -> None:
        """Answer the requests that go to the leader, with or without the network."""
        for method, handler in (
            (methods.PROPOSE, self._propose),
            (methods.RELAY_JOBS, self._relay_jobs),
            (methods.RELAY_BEAT, self._relay_beat),
            (methods.READ_QUEUES, self._read_queues),
        ):
            leader.register_local(method, handler)
            server.register(method, handler)
        server.register(methods.JOIN, self._members.handle_join)
        server.register(methods.CHANGE_MEMBERS, self._members.handle_change)

    async def run(self) -> None:
        """Take up the lead again and again, until cancelled."""
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
        )
        self._intake = JobIntake(
            replica=self._replica,
            view=self._view,
            dispatcher=dispatcher,
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
            self._intake = None

    async def _run_dispatcher(self, dispatcher: JobDispatcher, leadership: Leadership) -> None:
        """Run the dispatcher; a proposal that failed with the lead only ends the term."""
        try:
            await dispatcher.run()
        except* (NotLeaderError, OutcomeUnknownError) as errors:
            if leadership.is_leading and not leadership.is_transferring:
                raise
            logger.info("dispatching ended with the lead", why=str(errors.exceptions[0]))

    def _check_lease(self) -> None:
        if not self._replica.holds_lease:
            raise NotLeaderError("this replica does not hold the leader lease")

    async def _propose(self, request: peers_pb2.ProposeRequest) -> cell_pb2.Result:
        """Commit a change that came from this or another instance."""
        return await self._replica.propose(cell_pb2.Command.FromString(request.command))

    async def _relay_jobs(self, request: peers_pb2.RelayJobsRequest) -> peers_pb2.RelayJobsAnswer:
        self._check_lease()
        if self._intake is None:
            raise NotLeaderError("this replica does not dispatch yet")
        self._helpers.note_entry(request.helper_address)
        return await self._intake.answer(request)

    async def _relay_beat(self, request: peers_pb2.RelayBeatRequest) -> peers_pb2.RelayBeatAnswer:
        self._check_lease()
        if self._dispatcher is None:
            raise NotLeaderError("this replica does not dispatch yet")
        await self._dispatcher.take_beat(request.beat)
        return peers_pb2.RelayBeatAnswer(leader_instance=self._settings.instance_id)

    async def _read_queues(self, _: peers_pb2.ReadQueueTableRequest) -> jobs_pb2.QueueTable:
        """Return the newest table, under the lease that makes it the newest."""
        self._check_lease()
        return self._view.state.job_store.queue_table
