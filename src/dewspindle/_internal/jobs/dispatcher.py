"""The leader's job dispatcher: manages worker sessions and open jobs, and sends orders."""

from collections.abc import Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup

from ..cell.jobs import StoredJob
from ..cell.listeners import StateListener
from ..cell.view import CellView
from ..replication.replica import Replica
from ..scheduling.admission import AdmissionControl
from ..scheduling.slowdowns import Slowdowns
from ..scheduling.start_pacing import StartPacer
from ..schema import cell_pb2, jobs_pb2, peers_pb2
from ..utils.logs import get_logger
from ..utils.metrics import Metrics
from ..utils.timers import TimerService
from .advice import AdviceCall, AdviceClient, StepKey
from .contained_gateway import ContainedGateway
from .dispatch_limits import DispatchLimits
from .end_reporter import EndReporter
from .fleet import Fleet
from .fleet_worker import FleetWorker, SuspensionCause
from .gateway import OrderOutcome, WorkerGateway
from .helper_registry import Helper
from .load_report import LoadReport
from .open_jobs import OpenJobs
from .orders import OrderSender
from .placements import Placement, PlacementPhase
from .planning import JobPlanner
from .planning_loop import PlanningLoop
from .planning_round import PlannedStart
from .runs import JobRun, UnitRun
from .session import WorkerSession
from .session_manager import WorkerSessionManager
from .task_events import TaskEvents

REJECTED_RETRY_DELAY_S = 0.1  # Before a retry after a worker rejected the start.
HAND_OVER_RETRY_DELAY_S = 5.0  # Between two attempts to transfer the leadership.
EXPIRE_INTERVAL_S = 10.0

logger = get_logger(__name__)


class JobDispatcher(StateListener):
    """Runs the open jobs during one term of the leader."""

    def __init__(
        self,
        *,
        replica: Replica,
        view: CellView,
        gateway: WorkerGateway,
        advise: AdviceCall,
        list_helpers: Callable[[], list[Helper]],
        limits: DispatchLimits,
        timers: TimerService,
        metrics: Metrics,
        term: int,
        inherited_state_at: float,
    ) -> None:
        self._replica = replica
        self._view = view
        self._gateway = ContainedGateway(gateway)
        self._limits = limits
        self._timers = timers
        self._metrics = metrics
        self._term = term
        self._inherited_state_at = inherited_state_at
        self._fleet = Fleet(limits.heartbeats)
        self._sessions = WorkerSessionManager(
            replica=replica,
            fleet=self._fleet,
            timers=timers,
            make_session=self._make_session,
            on_fleet_changed=self.wake_planner,
            on_draining=self._evict_from_draining,
        )
        self._jobs = OpenJobs(view.state.job_store)
        self._reporter = EndReporter(replica)
        self._advice = AdviceClient(
            list_helpers=list_helpers,
            call=advise,
            timers=timers,
            metrics=metrics,
            on_answer=self._handle_advice,
        )
        self._planner = JobPlanner(
            fleet=self._fleet,
            advice=self._advice,
            store=view.state.job_store,
            timers=timers,
            slowdowns=Slowdowns(
                timers=timers, metrics=metrics, is_enabled=limits.avoids_interference
            ),
        )
        self._orders = OrderSender(
            gateway=self._gateway,
            fleet=self._fleet,
            timers=timers,
            metrics=metrics,
            fencing_token=term,
            lease_s=limits.lease_s,
            wake_session=self._sessions.wake,
            renew_now=self._sessions.renew_now,
            may_act=self._may_act,
            on_accepted=lambda placement: self._events.record_running(placement),
            on_rejected=self._requeue_rejected,
        )
        self._events = TaskEvents(
            jobs=self._jobs,
            fleet=self._fleet,
            planner=self._planner,
            orders=self._orders,
            timers=timers,
            metrics=metrics,
            may_act=self._may_act,
            may_adopt=lambda: not self._workers_reconciled,
            wake_planner=self.wake_planner,
            remove_worker=self._sessions.remove_worker,
            replay_heartbeat=self._sessions.replay_heartbeat,
            term=term,
        )
        self._pacer = StartPacer(is_enabled=limits.paces_starts)
        self._load = LoadReport(
            measure_work=self._measure_load,
            timers=timers,
            metrics=metrics,
            on_lag=self._record_lag,
        )
        self._planning = PlanningLoop(
            planner=self._planner,
            advice=self._advice,
            pacer=self._pacer,
            load=self._load,
            timers=timers,
            early_ms=limits.early_ms,
            may_act=self._may_act,
            check_reconciled=self._check_reconciled,
            start=self._start_unit,
        )
        self._workers_reconciled = False
        self._group: TaskGroup | None = None

    def _may_act(self) -> bool:
        return self._replica.may_act_as_leader

    async def run(self) -> None:
        """Dispatch until cancelled."""
        self._view.state.subscribe(self)
        try:
            async with anyio.create_task_group() as group:
                self._group = group
                self._sessions.open(group)
                self._orders.open(group)
                self._advice.start(group)
                self._load_state()
                group.start_soon(self._reporter.run)
                group.start_soon(self._expire_jobs)
                group.start_soon(self._load.run)
                await self._planning.run()
        finally:
            self._group = None
            self._sessions.close()
            self._orders.close()
            self._view.state.unsubscribe(self)

    def _load_state(self) -> None:
        """Load replicated workers and jobs; the workers themselves report which tasks run."""
        for message in self._view.state.job_store.workers.values():
            self._sessions.inherit(
                message, lease_s=self._limits.lease_s, recorded_at=self._inherited_state_at
            )
        for stored in self._view.state.job_store.jobs.values():
            if stored.is_open:
                self._add_run(stored, is_inherited=True)
            elif self._may_still_run(stored):
                self._planner.teams.add_ended(stored)
        logger.info(
            "dispatching", term=self._term, workers=len(self._fleet), open_jobs=len(self._jobs)
        )

    def _may_still_run(self, stored: StoredJob) -> bool:
        """Return whether tasks of an ended job may run on under a lease of an earlier leader."""
        age_s = (self._view.state.at_ms - stored.message.ended_ms) / 1000
        lease_s = max(self._limits.lease_s, self._limits.max_lease_s)
        return stored.message.state != jobs_pb2.JOB_SUCCEEDED and age_s < lease_s

    def _make_session(self, worker: FleetWorker) -> WorkerSession:
        return WorkerSession(
            worker,
            gateway=self._gateway,
            owner=self._events,
            reporter=self._reporter,
            timers=self._timers,
            fencing_token=self._term,
            lease_s=self._limits.lease_s,
            max_lease_s=max(self._limits.lease_s, self._limits.max_lease_s),
        )

    def _add_run(self, stored: StoredJob, *, is_inherited: bool) -> JobRun:
        age_s = max(0, self._timers.wall_ms() - stored.message.accepted_ms) / 1000
        run = JobRun(
            stored,
            queue=self._view.state.job_store.get_current_queue(stored),
            accepted_at=self._timers.now() - (age_s if is_inherited else 0.0),
            is_inherited=is_inherited,
        )
        self._jobs.add(run)
        self._planner.add(run)
        return run

    @property
    def jobs(self) -> OpenJobs:
        """Return the open jobs."""
        return self._jobs

    @property
    def fleet(self) -> Fleet:
        """Return the called workers."""
        return self._fleet

    @property
    def planner(self) -> JobPlanner:
        """Return the planner of the waiting steps."""
        return self._planner

    @property
    def admission(self) -> AdmissionControl:
        """Return the control of submissions."""
        return self._planner.teams.admission

    # Changes of the replicated state.

    def on_job(self, job: StoredJob) -> None:
        """Run a job that was accepted, or stop the tasks of one that ended."""
        if job.is_open:
            self._add_run(job, is_inherited=False)
        else:
            self._end_run(job)
        self.wake_planner()

    def on_queues(self) -> None:
        """Plan again after a change of the queue table.

        Accepted jobs use the new pool and advisor at once, but keep the priority and the maximum
        number of attempts of their acceptance. Their target latency changes with the next leader.
        """
        self.wake_planner()

    def _end_run(self, job: StoredJob) -> None:
        run = self._jobs.pop(job.id)
        if run is None:
            return
        self._planner.remove(run)
        state = jobs_pb2.JobState.Name(job.message.state).removeprefix("JOB_").lower()
        age_s = self._timers.now() - run.latency_target.accepted_at
        logger.info("job ended", job=job.id, state=state, age_s=round(age_s, 3))
        self._metrics.record("dewspindle_job_seconds", age_s, state=state)
        if job.message.state == jobs_pb2.JOB_SUCCEEDED:
            return
        for unit in run.list_units():
            for placement in list(unit.placements.values()):
                self._orders.stop(placement, reason="the job ended")

    # Heartbeats of workers.

    async def handle_heartbeat(self, heartbeat: peers_pb2.WorkerBeat) -> None:
        """Handle a worker's heartbeat, after recording the worker if it is new."""
        await self._sessions.handle_heartbeat(heartbeat)

    def _evict_from_draining(self, worker: FleetWorker) -> None:
        """Stop tasks that would not end before a worker leaves, so that they continue elsewhere."""
        now = self._timers.now()
        for placement in list(worker.placements.values()):
            remaining_s = placement.placed_at + placement.estimate_s - now
            is_under_way = placement.phase in (PlacementPhase.STARTING, PlacementPhase.RUNNING)
            if is_under_way and now + remaining_s > worker.drain_ends_at:
                self._orders.stop(
                    placement, reason="its worker leaves before the estimated end of the task"
                )

    # Planning.

    def wake_planner(self) -> None:
        """Trigger a planning round."""
        self._planning.wake()

    def _handle_advice(self, key: StepKey) -> None:
        self._planner.record_advised(key)
        self.wake_planner()

    def _record_lag(self, lag_s: float) -> None:
        self._pacer.record_lag(lag_s, now=self._timers.now())

    def _measure_load(self) -> dict[str, Any]:
        return {
            **self._planner.measure_load(),
            **self._advice.take_load(),
            **self._pacer.take_load(),
        }

    def _check_reconciled(self) -> bool:
        """Release inherited jobs once all workers are reconciled; return whether they are.

        Each of them has then listed its tasks, or its lease has expired.
        """
        if self._workers_reconciled:
            return True
        if any(worker.may_hold_inherited_work for worker in self._fleet):
            return False
        self._workers_reconciled = True
        logger.info("inherited work is known", term=self._term)
        for run in self._jobs:
            for unit in run.list_units():
                if unit.placements and len(unit.placements) < unit.unit.size:
                    for placement in list(unit.placements.values()):
                        self._orders.stop(placement, reason="members of the gang are missing")
        return True

    # Orders.

    def _start_unit(self, start: PlannedStart) -> None:
        unit, step = start.unit, start.unit.step
        attempt = unit.allocate_attempt(term=self._term)
        now = self._timers.now()
        if attempt is None:
            self._hand_over(unit)
            return
        # One line for a whole gang; `waited_s` counts from the acceptance of the job for each step.
        logger.info(
            "task placed",
            job=step.run.stored.id,
            step=step.index,
            position=unit.unit.first_position,
            size=unit.unit.size,
            attempt=attempt,
            workers=sorted(set(start.workers.values())),
            waited_s=round(now - step.run.latency_target.accepted_at, 3),
        )
        # Counts start orders, also those that a worker then rejects.
        self._metrics.count("dewspindle_starts", unit.unit.size)
        for position, worker_id in start.workers.items():
            worker = self._fleet.get(worker_id)
            assert worker is not None
            placement = unit.place(
                position, worker, attempt=attempt, phase=PlacementPhase.STARTING, now=now
            )
            self._orders.start(
                placement,
                payload=step.run.stored.message.spec.payload,
                checkpoint=unit.checkpoint,
                ticket=start.tickets.get(worker_id, ""),
            )

    def _hand_over(self, unit: UnitRun) -> None:
        """Let another term begin, which has attempt numbers of its own for a unit."""
        logger.error(
            "attempt numbers of the term used up; transferring leadership",
            job=unit.step.run.stored.id,
            position=unit.unit.first_position,
            term=self._term,
        )
        unit.not_before = self._timers.now() + HAND_OVER_RETRY_DELAY_S
        self._planner.requeue(unit)
        if self._group is not None:
            self._group.start_soon(self._replica.transfer_leadership)

    def _requeue_rejected(self, placement: Placement, outcome: OrderOutcome) -> None:
        """Requeue a unit whose start was rejected."""
        now = self._timers.now()
        unit = self._jobs.find_unit(placement.key)
        if unit is None:
            return
        unit.placements.pop(placement.key[1], None)
        unit.not_before = now + REJECTED_RETRY_DELAY_S
        if outcome is OrderOutcome.TICKET_INVALID:
            self._advice.get(unit.step.key).drop_ticket(placement.worker.id)
        elif outcome is OrderOutcome.SUPERSEDED:
            unit.skip_attempts()
        # A passed deadline or an order not sent is no sign of a fault of the worker. Every other
        # outcome that is not handled above suspends it, including FENCED and INVALID.
        elif outcome not in (OrderOutcome.DEADLINE_PASSED, OrderOutcome.NOT_SENT):
            placement.worker.suspend(now, SuspensionCause.START_REJECTED)
        for other in list(unit.placements.values()):
            self._orders.stop(other, reason="another member of the gang was rejected")
        if unit.is_waiting:
            self._planner.requeue(unit)
        self.wake_planner()

    async def _expire_jobs(self) -> None:
        """Delete jobs whose retention period has passed."""
        while True:
            await self._timers.sleep(EXPIRE_INTERVAL_S)
            command = jobs_pb2.ExpireJobs(keep_ms=self._limits.keep_ended_ms)
            await self._replica.propose(cell_pb2.Command(expire_jobs=command))
