"""Services that an `Instance` runs while its replica is the leader.

Those of a job cell are in `jobs.leader_services`.
"""

import anyio

from .cell.listeners import StateListener
from .cell.view import CellView
from .exceptions import NotLeaderError
from .models.ids import WorkerId
from .network import methods
from .network.leader_client import LeaderClient
from .replication.leadership import Leadership
from .replication.leadership_watch import run_while_leading, wait_for_leadership_end
from .replication.membership_manager import MembershipManager
from .replication.replica import Replica
from .routing.directory import BackendDirectory
from .routing.share_allocator import ShareAllocator
from .routing.share_client import ShareClient
from .scheduling.housekeeping import Housekeeping
from .scheduling.scheduler import Scheduler
from .schema import cell_pb2, peers_pb2, settings_pb2
from .utils.metrics import Metrics
from .utils.timers import TimerService
from .workers.poll_service import PollService


class PollWaker(StateListener):
    """Wakes the held polls of workers whose tasks change state."""

    def __init__(self, poll_service: PollService) -> None:
        self._poll_service = poll_service

    def on_task(self, record: cell_pb2.Record, task: cell_pb2.Task) -> None:
        """Wake the poll of the task's worker."""
        if task.worker:
            self._poll_service.wake_worker(WorkerId(task.worker))


class LeaderServices:
    """Starts the leader's services at the start of each leadership and stops them at its end."""

    def __init__(
        self,
        *,
        settings: settings_pb2.Settings,
        replica: Replica,
        view: CellView,
        directory: BackendDirectory,
        share_client: ShareClient | None,
        timers: TimerService,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._replica = replica
        self._view = view
        self._directory = directory
        self._share_client = share_client
        self._timers = timers
        self._metrics = metrics
        self._poll_service: PollService | None = None
        self._share_allocator: ShareAllocator | None = None
        self._members = MembershipManager(replica)

    @property
    def members(self) -> MembershipManager:
        """Return the manager of the cell's membership."""
        return self._members

    def register(self, leader: LeaderClient) -> None:
        """Register local handlers for this instance's own requests to the leader."""
        leader.register_local(methods.PROPOSE, self.propose)
        leader.register_local(methods.RELAY_POLL, self.relay_poll)
        leader.register_local(methods.SHARE, self.renew_shares)
        leader.register_local(methods.CHANGE_MEMBERS, self._members.handle_change)

    async def run(self) -> None:
        """Run the services during each leadership, until cancelled."""
        await run_while_leading(self._replica, self._run_services)

    async def _run_services(self, leadership: Leadership) -> None:
        self._poll_service = PollService(
            replica=self._replica,
            view=self._view,
            settings=self._settings,
            timers=self._timers,
            metrics=self._metrics,
        )
        self._share_allocator = ShareAllocator(
            replica=self._replica,
            view=self._view,
            directory=self._directory,
            settings=self._settings,
            timers=self._timers,
        )
        if leadership.is_first:
            self._share_allocator.allow_grants()
        elif self._share_client is not None:
            self._share_allocator.expect_reports(
                self._share_client.instances, listed_at=self._share_client.listed_at
            )
        scheduler = Scheduler(
            replica=self._replica, view=self._view, timers=self._timers, metrics=self._metrics
        )
        housekeeping = Housekeeping(
            replica=self._replica, view=self._view, timers=self._timers, metrics=self._metrics
        )
        listener = PollWaker(self._poll_service)
        self._view.state.subscribe(listener)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(scheduler.run)
                group.start_soon(housekeeping.run)
                group.start_soon(self._poll_service.watch_task_leases)
                group.start_soon(self._members.run)
                await wait_for_leadership_end(self._replica, leadership)
                group.cancel_scope.cancel()
        finally:
            self._view.state.unsubscribe(listener)
            self._poll_service = None
            self._share_allocator = None

    async def propose(self, request: peers_pb2.ProposeRequest) -> cell_pb2.Result:
        """Commit a serialized command from this or another instance, and return its result."""
        return await self._replica.propose(cell_pb2.Command.FromString(request.command))

    async def relay_poll(self, request: peers_pb2.RelayPollRequest) -> peers_pb2.RelayPollAnswer:
        """Answer a worker's poll."""
        if self._poll_service is None:
            raise NotLeaderError("this replica does not run the leader services")
        answer = await self._poll_service.poll(WorkerId(request.worker), request.poll)
        return peers_pb2.RelayPollAnswer(answer=answer)

    async def renew_shares(self, request: peers_pb2.ShareRequest) -> peers_pb2.ShareAnswer:
        """Renew an instance's slot shares."""
        if self._share_allocator is None:
            raise NotLeaderError("this replica does not run the leader services")
        return await self._share_allocator.renew_shares(request)
