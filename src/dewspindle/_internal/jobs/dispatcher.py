"""The leader's job dispatcher: manages worker sessions and open jobs, and sends orders."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup

from ..cell.jobs import StoredJob
from ..cell.listeners import StateListener
from ..cell.view import CellView
from ..models.ids import JobId
from ..models.jobs import TaskRef
from ..models.resources import NO_RESOURCES
from ..replication.replica import Replica
from ..schema import cell_pb2, jobs_pb2, peers_pb2
from ..utils.logs import get_logger
from ..utils.metrics import Metrics
from ..utils.refusals import RetryReason
from ..utils.timers import Signal, TimerService, wait_for_event
from .advice import AdviceCall, AdviceClient
from .end_reporter import EndReporter
from .fleet import Fleet, FleetWorker, JobTaskKey, Placement, PlacementPhase
from .gateway import ActiveTask, OrderOutcome, WorkerGateway
from .helper_registry import Helper
from .orders import OrderSender
from .planning import JobPlanner
from .planning_round import PlannedStart
from .runs import JobRun, UnitRun
from .session import WorkerSession
from .session_manager import WorkerSessionManager

REJECTED_RETRY_DELAY_S = 0.1  # Before a retry after a worker rejected the start.
FAILED_RETRY_DELAY_S = 0.05
HAND_OVER_RETRY_DELAY_S = 5.0  # Between two attempts to transfer the leadership.
PLAN_INTERVAL_S = 0.01  # Minimum time between two rounds, so that one round handles many events.
# Pause after a round as a multiple of its duration, so that planning does not delay answers.
PLAN_PAUSE_FACTOR = 3.0
IDLE_INTERVAL_S = 0.25  # Maximum time between two rounds while work waits, as tickets expire.
EXPIRE_INTERVAL_S = 10.0
REPORT_INTERVAL_S = 2.0
# Of the requested processors; a task that uses no more is idle, and makes no progress.
IDLE_CPU_FRACTION = 0.05
STUCK_AFTER_S = 2.0  # Longer than a gang waits until all its members have started.

logger = get_logger(__name__)


@dataclass(frozen=True, slots=True)
class DispatchLimits:
    """Limits that the deployment configures."""

    lease_s: float  # Lease of all tasks on a worker.
    keep_ended_ms: int  # How long the state of an ended job can be read.
    early_ms: int = 0  # How long before its due time an occurrence may start.


def is_stuck(placement: Placement, now: float) -> bool:
    """Return whether a task has used almost no processor time for `STUCK_AFTER_S`.

    A single idle member of a gang is no fault: it may have finished its part and wait for others.
    """
    return placement.idle_since is not None and now - placement.idle_since >= STUCK_AFTER_S


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
    ) -> None:
        self._replica = replica
        self._view = view
        self._gateway = gateway
        self._limits = limits
        self._timers = timers
        self._metrics = metrics
        self._term = term
        self._wake = Signal()
        self._fleet = Fleet()
        self._sessions = WorkerSessionManager(
            replica=replica,
            fleet=self._fleet,
            timers=timers,
            make_session=self._make_session,
            on_fleet_changed=self.wake_planner,
            on_draining=self._evict_from_draining,
        )
        self._runs: dict[JobId, JobRun] = {}
        self._reporter = EndReporter(replica)
        self._advice = AdviceClient(
            list_helpers=list_helpers,
            call=advise,
            timers=timers,
            metrics=metrics,
            on_answer=self.wake_planner,
        )
        self._planner = JobPlanner(
            fleet=self._fleet, advice=self._advice, store=view.state.job_store, timers=timers
        )
        self._orders = OrderSender(
            gateway=gateway,
            fleet=self._fleet,
            timers=timers,
            metrics=metrics,
            fencing_token=term,
            lease_s=limits.lease_s,
            wake_session=self._sessions.wake,
            renew_now=self._sessions.renew_now,
            on_rejected=self._requeue_rejected,
        )
        self._workers_reconciled = False
        self._group: TaskGroup | None = None

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
                group.start_soon(self._report_load)
                await self._plan_rounds()
        finally:
            self._group = None
            self._sessions.close()
            self._orders.close()
            self._view.state.unsubscribe(self)

    def _load_state(self) -> None:
        """Load replicated workers and jobs; the workers themselves report which tasks run."""
        for message in self._view.state.job_store.workers.values():
            self._sessions.inherit(message, lease_s=self._limits.lease_s)
        for stored in self._view.state.job_store.jobs.values():
            if stored.is_open:
                self._add_run(stored, is_inherited=True)
        logger.info(
            "dispatching", term=self._term, workers=len(self._fleet), open_jobs=len(self._runs)
        )

    def _make_session(self, worker: FleetWorker) -> WorkerSession:
        return WorkerSession(
            worker,
            gateway=self._gateway,
            owner=self,
            reporter=self._reporter,
            timers=self._timers,
            fencing_token=self._term,
            lease_s=self._limits.lease_s,
        )

    def _add_run(self, stored: StoredJob, *, is_inherited: bool) -> JobRun:
        age_s = max(0, self._timers.wall_ms() - stored.message.accepted_ms) / 1000
        run = JobRun(
            stored,
            queue=self._view.state.job_store.get_current_queue(stored),
            accepted_at=self._timers.now() - (age_s if is_inherited else 0.0),
            is_inherited=is_inherited,
        )
        self._runs[stored.id] = run
        self._planner.add(run)
        return run

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
        run = self._runs.pop(job.id, None)
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
                self._order_stop(placement, "the job ended")

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
                self._order_stop(
                    placement, "its worker leaves before the estimated end of the task"
                )

    async def remove_worker(self, worker: FleetWorker) -> None:
        """Remove a worker on which nothing runs any more."""
        await self._sessions.remove_worker(worker)

    # Callbacks of worker sessions.

    def find_key(self, task: TaskRef) -> JobTaskKey | None:
        """Return the key of a task, or None if the task is unknown."""
        stored = self._view.state.job_store.jobs.get(task.job)
        if stored is None:
            return None
        position = stored.layout.get_position(task.occurrence, task.step, task.index)
        return None if position is None else (task.job, position)

    def _find_unit(self, key: JobTaskKey) -> UnitRun | None:
        run = self._runs.get(key[0])
        return run.get_unit(key[1]) if run is not None else None

    def record_checkpoint(self, placement: Placement, checkpoint: str) -> None:
        """Store a newer checkpoint of a running task."""
        unit = self._find_unit(placement.key)
        if unit is not None and unit.step.message.checkpointing:
            unit.checkpoint = checkpoint

    def record_usage(self, placement: Placement, active: ActiveTask) -> None:
        """Track the CPU usage of a task; stop a stuck one so that it continues elsewhere."""
        unit = self._find_unit(placement.key)
        if (
            unit is None
            or placement.phase is not PlacementPhase.RUNNING
            or active.processors is None
        ):
            return
        now = self._timers.now()
        is_serving = unit.step.message.long_running
        if is_serving or active.processors > IDLE_CPU_FRACTION * placement.amounts.processors:
            placement.idle_since = None
            return
        if placement.idle_since is None:
            placement.idle_since = now
        elif all(is_stuck(member, now) for member in unit.placements.values()):
            worker = placement.worker
            logger.warning("task stands still", job=placement.key[0], worker=worker.id)
            worker.suspend(now)
            unit.avoided.add(worker.id)
            self._order_stop(placement, "it is stuck: it uses almost no processor time")

    def record_listed_end(self, placement: Placement, kind: jobs_pb2.EndKind.ValueType) -> None:
        """Update the health of the worker from a task end that is not committed yet."""
        now = self._timers.now()
        # Tasks that this leader ordered to stop are logged as well.
        if kind != jobs_pb2.END_DONE:
            logger.info(
                "task ended badly",
                job=placement.key[0],
                position=placement.key[1],
                attempt=placement.attempt,
                how=jobs_pb2.EndKind.Name(kind).removeprefix("END_").lower(),
                worker=placement.worker.id,
                ran_s=round(now - placement.placed_at, 3),
            )
        if placement.worker.record_end(kind, now):
            logger.warning(
                "worker shunned", worker=placement.worker.id, why="consecutive task failures"
            )
        if kind in (jobs_pb2.END_FAILED, jobs_pb2.END_LAPSED, jobs_pb2.END_ALONE):
            unit = self._find_unit(placement.key)
            if unit is not None:
                unit.avoided.add(placement.worker.id)

    def make_lost_end(self, placement: Placement) -> jobs_pb2.TaskEnd:
        """Return the end of a task that was lost with its worker."""
        unit = self._find_unit(placement.key)
        self._metrics.count_retry(RetryReason.WORKER_LOST)
        return jobs_pb2.TaskEnd(
            job=placement.key[0],
            position=placement.key[1],
            attempt=placement.attempt,
            kind=jobs_pb2.END_LAPSED,
            checkpoint=unit.checkpoint if unit is not None else "",
        )

    def may_orders_arrive_late(self) -> bool:
        """Return whether unanswered orders may still reach a worker late."""
        return self._fleet.may_orders_arrive_late(self._timers.now())

    def apply_ends(self, ends: list[jobs_pb2.TaskEnd]) -> None:
        """Finish or requeue units whose task ends are committed."""
        for end in ends:
            unit = self._find_unit((JobId(end.job), end.position))
            if unit is not None:
                self._apply_end(unit, end)
        if ends:
            self.wake_planner()

    def _apply_end(self, unit: UnitRun, end: jobs_pb2.TaskEnd) -> None:
        placement = unit.placements.get(end.position)
        if placement is not None and placement.phase is PlacementPhase.ENDED:
            del unit.placements[end.position]
        step = unit.step
        progress = step.run.stored.get_progress(unit.unit.first_position)
        if progress is not None and progress.checkpoint:
            unit.checkpoint = progress.checkpoint
        if unit.is_done:
            self._planner.finish_unit(unit)
            for other in list(unit.placements.values()):
                if other.attempt != end.attempt:
                    self._order_stop(other, "another attempt has succeeded")
            return
        for other in list(unit.placements.values()):
            if other.attempt <= end.attempt:
                self._order_stop(other, "another member of the gang ended")
        if unit.is_waiting:
            unit.not_before = max(unit.not_before, self._timers.now() + FAILED_RETRY_DELAY_S)
            self._planner.requeue(unit)

    def adopt_or_stop(self, worker: FleetWorker, active: ActiveTask) -> None:
        """Adopt a task that an earlier leader started; stop any other unknown task."""
        key = self.find_key(active.task)
        unit = self._find_unit(key) if key is not None else None
        placement = Placement(
            # An unknown task has no position; its placement only serves the stop order.
            key=key or (active.task.job, -1),
            attempt=active.attempt,
            amounts=unit.step.amounts if unit is not None else NO_RESOURCES,
            worker=worker,
            phase=PlacementPhase.RUNNING,
            placed_at=self._timers.now(),
            must_be_listed_since=self._timers.now(),
            estimate_s=unit.step.estimate_s if unit is not None else 0.0,
        )
        is_adopted = unit is not None and key is not None and self._can_adopt(unit, key, active)
        if key is not None and key not in worker.placements:
            worker.add(placement)
        logger.info(
            "running task found",
            job=active.task.job,
            worker=worker.id,
            attempt=active.attempt,
            adopted=is_adopted,
        )
        if unit is None or key is None or not is_adopted:
            self._orders.stop(placement, active.task, reason="it matches no open attempt")
            return
        unit.placements[key[1]] = placement
        unit.attempt = max(unit.attempt, active.attempt)
        unit.checkpoint = active.checkpoint or unit.checkpoint
        unit.step.run.has_started = True
        self._planner.remove_unit(unit)

    def _can_adopt(self, unit: UnitRun, key: JobTaskKey, active: ActiveTask) -> bool:
        if unit.is_done or key[1] in unit.placements or self._workers_reconciled:
            return False
        return all(other.attempt == active.attempt for other in unit.placements.values())

    # Planning.

    def wake_planner(self) -> None:
        """Trigger a planning round."""
        self._wake.set()

    async def _plan_rounds(self) -> None:
        while True:
            event = self._wake.event
            began_at = self._timers.now()
            if self._replica.may_act_as_leader:
                self._check_reconciled()
                plan = self._planner.plan(
                    workers_reconciled=self._workers_reconciled, early_ms=self._limits.early_ms
                )
                for start in plan.starts:
                    self._start_unit(start)
                for placement in plan.preempted:
                    self._order_stop(placement, "a job of higher priority needs its worker")
                self._advice.dispatch()
            took_s = self._timers.now() - began_at
            await self._timers.sleep(max(PLAN_INTERVAL_S, PLAN_PAUSE_FACTOR * took_s))
            await wait_for_event(self._timers, event=event, seconds=IDLE_INTERVAL_S)

    def _check_reconciled(self) -> None:
        """Release inherited jobs once all workers are reconciled.

        Each of them has then listed its tasks, or its lease has expired.
        """
        if self._workers_reconciled or not all(worker.is_reconciled for worker in self._fleet):
            return
        self._workers_reconciled = True
        logger.info("inherited work is known", term=self._term)
        for run in self._runs.values():
            for unit in run.list_units():
                if unit.placements and len(unit.placements) < unit.unit.size:
                    for placement in list(unit.placements.values()):
                        self._order_stop(placement, "members of the gang are missing")

    # Orders.

    def _start_unit(self, start: PlannedStart) -> None:
        unit, step = start.unit, start.unit.step
        attempt = unit.allocate_attempt(term=self._term)
        now = self._timers.now()
        if attempt is None:
            self._hand_over(unit)
            return
        step.run.has_started = True
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
            placement = Placement(
                key=(step.run.stored.id, position),
                attempt=attempt,
                amounts=step.amounts,
                worker=worker,
                phase=PlacementPhase.STARTING,
                placed_at=now,
                estimate_s=step.estimate_s,
            )
            worker.add(placement)
            unit.placements[position] = placement
            self._orders.start(
                placement,
                self._make_ref(placement.key, step.run.stored),
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

    def _make_ref(self, key: JobTaskKey, stored: StoredJob) -> TaskRef:
        occurrence, step, index = stored.layout.locate(key[1])
        return TaskRef(job=key[0], occurrence=occurrence, step=step, index=index)

    def _requeue_rejected(self, placement: Placement, outcome: OrderOutcome) -> None:
        """Requeue a unit whose start was rejected."""
        now = self._timers.now()
        unit = self._find_unit(placement.key)
        if unit is None:
            return
        unit.placements.pop(placement.key[1], None)
        unit.not_before = now + REJECTED_RETRY_DELAY_S
        if outcome is OrderOutcome.TICKET_INVALID:
            self._advice.get(unit.step.key).drop_ticket(placement.worker.id)
        elif outcome is OrderOutcome.SUPERSEDED:
            unit.skip_attempts()
        # A passed deadline is no sign of a fault of the worker. Every other outcome that is not
        # handled above suspends it, including FENCED and INVALID.
        elif outcome is not OrderOutcome.DEADLINE_PASSED:
            placement.worker.suspend(now)
        for other in list(unit.placements.values()):
            self._order_stop(other, "another member of the gang was rejected")
        if unit.is_waiting:
            self._planner.requeue(unit)
        self.wake_planner()

    def _order_stop(self, placement: Placement, reason: str) -> None:
        stored = self._view.state.job_store.jobs.get(placement.key[0])
        if stored is not None:
            self._orders.stop(placement, self._make_ref(placement.key, stored), reason=reason)

    async def _expire_jobs(self) -> None:
        """Delete jobs whose retention period has passed."""
        while True:
            await self._timers.sleep(EXPIRE_INTERVAL_S)
            command = jobs_pb2.ExpireJobs(keep_ms=self._limits.keep_ended_ms)
            await self._replica.propose(cell_pb2.Command(expire_jobs=command))

    async def _report_load(self) -> None:
        """Log waiting work and free capacity at intervals."""
        while True:
            await self._timers.sleep(REPORT_INTERVAL_S)
            logger.info("load", **self._planner.measure_load())

    # Queries for callers.

    def count_waiting(self, queue: jobs_pb2.Queue) -> int:
        """Return how many open jobs of a queue have no task that was started."""
        return sum(
            not run.has_started and run.stored.belongs_to(queue) for run in self._runs.values()
        )

    def has_started(self, job_id: JobId) -> bool:
        """Return whether the start of any task of an open job was ordered.

        An order that a worker then rejects counts. Of the starts that an earlier leader ordered,
        only those whose tasks have ended or were found running are known.
        """
        run = self._runs.get(job_id)
        return run is not None and run.has_started
