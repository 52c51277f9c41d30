"""Worker sessions of a term.

A worker is recorded in the replicated state at its first heartbeat, before any task starts there,
and removed once it has left, or is silent and idle. Commands and logs say enlist and discharge.
"""

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from ..exceptions import DewspindleError, TooManyWorkersError
from ..replication.replica import Replica
from ..schema import cell_pb2, jobs_pb2, peers_pb2
from ..utils.logs import get_logger
from ..utils.timers import TimerService
from .fleet import Fleet, WorkerChange
from .fleet_worker import FleetWorker
from .session import WorkerSession

# Bounds what other writers of heartbeats can add to the cell state.
MAX_WORKERS = 4096
SESSION_RETRY_DELAY_S = 2.0

logger = get_logger(__name__)


class WorkerSessionManager:
    """Records workers on their first heartbeat and runs a session for each."""

    def __init__(
        self,
        *,
        replica: Replica,
        fleet: Fleet,
        timers: TimerService,
        make_session: Callable[[FleetWorker], WorkerSession],
        on_fleet_changed: Callable[[], None],
        on_draining: Callable[[FleetWorker], None],
    ) -> None:
        self._replica = replica
        self._fleet = fleet
        self._timers = timers
        self._make_session = make_session
        self._on_fleet_changed = on_fleet_changed
        self._on_draining = on_draining
        self._sessions: dict[str, WorkerSession] = {}
        self._recording: dict[str, anyio.Event] = {}
        self._group: TaskGroup | None = None

    def open(self, group: TaskGroup) -> None:
        """Use a task group for sessions."""
        self._group = group

    def close(self) -> None:
        """Start no further sessions."""
        self._group = None

    def inherit(
        self, message: jobs_pb2.CalledWorker, *, lease_s: float, recorded_at: float
    ) -> None:
        """Add a worker on which an earlier leader may have started tasks.

        `recorded_at` is when its message was last known to be up to date.
        """
        now = self._timers.now()
        worker = self._fleet.add(message)
        worker.is_draining = message.draining
        worker.is_inherited = True
        worker.last_heartbeat_at = now
        worker.heartbeat_sequence = message.sequence
        # The earlier leader may have waited for the next heartbeat.
        worker.capacity_known_at = recorded_at - self._fleet.heartbeats.interval_s
        worker.lease.assume_granted(now=now, seconds=lease_s)
        self._open_session(worker)

    def _open_session(self, worker: FleetWorker) -> None:
        assert self._group is not None
        session = self._make_session(worker)
        self._sessions[worker.id] = session
        self._group.start_soon(self._run_session, worker, session)

    async def _run_session(self, worker: FleetWorker, session: WorkerSession) -> None:
        """Run a session, again after an unexpected error, which concerns no other worker."""
        while True:
            try:
                await session.run()
            except DewspindleError:
                raise  # Of the log or the leadership, on which all sessions depend.
            except Exception:
                logger.exception("session of a worker failed", worker=worker.id)
                await self._timers.sleep(SESSION_RETRY_DELAY_S)
            else:
                return

    def wake(self, worker_id: str) -> None:
        """Wake the session of a worker."""
        session = self._sessions.get(worker_id)
        if session is not None:
            session.wake()

    def renew_now(self, worker_id: str) -> None:
        """Have a lease renewal sent to a worker at once."""
        session = self._sessions.get(worker_id)
        if session is not None:
            session.renew_now()

    async def handle_heartbeat(self, heartbeat: peers_pb2.WorkerBeat) -> None:
        """Handle a worker's heartbeat, after recording the worker if it is new."""
        worker = self._fleet.get(heartbeat.worker.id)
        if worker is None:
            if heartbeat.leaves:
                return
            worker = await self._record_worker(heartbeat)
            if worker is None:
                return
        now = self._timers.now()
        was_usable = worker.is_usable(now)
        changes = self._fleet.handle_heartbeat(worker, heartbeat, now=now)
        if WorkerChange.LIFE in changes:
            self.renew_now(worker.id)
            return
        if WorkerChange.DRAINS in changes:
            logger.info("worker drains", worker=worker.id, remaining_ms=heartbeat.remaining_ms)
            self._on_draining(worker)
        if changes:
            worker.changes += 1
            self._on_fleet_changed()
        # Also for a repeated heartbeat, whose answer promises the same.
        if worker.recorded_changes < worker.changes:
            await self._record_changes(worker)
        if heartbeat.leaves:  # It has deregistered, unlike one that drains.
            logger.info("worker leaves", worker=worker.id, tasks=len(worker.placements))
            self.wake(worker.id)
        if worker.is_usable(now) and not was_usable:
            self._on_fleet_changed()

    def replay_heartbeat(self, heartbeat: peers_pb2.WorkerBeat) -> None:
        """Handle a heartbeat again that came before the life of its worker was known."""
        if self._group is not None:
            self._group.start_soon(self.handle_heartbeat, heartbeat)

    async def _record_changes(self, worker: FleetWorker) -> None:
        """Record that a worker drains or what capacity it has, for a later leader."""
        changed = jobs_pb2.CalledWorker()
        changed.CopyFrom(worker.message)
        changed.draining = worker.is_draining
        changed.sequence = max(0, worker.heartbeat_sequence)
        number = worker.changes
        command = cell_pb2.Command(enlist_workers=jobs_pb2.EnlistWorkers(workers=[changed]))
        await self._replica.propose(command)
        worker.recorded_changes = max(worker.recorded_changes, number)

    async def _record_worker(self, heartbeat: peers_pb2.WorkerBeat) -> FleetWorker | None:
        """Record a worker in the replicated state before any task starts there."""
        message = jobs_pb2.CalledWorker()
        message.CopyFrom(heartbeat.worker)
        message.sequence = heartbeat.sequence
        while message.id in self._recording:
            await self._recording[message.id].wait()
        known = self._fleet.get(message.id)
        if known is not None:
            return known
        if len(self._fleet) + len(self._recording) >= MAX_WORKERS:
            raise TooManyWorkersError(f"{len(self._fleet)} workers are known, as many as allowed")
        recorded = self._recording[message.id] = anyio.Event()
        try:
            command = cell_pb2.Command(enlist_workers=jobs_pb2.EnlistWorkers(workers=[message]))
            await self._replica.propose(command)
        finally:
            del self._recording[message.id]
            recorded.set()
        worker = self._fleet.get(message.id)
        if worker is None and self._group is not None:
            worker = self._fleet.add(message)
            self._open_session(worker)
            logger.info("worker enlisted", worker=worker.id, pool=message.pool)
            for earlier in self._fleet.find_by_address(message.address, other_than=message.id):
                # If the earlier session sends a renewal, it finds that its worker was replaced. If
                # it is idle, it sends none and ends after `REMOVE_AFTER_S` without heartbeats.
                self.wake(earlier.id)
        return worker

    async def remove_worker(self, worker: FleetWorker) -> None:
        """Remove a worker on which nothing runs any more."""
        self._fleet.remove(worker.id)
        self._sessions.pop(worker.id, None)
        logger.info("worker discharged", worker=worker.id)
        command = cell_pb2.Command(discharge_workers=jobs_pb2.DischargeWorkers(ids=[worker.id]))
        await self._replica.propose(command)
        # It may have been the last worker that was not reconciled.
        self._on_fleet_changed()
