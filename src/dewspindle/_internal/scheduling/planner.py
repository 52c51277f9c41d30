"""Planning of placements: which waiting tasks go to which workers next."""

import heapq
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from ..cell.estimates import estimate_task_resources, get_expected_run_s
from ..cell.state import CellState
from ..cell.team_limits import get_objective
from ..models.enums import Objective, Priority, RecordKind
from ..models.resources import Amounts
from ..models.tasks import ACTIVE_TASK_STATES
from ..schema import cell_pb2
from ..schema.cell_pb2 import TASK_CANCELLED, TASK_PENDING, TASK_SUCCEEDED
from ..utils.budgets import RetryBudget
from ..utils.timers import TimerService
from .index import Candidate, CapacityIndex, SpreadCounts
from .policies import Choice, PlacementRequest, get_policy
from .set_aside import SET_ASIDE_AFTER_S, SetAsideWorkers, set_aside_workers
from .teams import QuotaUsage
from .waiting import Shape, WaitingRecord, WaitingTasks, make_shape

MAX_PLACEMENTS_PER_PLAN = 128
TASKS_PER_TURN = 4  # Tasks that a team places before the teams are ordered anew.
RUN_TIME_WEIGHT = 4.0  # Seconds of waiting that offset one second of expected run time.
MAX_RUN_S = 3600.0  # A longer expected run time does not delay a record further.
SIZE_WEIGHT_S = 600.0  # Seconds of waiting that offset the size of the largest worker.


@dataclass(slots=True)
class Plan:
    """Placements to propose, and the records of which no task could be placed.

    A blocked record fits on no worker, or its tasks are retries beyond the retry budget.
    """

    assignments: list[cell_pb2.Assignment] = field(default_factory=list)
    blocked: list[WaitingRecord] = field(default_factory=list)


class Planner:
    """Makes plans from an index and queues that follow the replicated state."""

    def __init__(
        self, state: CellState, *, timers: TimerService, retry_budget: RetryBudget
    ) -> None:
        self._state = state
        self._timers = timers
        self._retry_budget = retry_budget
        self._index = CapacityIndex()
        self._waiting = WaitingTasks()
        self._quota_usage = QuotaUsage(state)
        self._objective = Objective.WAITING
        self._set_aside: SetAsideWorkers | None = None
        self._delayed: list[tuple[int, str]] = []
        self._spread: dict[str, SpreadCounts] = {}

    @property
    def index(self) -> CapacityIndex:
        """Return the index of free capacity."""
        return self._index

    @property
    def quota_usage(self) -> QuotaUsage:
        """Return the teams' usage of their quotas."""
        return self._quota_usage

    @property
    def waiting(self) -> WaitingTasks:
        """Return the waiting tasks."""
        return self._waiting

    @property
    def set_aside(self) -> SetAsideWorkers | None:
        """Return the workers set aside for a gang, if there are any."""
        return self._set_aside

    @property
    def next_delayed_ms(self) -> int | None:
        """Return the earliest time at which a task delayed after a failure may be placed."""
        return self._delayed[0][0] if self._delayed else None

    def rebuild(self) -> None:
        """Rebuild the index and the queues from the whole state."""
        self._index = CapacityIndex()
        self._waiting = WaitingTasks()
        self._delayed = []
        self._set_aside = None
        self.reload_config()
        for worker_info in self._state.worker_table:
            self._index.update(worker_info)
        for record in self._state.open_records.values():
            self.sync_record(record)

    def reload_config(self) -> None:
        """Apply the current configuration, and reorder waiting tasks if the objective changed."""
        self._quota_usage.reload()
        objective = get_objective(self._state)
        if objective is self._objective:
            return
        self._objective = objective
        for waiting in list(self._waiting.iterate()):
            self.sync_record(waiting.record)

    def sync_record(self, record: cell_pb2.Record) -> None:
        """Update which tasks of a record are ready to be placed."""
        now_ms = self._timers.wall_ms()
        ready = set()
        for task in record.tasks:
            if task.state != TASK_PENDING:
                continue
            if task.not_before_ms > now_ms:
                heapq.heappush(self._delayed, (task.not_before_ms, record.id))
            else:
                ready.add(task.index)
        if record.kind == RecordKind.GANG.value and ready and not _is_complete_gang(record, ready):
            ready = set()
        need = estimate_task_resources(self._state, record)
        self._waiting.put(
            WaitingRecord(
                record=record,
                shape=make_shape(record, need),
                key=self._make_sort_key(record, need),
                ready=ready,
            )
        )

    def wake_delayed(self) -> None:
        """Make the tasks ready whose delay has passed."""
        now_ms = self._timers.wall_ms()
        while self._delayed and self._delayed[0][0] <= now_ms:
            _, record_id = heapq.heappop(self._delayed)
            record = self._state.open_records.get(record_id)
            if record is not None:
                self.sync_record(record)

    def _make_sort_key(self, record: cell_pb2.Record, need: Amounts) -> tuple[float, float, str]:
        """Return a sort key: the submission time, offset by expected run time or by size.

        As the offset is limited, a record that waits long enough precedes all later ones.
        """
        submitted_s = record.submitted_ms / 1000
        run_s = min(MAX_RUN_S, get_expected_run_s(self._state, record))
        if self._objective is Objective.PACKING:
            largest = max((shape.processors for shape in self._state.worker_shapes), default=1)
            size = need.processors / max(1, largest)
            return (submitted_s - size * SIZE_WEIGHT_S, run_s, record.id)
        if record.kind == RecordKind.SERVICE.value:
            run_s = 0.0
        return (submitted_s + run_s * RUN_TIME_WEIGHT, run_s, record.id)

    def make_plan(self) -> Plan:
        """Choose workers for waiting tasks, by priority and then by increasing quota usage."""
        self._quota_usage.clear_planned()
        self._spread.clear()
        self._expire_set_aside()
        plan = Plan()
        blocked: set[Shape] = set()
        for priority in Priority:
            self._plan_priority(priority, plan, blocked)
            if len(plan.assignments) >= MAX_PLACEMENTS_PER_PLAN:
                break
        return plan

    def _expire_set_aside(self) -> None:
        set_aside = self._set_aside
        if set_aside is None:
            return
        is_waiting = self._waiting.get(set_aside.record_id) is not None
        if not is_waiting or self._timers.now() >= set_aside.expires_at:
            self._set_aside = None

    def _plan_priority(self, priority: Priority, plan: Plan, blocked: set[Shape]) -> None:
        teams = self._waiting.get_teams(priority)
        heap = [(self._quota_usage.compute_used_fraction(team), team) for team in teams]
        heapq.heapify(heap)
        refused: dict[str, set[str]] = defaultdict(set)
        while heap and len(plan.assignments) < MAX_PLACEMENTS_PER_PLAN:
            _, team = heapq.heappop(heap)
            waiting = self._find_head(priority, team, blocked, refused[team])
            if waiting is None:
                continue
            if not self._quota_usage.may_take(team, _compute_smallest_part(waiting)):
                refused[team].add(waiting.record.id)
            elif not self._place_tasks(waiting, plan):
                blocked.add(waiting.shape)
                plan.blocked.append(waiting)
            heapq.heappush(heap, (self._quota_usage.compute_used_fraction(team), team))

    def _find_head(
        self, priority: Priority, team: str, blocked: set[Shape], refused: set[str]
    ) -> WaitingRecord | None:
        queue = self._waiting.get_teams(priority).get(team)
        if queue is None:
            return None
        heads = [
            (key, record_id)
            for key, shape, record_id in queue.iterate_heads()
            if shape not in blocked and record_id not in refused
        ]
        return self._waiting.get(min(heads)[1]) if heads else None

    def _place_tasks(self, waiting: WaitingRecord, plan: Plan) -> bool:
        """Plan up to one turn of a record's tasks, and return whether any was planned."""
        if waiting.record.kind == RecordKind.GANG.value:
            return self._place_gang(waiting, plan)
        counts = self._count_spread(waiting.record)
        placed = 0
        for index in sorted(waiting.ready)[:TASKS_PER_TURN]:
            if not self._quota_usage.may_take(waiting.record.team, waiting.shape.need):
                break
            choice = self._choose(waiting, counts)
            if choice is None or not self._may_retry(waiting.record.tasks[index]):
                break
            self._assign(waiting, index, choice, counts, plan)
            placed += 1
        return placed > 0

    def _may_retry(self, task: cell_pb2.Task) -> bool:
        if not task.failed_workers:
            self._retry_budget.deposit()
            return True
        return self._retry_budget.try_withdraw()

    def _choose(self, waiting: WaitingRecord, counts: SpreadCounts) -> Choice | None:
        record = waiting.record
        request = PlacementRequest(
            need=waiting.shape.need,
            zones=waiting.shape.zones,
            racks=waiting.shape.racks,
            spread=record.spread,
            objective=self._objective,
            counts=counts,
        )
        if self._set_aside is not None and record.priority != Priority.URGENT.value:
            request.is_allowed = self._make_set_aside_check(self._set_aside, record)
        return get_policy(RecordKind(record.kind)).choose(self._index, request)

    def _make_set_aside_check(self, set_aside: SetAsideWorkers, record: cell_pb2.Record):  # type: ignore[no-untyped-def]
        run_s = get_expected_run_s(self._state, record)
        end_ms = self._timers.wall_ms() + run_s * 1000 if run_s else float("inf")

        def check(candidate: Candidate) -> bool:
            return set_aside.allows(candidate, record=record, end_ms=end_ms)

        return check

    def _assign(
        self,
        waiting: WaitingRecord,
        index: int,
        choice: Choice,
        counts: SpreadCounts,
        plan: Plan,
    ) -> None:
        record = waiting.record
        need = waiting.shape.need
        counts.add(choice.candidate)
        plan.assignments.append(
            cell_pb2.Assignment(
                record=record.id,
                index=index,
                epoch=record.tasks[index].epoch + 1,
                worker=choice.candidate.worker,
                why=choice.why,
                reserved=need.to_message(),
            )
        )
        self._index.allocate(choice.candidate.worker, need)
        self._quota_usage.add_planned(record.team, need)
        waiting.ready.discard(index)
        if not waiting.ready:
            self._waiting.remove(record.id)

    def _place_gang(self, waiting: WaitingRecord, plan: Plan) -> bool:
        """Plan all ready tasks of a gang, or none of them."""
        counts = SpreadCounts()
        chosen: list[tuple[int, Choice]] = []
        for index in sorted(waiting.ready):
            choice = self._choose(waiting, counts)
            if choice is None:
                break
            counts.add(choice.candidate)
            self._index.allocate(choice.candidate.worker, waiting.shape.need)
            chosen.append((index, choice))
        for _, choice in chosen:
            self._index.release(choice.candidate.worker, waiting.shape.need)
        if len(chosen) < len(waiting.ready):
            self._set_aside_for_gang(waiting)
            return False
        for index, choice in chosen:
            self._assign(waiting, index, choice, counts, plan)
        return True

    def _set_aside_for_gang(self, waiting: WaitingRecord) -> None:
        waited_s = (self._timers.wall_ms() - waiting.record.submitted_ms) / 1000
        if self._set_aside is not None or waited_s < SET_ASIDE_AFTER_S:
            return
        self._set_aside = set_aside_workers(
            self._state,
            self._index,
            waiting.record,
            waiting.shape.need,
            now=self._timers.now(),
        )

    def _count_spread(self, record: cell_pb2.Record) -> SpreadCounts:
        counts = self._spread.get(record.id)
        if counts is not None:
            return counts
        counts = self._spread[record.id] = SpreadCounts()
        if record.kind != RecordKind.SERVICE.value:
            return counts
        placed = Counter(task.worker for task in record.tasks if task.state in ACTIVE_TASK_STATES)
        for worker, number in placed.items():
            candidate = self._index.get(worker)
            if candidate is not None:
                counts.zones[candidate.zone] += number
                counts.racks[candidate.rack] += number
                counts.workers[candidate.worker] += number
        return counts

    def resync(self, assignments: list[cell_pb2.Assignment]) -> None:
        """Update the workers and records of planned placements from the state."""
        for worker in {assignment.worker for assignment in assignments}:
            worker_info = self._state.worker_table.get(worker)
            if worker_info is not None:
                self._index.update(worker_info)
        for record_id in {assignment.record for assignment in assignments}:
            record = self._state.open_records.get(record_id)
            if record is not None:
                self.sync_record(record)
            else:
                self._waiting.remove(record_id)


def _compute_smallest_part(waiting: WaitingRecord) -> Amounts:
    """Return the resources of the tasks that can only be placed together."""
    is_gang = waiting.record.kind == RecordKind.GANG.value
    return waiting.shape.need * (len(waiting.ready) if is_gang else 1)


def _is_complete_gang(record: cell_pb2.Record, ready: set[int]) -> bool:
    finished = (TASK_SUCCEEDED, TASK_CANCELLED)
    return all(task.index in ready or task.state in finished for task in record.tasks)
