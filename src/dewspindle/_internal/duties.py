"""What an instance does while its replica leads."""

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
from .routing.share_board import ShareBoard
from .routing.share_client import ShareClient
from .scheduling.housekeeping import Housekeeping
from .scheduling.scheduler import Scheduler
from .schema import cell_pb2, peers_pb2, settings_pb2
from .utils.metrics import Metrics
from .utils.timers import TimerService
from .workers.links import WorkerLinks


class TaskListener(StateListener):
    """Wakes the held polls of workers whose tasks changed."""

    def __init__(self, links: WorkerLinks) -> None:
        self._links = links

    def on_task(self, record: cell_pb2.Record, task: cell_pb2.Task) -> None:
        """Wake the worker of a task."""
        if task.worker:
            self._links.wake_worker(WorkerId(task.worker))


class LeaderDuties:
    """Starts the leader's parts with each term that is led, and ends them with it."""

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
        self._links: WorkerLinks | None = None
        self._board: ShareBoard | None = None
        self._members = MembershipManager(replica)

    @property
    def members(self) -> MembershipManager:
        """Return the keeper of the members."""
        return self._members

    def register(self, leader: LeaderClient) -> None:
        """Answer this instance's own requests to the leader without the network."""
        leader.register_local(methods.PROPOSE, self.propose)
        leader.register_local(methods.RELAY_POLL, self.relay_poll)
        leader.register_local(methods.SHARE, self.share)
        leader.register_local(methods.CHANGE_MEMBERS, self._members.handle_change)

    async def run(self) -> None:
        """Take up the lead again and again, until cancelled."""
        await run_while_leading(self._replica, self._lead)

    async def _lead(self, leadership: Leadership) -> None:
        self._links = WorkerLinks(
            replica=self._replica,
            view=self._view,
            settings=self._settings,
            timers=self._timers,
            metrics=self._metrics,
        )
        self._board = ShareBoard(
            replica=self._replica,
            view=self._view,
            directory=self._directory,
            settings=self._settings,
            timers=self._timers,
        )
        if leadership.is_first:
            self._board.mark_safe()
        elif self._share_client is not None:
            self._board.expect(self._share_client.instances, listed_at=self._share_client.listed_at)
        scheduler = Scheduler(
            replica=self._replica, view=self._view, timers=self._timers, metrics=self._metrics
        )
        housekeeping = Housekeeping(
            replica=self._replica, view=self._view, timers=self._timers, metrics=self._metrics
        )
        listener = TaskListener(self._links)
        self._view.state.subscribe(listener)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(scheduler.run)
                group.start_soon(housekeeping.run)
                group.start_soon(self._links.watch_leases)
                group.start_soon(self._members.run)
                await wait_for_leadership_end(self._replica, leadership)
                group.cancel_scope.cancel()
        finally:
            self._view.state.unsubscribe(listener)
            self._links = None
            self._board = None

    async def propose(self, request: peers_pb2.ProposeRequest) -> cell_pb2.Result:
        """Commit a change that came from this or another instance."""
        return await self._replica.propose(cell_pb2.Command.FromString(request.command))

    async def relay_poll(self, request: peers_pb2.RelayPollRequest) -> peers_pb2.RelayPollAnswer:
        """Answer a worker's poll."""
        if self._links is None:
            raise NotLeaderError("this replica does not lead")
        answer = await self._links.poll(WorkerId(request.worker), request.poll)
        return peers_pb2.RelayPollAnswer(answer=answer)

    async def share(self, request: peers_pb2.ShareRequest) -> peers_pb2.ShareAnswer:
        """Renew an instance's slot shares."""
        if self._board is None:
            raise NotLeaderError("this replica does not lead")
        return await self._board.share(request)
