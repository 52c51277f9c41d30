"""What the leader does when sessions report how tasks run and end."""

from collections.abc import Awaitable, Callable, Iterable
from enum import Enum

from ..models.ids import UNKNOWN_KIND, JobId
from ..models.jobs import TaskRef
from ..models.resources import NO_RESOURCES, Amounts
from ..scheduling.crash_blame import may_be_blamed, should_give_up, was_newest
from ..schema import jobs_pb2, peers_pb2
from ..utils.logs import get_logger
from ..utils.metrics import Metrics
from ..utils.refusals import RetryReason
from ..utils.timers import TimerService
from .fleet import Fleet
from .fleet_worker import FleetWorker, SuspensionCause
from .gateway import ActiveTask
from .open_jobs import OpenJobs
from .orders import OrderSender
from .placements import UNKNOWN_POSITION, AttemptKey, JobTaskKey, Placement, PlacementPhase
from .planning import JobPlanner
from .run_observer import RunObserver
from .runs import UnitRun

FAILED_RETRY_DELAY_S = 0.05
# Of the requested processors; a task that uses no more is idle, and makes no progress.
IDLE_CPU_FRACTION = 0.05
STUCK_AFTER_S = 2.0  # Longer than a gang waits until all its members have started.

logger = get_logger(__name__)


class Adoption(Enum):
    """Whether the leader adopts a running task that it did not start, or why it stops the task."""

    ADOPTED = "adopted"
    JOB_UNKNOWN = "job-unknown"
    JOB_ENDED = "job-ended"
    TASK_DONE = "task-done"
    PLACED_ELSEWHERE = "placed-elsewhere"
    WORKERS_RECONCILED = "workers-reconciled"  # The task may be placed anew by now.
    OTHER_ATTEMPT = "other-attempt"  # The other members of its gang run another attempt.


def is_stuck(placement: Placement, now: float) -> bool:
    """Return whether a task has used almost no processor time for `STUCK_AFTER_S`.

    A single idle member of a gang is no fault: it may have finished its part and wait for others.
    """
    return placement.idle_since is not None and now - placement.idle_since >= STUCK_AFTER_S


def list_newest(placements: list[Placement]) -> list[Placement]:
    """Return the placements on one worker that started last, as far as that is known."""
    running = [placement for placement in placements if placement.has_run]
    if len(running) == 1:
        return running
    started = [placement for placement in running if not placement.is_adopted]
    last_placed_at = max((placement.placed_at for placement in started), default=0.0)
    return [p for p in started if was_newest(p.placed_at, last_placed_at)]


class TaskEvents:
    """Owner of the worker sessions: follows running tasks, and finishes or requeues ended ones."""

    def __init__(
        self,
        *,
        jobs: OpenJobs,
        fleet: Fleet,
        planner: JobPlanner,
        orders: OrderSender,
        timers: TimerService,
        metrics: Metrics,
        may_act: Callable[[], bool],
        may_adopt: Callable[[], bool],
        wake_planner: Callable[[], None],
        remove_worker: Callable[[FleetWorker], Awaitable[None]],
        replay_heartbeat: Callable[[peers_pb2.WorkerBeat], None],
        term: int,
    ) -> None:
        self._jobs = jobs
        self._fleet = fleet
        self._planner = planner
        self._orders = orders
        self._timers = timers
        self._metrics = metrics
        self._may_act = may_act
        self._may_adopt = may_adopt
        self._wake_planner = wake_planner
        self._remove_worker = remove_worker
        self._replay_heartbeat = replay_heartbeat
        self._term = term
        self._observer = RunObserver(planner.interference, timers=timers)

    def wake_planner(self) -> None:
        """Trigger a planning round."""
        self._wake_planner()

    async def remove_worker(self, worker: FleetWorker) -> None:
        """Remove a worker on which nothing runs any more."""
        await self._remove_worker(worker)

    def find_key(self, task: TaskRef, attempt: int) -> JobTaskKey | None:
        """Return the key of a task, or None if no leader can have started such an attempt."""
        key = self._jobs.find_key(task)
        if key is None or not self._jobs.may_have_started(key, attempt, term=self._term):
            return None
        return key

    def record_running(self, placement: Placement) -> None:
        """Record that a worker has started a task, so that its job no longer counts as waiting."""
        placement.has_run = True
        placement.is_of_crashed_life = False
        unit = self._jobs.find_unit(placement.key)
        if unit is not None:
            unit.step.run.has_started = True

    def record_checkpoint(self, placement: Placement, checkpoint: str) -> None:
        """Store a newer checkpoint of a running task."""
        unit = self._jobs.find_unit(placement.key)
        if unit is not None and unit.step.message.checkpointing:
            unit.checkpoint = checkpoint

    def record_usage(self, placement: Placement, active: ActiveTask) -> None:
        """Track the CPU usage of a task; stop a stuck one so that it continues elsewhere."""
        self._observer.record_active(placement, active)
        unit = self._jobs.find_unit(placement.key)
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
            worker.suspend(now, SuspensionCause.TASK_STUCK)
            unit.avoided.add(worker.id)
            self._orders.stop(placement, reason="it is stuck: it uses almost no processor time")

    def record_listed_end(self, placement: Placement, kind: jobs_pb2.EndKind.ValueType) -> None:
        """Update the health of the worker from a task end that is not committed yet."""
        now = self._timers.now()
        self.record_running(placement)
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
        placement.worker.record_end(placement.key[0], kind, now)
        unit = self._jobs.find_unit(placement.key)
        self._observer.record_end(placement, kind, unit)
        is_bad = kind in (jobs_pb2.END_FAILED, jobs_pb2.END_LAPSED, jobs_pb2.END_ALONE)
        if is_bad and unit is not None:
            unit.avoided.add(placement.worker.id)

    def may_act(self) -> bool:
        """Return whether this replica may act as the leader."""
        return self._may_act()

    def make_lost_ends(self, lost: list[Placement]) -> list[jobs_pb2.TaskEnd]:
        """Return the ends of tasks that were lost with one worker."""
        known = [placement for placement in lost if placement.is_known]
        blamed = [placement for placement in known if self._may_have_crashed_worker(placement)]
        newest = list_newest(blamed)
        ends = []
        for placement in known:
            unit = self._jobs.find_unit(placement.key)
            self._metrics.count_retry(RetryReason.WORKER_LOST)
            end = jobs_pb2.TaskEnd(
                job=placement.key[0],
                position=placement.key[1],
                attempt=placement.attempt,
                kind=jobs_pb2.END_LAPSED,
                checkpoint=unit.checkpoint if unit is not None else "",
            )
            if placement in blamed:
                end.kind = jobs_pb2.END_CRASHED
                end.was_newest = placement in newest
                end.gives_up = self._should_give_up(placement, was_newest=end.was_newest)
            ends.append(end)
        return ends

    def _may_have_crashed_worker(self, placement: Placement) -> bool:
        if not placement.is_of_crashed_life:
            return False
        return (placement.has_run or placement.may_have_run) and may_be_blamed(
            is_lasting=placement.is_lasting, ran_s=self._timers.now() - placement.placed_at
        )

    def _should_give_up(self, placement: Placement, *, was_newest: bool) -> bool:
        """Return whether a task is given up whose worker has crashed once more."""
        history = self._jobs.make_crash_history(placement.key, was_newest=was_newest)
        if history is None:
            return False
        gives_up = should_give_up(history)
        logger.warning(
            "worker crashed under task",
            job=placement.key[0],
            position=placement.key[1],
            attempt=placement.attempt,
            worker=placement.worker.id,
            crashes=history.crashes,
            crashes_as_newest=history.crashes_as_newest,
            gives_up=gives_up,
        )
        return gives_up

    def may_orders_arrive_late(self) -> bool:
        """Return whether unanswered orders may still reach a worker late."""
        return self._fleet.may_orders_arrive_late(self._timers.now())

    def apply_ends(self, ends: list[jobs_pb2.TaskEnd]) -> None:
        """Finish or requeue units whose task ends are committed."""
        for end in ends:
            unit = self._jobs.find_unit((JobId(end.job), end.position))
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
                    self._orders.stop(other, reason="another attempt has succeeded")
            return
        for other in list(unit.placements.values()):
            if other.attempt <= end.attempt:
                self._orders.stop(other, reason="another member of the gang ended")
        if unit.is_waiting:
            unit.not_before = max(unit.not_before, self._timers.now() + FAILED_RETRY_DELAY_S)
            self._planner.requeue(unit)

    def apply_heartbeat(self, worker: FleetWorker) -> None:
        """Apply the heartbeat that came before the worker's present life was known, if any."""
        heartbeat, worker.pending_heartbeat = worker.pending_heartbeat, None
        if heartbeat is not None and heartbeat.worker.born_ms == worker.born_ms:
            self._replay_heartbeat(heartbeat)

    def fence_attempts(self, worker: FleetWorker, attempts: Iterable[AttemptKey]) -> None:
        """Stop attempts whose start orders may still reach another life of the worker."""
        for task, attempt in attempts:
            if (task, attempt) in worker.placements:
                continue
            placement = Placement(
                key=self._jobs.find_key(task) or (task.job, UNKNOWN_POSITION),
                task=task,
                attempt=attempt,
                amounts=self._jobs.find_amounts(task) or NO_RESOURCES,
                worker=worker,
                phase=PlacementPhase.RUNNING,
                placed_at=self._timers.now(),
                team=self._jobs.find_team(task),
            )
            worker.add(placement)
            self._orders.stop(
                placement, reason="its order may arrive at another life of its worker"
            )

    def measure_running(self, tasks: Iterable[ActiveTask]) -> Amounts:
        """Return what running tasks of known jobs take on their worker."""
        total = NO_RESOURCES
        for task in tasks:
            total += self._jobs.find_amounts(task.task) or NO_RESOURCES
        return total

    def adopt_or_stop(self, worker: FleetWorker, active: ActiveTask) -> None:
        """Adopt a task that an earlier leader started; stop any other unknown task.

        Its capacity is reserved in both cases until its end is listed.
        """
        key = self.find_key(active.task, active.attempt) or (active.task.job, UNKNOWN_POSITION)
        unit = self._jobs.find_unit(key)
        placement = Placement(
            key=key,
            task=active.task,
            attempt=active.attempt,
            amounts=self._jobs.find_amounts(active.task) or NO_RESOURCES,
            worker=worker,
            phase=PlacementPhase.RUNNING,
            placed_at=self._timers.now(),
            must_be_listed_since=self._timers.now(),
            estimate_s=unit.step.estimate_s if unit is not None else 0.0,
            is_lasting=unit is not None and unit.step.message.long_running,
            has_run=True,
            is_adopted=True,
            team=self._jobs.find_team(active.task),
            kind=unit.step.kind if unit is not None else UNKNOWN_KIND,
        )
        worker.add(placement)
        adoption = self._check_adoption(placement, unit)
        logger.info(
            "running task found",
            job=active.task.job,
            worker=worker.id,
            attempt=active.attempt,
            adoption=adoption.value,
            reserved_processors=placement.amounts.processors,
            reserved_memory_mb=placement.amounts.memory_mb,
        )
        if unit is None or adoption is not Adoption.ADOPTED:
            if adoption is Adoption.WORKERS_RECONCILED and unit is not None and unit.is_waiting:
                # Holds the unit back until this attempt has ended.
                unit.placements[key[1]] = placement
                unit.attempt = max(unit.attempt, active.attempt)
                self._planner.remove_unit(unit)
            self._orders.stop(placement, reason="it matches no open attempt")
            return
        unit.placements[key[1]] = placement
        unit.attempt = max(unit.attempt, active.attempt)
        unit.checkpoint = active.checkpoint or unit.checkpoint
        unit.step.run.has_started = True
        self._planner.remove_unit(unit)

    def _check_adoption(self, placement: Placement, unit: UnitRun | None) -> Adoption:
        if not placement.is_known:
            return Adoption.JOB_UNKNOWN
        if unit is None:
            return Adoption.JOB_ENDED
        if unit.is_done:
            return Adoption.TASK_DONE
        if placement.key[1] in unit.placements:
            return Adoption.PLACED_ELSEWHERE
        if not self._may_adopt():
            return Adoption.WORKERS_RECONCILED
        if any(other.attempt != placement.attempt for other in unit.placements.values()):
            return Adoption.OTHER_ATTEMPT
        return Adoption.ADOPTED
