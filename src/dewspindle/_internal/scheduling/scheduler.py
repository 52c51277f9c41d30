"""The leader's scheduler: proposes placements and preemptions when records or workers change."""

from ..cell.estimates import estimate_task_resources
from ..cell.listeners import StateListener
from ..cell.view import CellView
from ..cell.worker_table import WorkerInfo
from ..exceptions import NotLeaderError, OutcomeUnknownError
from ..models.enums import Priority
from ..models.resources import NO_RESOURCES, Amounts
from ..replication.replica import Replica
from ..schema import cell_pb2
from ..utils.budgets import RetryBudget
from ..utils.logs import get_logger
from ..utils.metrics import Metrics
from ..utils.refusals import RetryReason
from ..utils.timers import Signal, TimerService, wait_for_event
from .planner import Plan, Planner
from .preemption import Preemption

MAX_IDLE_S = 0.5  # Longest wait between rounds without changes.
PREEMPTION_RETRY_S = 5.0  # Lifetime of an earmark, and time until a task may preempt again.
MAX_PREEMPTING_TASKS = 64  # Tasks of one record that may cause preemptions in one round.
RETRIES_PER_ATTEMPT = 0.2  # Retries that the placement of a task without failures allows.
RETRIES_PER_S = 5.0  # Further retries allowed.
RETRY_CAPACITY = 100.0  # Retries that may accumulate.

logger = get_logger(__name__)


class Scheduler(StateListener):
    """Plans when something has changed, with at most one proposal in flight."""

    def __init__(
        self,
        *,
        replica: Replica,
        view: CellView,
        timers: TimerService,
        metrics: Metrics,
    ) -> None:
        self._replica = replica
        self._view = view
        self._timers = timers
        self._metrics = metrics
        budget = RetryBudget(
            timers=timers,
            retries_per_attempt=RETRIES_PER_ATTEMPT,
            minimum_per_s=RETRIES_PER_S,
            capacity=RETRY_CAPACITY,
        )
        self._planner = Planner(view.state, timers=timers, retry_budget=budget)
        self._preemption = Preemption(view.state, self._planner.index, self._planner.quota_usage)
        self._wake = Signal()
        self._stale_records: dict[str, cell_pb2.Record] = {}
        self._stale_workers: dict[str, WorkerInfo] = {}
        self._config_changed = False
        self._preempted_at: dict[tuple[str, int], float] = {}
        self._earmarked: dict[str, tuple[Amounts, float]] = {}

    @property
    def planner(self) -> Planner:
        """Return the planner."""
        return self._planner

    def on_task(self, record: cell_pb2.Record, task: cell_pb2.Task) -> None:
        """Mark a record as stale after a task changed state."""
        self._stale_records[record.id] = record
        self._wake.set()

    def on_worker(self, worker_info: WorkerInfo) -> None:
        """Mark a worker as stale after it or its free capacity changed."""
        self._stale_workers[worker_info.message.id] = worker_info
        self._wake.set()

    def on_record(self, record: cell_pb2.Record) -> None:
        """Mark a record as stale after it was submitted, changed or ended."""
        self._stale_records[record.id] = record
        self._wake.set()

    def on_config(self, name: str) -> None:
        """Mark the configuration as changed."""
        self._config_changed = True
        self._wake.set()

    def on_restore(self) -> None:
        """Rebuild the planner after the whole state was replaced."""
        self._rebuild()
        self._wake.set()

    def _rebuild(self) -> None:
        self._planner.rebuild()
        self._preemption = Preemption(
            self._view.state, self._planner.index, self._planner.quota_usage
        )

    async def run(self) -> None:
        """Run planning rounds until cancelled."""
        self._view.state.subscribe(self)
        try:
            self._rebuild()
            while True:
                event = self._wake.event
                if self._replica.may_act_as_leader and await self._run_round():
                    continue
                await wait_for_event(self._timers, event=event, seconds=self._get_idle_s())
        finally:
            self._view.state.unsubscribe(self)

    def _get_idle_s(self) -> float:
        due_ms = self._planner.next_delayed_ms
        if due_ms is None:
            return MAX_IDLE_S
        return min(MAX_IDLE_S, max(0.01, (due_ms - self._timers.wall_ms()) / 1000))

    async def _run_round(self) -> bool:
        """Propose one plan, and return whether it contained placements or committed preemptions."""
        self._apply_changes()
        plan = self._planner.make_plan()
        if plan.assignments:
            await self._propose_placements(plan)
            return True
        return await self._propose_preemptions(plan)

    def _apply_changes(self) -> None:
        if self._config_changed:
            self._config_changed = False
            self._planner.reload_config()
        workers, self._stale_workers = self._stale_workers, {}
        for worker_info in workers.values():
            self._planner.index.update(worker_info)
        # A lost, new or returned worker has changed the capacity of the fleet; the latter two have
        # no tasks yet.
        if any(
            worker_info.message.lost or not worker_info.tasks for worker_info in workers.values()
        ):
            self._planner.quota_usage.reload()
        records, self._stale_records = self._stale_records, {}
        for record in records.values():
            if record.id in self._view.state.open_records:
                self._planner.sync_record(record)
            else:
                self._planner.waiting.remove(record.id)
        self._planner.wake_delayed()

    async def _propose_placements(self, plan: Plan) -> None:
        body = cell_pb2.PlaceTasks(assignments=plan.assignments)
        started_at = self._timers.now()
        try:
            result = await self._replica.propose(cell_pb2.Command(place_tasks=body))
        except (NotLeaderError, OutcomeUnknownError) as error:
            logger.info("placements not committed", why=str(error))
            await self._timers.sleep(MAX_IDLE_S / 10)
        else:
            self._metrics.count("dewspindle_placements", result.count)
            self._count_retries(plan)
            self._metrics.record("dewspindle_placement_commit_s", self._timers.now() - started_at)
        self._planner.resync(plan.assignments)

    def _count_retries(self, plan: Plan) -> None:
        """Count as retries the placements of tasks that failed before."""
        for assignment in plan.assignments:
            record = self._view.state.records.get(assignment.record)
            if record is not None and record.tasks[assignment.index].failed_workers:
                self._metrics.count_retry(RetryReason.TASK_FAILED)

    async def _propose_preemptions(self, plan: Plan) -> bool:
        victims: list[cell_pb2.Assignment] = []
        for worker_info in list(self._view.state.worker_table):
            if not NO_RESOURCES.fits_in(worker_info.free) and not worker_info.message.lost:
                victims += self._preemption.find_shrink_victims(worker_info)
        for waiting in plan.blocked:
            may_preempt = waiting.record.priority == Priority.URGENT.value
            if may_preempt or self._planner.quota_usage.has_quota(waiting.record.team):
                victims += self._find_victims_for(waiting.record, sorted(waiting.ready))
        if not victims:
            return False
        body = cell_pb2.Preempt(tasks=victims)
        for _ in victims:
            self._metrics.count_retry(RetryReason.PREEMPTED)
        try:
            await self._replica.propose(cell_pb2.Command(preempt=body))
        except (NotLeaderError, OutcomeUnknownError) as error:
            logger.info("preemptions not committed", why=str(error))
            return False
        return True

    def _find_victims_for(
        self, record: cell_pb2.Record, ready: list[int]
    ) -> list[cell_pb2.Assignment]:
        """Return the victims to preempt for the ready tasks of a record."""
        now = self._timers.now()
        self._expire_earmarks(now)
        need = estimate_task_resources(self._view.state, record)
        found: list[cell_pb2.Assignment] = []
        for index in ready[:MAX_PREEMPTING_TASKS]:
            if (record.id, index) in self._preempted_at:
                continue
            earmarked = {worker: amounts for worker, (amounts, _) in self._earmarked.items()}
            victims = self._preemption.find_victims(record, need, earmarked=earmarked)
            if victims is None:
                break
            self._preempted_at[record.id, index] = now
            already_earmarked = self._earmarked.get(victims.worker, (NO_RESOURCES, now))[0]
            # Victims of this round are not in the stopping state yet, so the capacity that
            # they free is earmarked here.
            self._earmarked[victims.worker] = (already_earmarked + need, now)
            found += [v for v in victims.tasks if v not in found]
        return found

    def _expire_earmarks(self, now: float) -> None:
        self._preempted_at = {
            key: at for key, at in self._preempted_at.items() if now - at < PREEMPTION_RETRY_S
        }
        self._earmarked = {
            worker: (amounts, at)
            for worker, (amounts, at) in self._earmarked.items()
            if now - at < PREEMPTION_RETRY_S
        }
