"""Waiting times and packing during a burst of ten times the baseline load, for each user.

The planner and the cell state run as in an instance; time is simulated in steps of half a second,
and tasks end after their actual run time. Declared run times are wrong by a factor of up to ten
in either direction. The seeds are fixed.

Usage: python -m bench.bursts
"""

import heapq
import random
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from dewspindle._internal.models.resources import Amounts, make_amounts
from dewspindle._internal.scheduling.planner import Planner
from dewspindle._internal.schema import cell_pb2, resources_pb2
from dewspindle._internal.utils.budgets import RetryBudget

from .results import compute_percentile, print_measurement
from .scheduling_state import BenchState

WORKERS = 24
PROCESSORS_PER_WORKER = 32_000
TIME_STEP_S = 0.5
BASELINE_S = 120.0
BURST_S = 120.0
DRAIN_TIMEOUT_S = 900.0
BURST_FACTOR = 10
BASELINE_LOAD = 0.35  # Share of the processors in use before the burst.


class Policy(Enum):
    """Scheduling policies to compare."""

    WAITING = "waiting"
    PACKING = "packing"
    FIRST_FIT = "first come, first fit"
    RANDOM = "first come, random worker"


@dataclass(frozen=True, slots=True)
class Workload:
    """One kind of record that a user submits."""

    name: str
    share: float  # Of the submitted records.
    processors: int
    memory_mb: int
    run_s: float
    tasks: int
    kind: str = "batch"
    priority: str = "normal"


USERS = {
    "Sulit Kotse": (
        Workload("valuation", 0.15, 2000, 6144, 40, 6, priority="low"),
        Workload("photo-batch", 0.25, 1000, 2048, 12, 4),
        Workload("price-check", 0.60, 250, 512, 1, 1, priority="urgent"),
    ),
    "Irtysh Hydroflex": (
        Workload("spec-sheet", 0.30, 1500, 3072, 8, 2),
        Workload("claim", 0.30, 500, 1024, 4, 1),
        Workload("stock-check", 0.35, 250, 512, 1, 1, priority="urgent"),
        Workload("fleet-plan", 0.05, 4000, 12288, 30, 6, kind="gang", priority="low"),
    ),
}


class SimulatedTimers:
    """Timer service with simulated time."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def now(self) -> float:
        """Return the simulated time."""
        return self.now_s

    def wall_ms(self) -> int:
        """Return the simulated wall-clock time, which starts at 1,000,000 ms."""
        return int(self.now_s * 1000) + 1_000_000


@dataclass(slots=True)
class RunResults:
    """Waiting times of tasks by name of workload, and packing samples, of one run."""

    waits: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    packing: list[float] = field(default_factory=list)


def compute_baseline_rate(workloads: tuple[Workload, ...]) -> float:
    """Return the records per second that produce the baseline load."""
    work_per_record = sum(
        workload.share * workload.tasks * workload.processors * workload.run_s
        for workload in workloads
    )
    return BASELINE_LOAD * WORKERS * PROCESSORS_PER_WORKER / work_per_record


def iterate_arrivals(
    workloads: tuple[Workload, ...], rng: random.Random
) -> Iterator[tuple[float, Workload]]:
    """Yield arrival times with workloads, at the baseline rate, then at the burst rate."""
    baseline_rate = compute_baseline_rate(workloads)
    arrived_at = 0.0
    while arrived_at < BASELINE_S + BURST_S:
        rate = baseline_rate * (BURST_FACTOR if arrived_at >= BASELINE_S else 1)
        arrived_at += rng.expovariate(rate)
        yield arrived_at, rng.choices(workloads, [workload.share for workload in workloads])[0]


class Simulation:
    """One simulated run."""

    def __init__(self, workloads: tuple[Workload, ...], policy: Policy, *, seed: int) -> None:
        self._workloads = workloads
        self._policy = policy
        self._rng = random.Random(seed)
        self._bench = BenchState(seed=seed)
        self._timers = SimulatedTimers()
        self._bench._now_ms = self._timers.wall_ms()
        self._bench.add_workers(WORKERS, zones=3)
        self._task_ends: list[tuple[float, str, int, int, str]] = []
        self._submitted: dict[str, tuple[float, Workload]] = {}
        self._queue: list[str] = []
        self._results = RunResults()
        self._planner = self._make_planner()

    def _make_planner(self) -> Planner | None:
        if self._policy not in (Policy.WAITING, Policy.PACKING):
            return None
        body = cell_pb2.PutConfig(
            name="scheduling", value=f'{{"objective": "{self._policy.value}"}}'.encode()
        )
        self._apply(cell_pb2.Command(put_config=body))
        budget = RetryBudget(
            timers=self._timers,  # type: ignore[arg-type]
            retries_per_attempt=0.2,
            minimum_per_s=5,
            capacity=100,
        )
        planner = Planner(self._bench.state, timers=self._timers, retry_budget=budget)  # type: ignore[arg-type]
        planner.rebuild()
        return planner

    def _apply(self, command: cell_pb2.Command) -> cell_pb2.Result:
        self._bench._now_ms = self._timers.wall_ms()
        return self._bench.apply(command)

    def run(self) -> RunResults:
        """Run until all records have ended or the time limit is reached."""
        arrivals = iterate_arrivals(self._workloads, self._rng)
        next_arrival = next(arrivals, None)
        while self._timers.now_s < BASELINE_S + BURST_S + DRAIN_TIMEOUT_S:
            self._timers.now_s += TIME_STEP_S
            while next_arrival is not None and next_arrival[0] <= self._timers.now_s:
                self._submit(*next_arrival)
                next_arrival = next(arrivals, None)
            self._finish_tasks()
            self._place()
            self._sample_packing()
            if next_arrival is None and not self._bench.state.open_records:
                break
        return self._results

    def _submit(self, arrived_at: float, workload: Workload) -> None:
        declared_run_s = max(1, int(workload.run_s * 10 ** self._rng.uniform(-1, 1)))
        record = cell_pb2.Record(
            schema_version=2,
            name=workload.name,
            team=f"team-{self._rng.randrange(4)}",
            kind=workload.kind,
            priority=workload.priority,
            resources=resources_pb2.Resources(
                processors=workload.processors, memory_mb=workload.memory_mb
            ),
            expected_run_s=declared_run_s,
            max_attempts=3,
            repeatable=True,
            task_count=workload.tasks,
        )
        result = self._apply(cell_pb2.Command(submit_record=cell_pb2.SubmitRecord(record=record)))
        self._submitted[result.id] = (arrived_at, workload)
        self._queue.append(result.id)
        if self._planner is not None:
            self._planner.sync_record(self._bench.state.records[result.id])

    def _finish_tasks(self) -> None:
        while self._task_ends and self._task_ends[0][0] <= self._timers.now_s:
            _, record_id, index, epoch, worker = heapq.heappop(self._task_ends)
            report = cell_pb2.TaskReport(
                record=record_id, index=index, epoch=epoch, state="succeeded"
            )
            body = cell_pb2.ReportTasks(worker=worker, session="s", reports=[report])
            self._apply(cell_pb2.Command(report_tasks=body))
            if self._planner is not None:
                worker_info = self._bench.state.worker_table.get(worker)
                assert worker_info is not None
                self._planner.index.update(worker_info)

    def _place(self) -> None:
        while True:
            assignments = (
                self._planner.make_plan().assignments
                if self._planner is not None
                else self._choose_first_come()
            )
            if not assignments:
                return
            body = cell_pb2.PlaceTasks(assignments=assignments)
            self._apply(cell_pb2.Command(place_tasks=body))
            self._start(assignments)
            if self._planner is not None:
                self._planner.resync(assignments)

    def _start(self, assignments: list[cell_pb2.Assignment]) -> None:
        now = self._timers.now_s
        for assignment in assignments:
            task = self._bench.state.records[assignment.record].tasks[assignment.index]
            if task.worker != assignment.worker or task.epoch != assignment.epoch:
                continue
            arrived_at, workload = self._submitted[assignment.record]
            self._results.waits[workload.name].append(now - arrived_at)
            run_s = workload.run_s * self._rng.uniform(0.7, 1.3)
            heapq.heappush(
                self._task_ends,
                (now + run_s, assignment.record, assignment.index, task.epoch, task.worker),
            )

    def _choose_first_come(self) -> list[cell_pb2.Assignment]:
        """Assign records in order of arrival, up to the first that does not fit."""
        free = {w.message.id: w.free for w in self._bench.state.worker_table}
        chosen: list[cell_pb2.Assignment] = []
        while self._queue:
            record = self._bench.state.records[self._queue[0]]
            requested = make_amounts(record.resources)
            record_assignments = self._assign_record(record, requested, free)
            if record_assignments is None:
                break
            chosen += record_assignments
            self._queue.pop(0)
        return chosen

    def _assign_record(
        self, record: cell_pb2.Record, requested: Amounts, free: dict[str, Amounts]
    ) -> list[cell_pb2.Assignment] | None:
        assignments: list[cell_pb2.Assignment] = []
        remaining = dict(free)
        for task in record.tasks:
            fitting = [name for name, room in remaining.items() if requested.fits_in(room)]
            if not fitting:
                return None
            worker = self._rng.choice(fitting) if self._policy is Policy.RANDOM else fitting[0]
            remaining[worker] -= requested
            assignments.append(
                cell_pb2.Assignment(
                    record=record.id,
                    index=task.index,
                    epoch=task.epoch + 1,
                    worker=worker,
                    reserved=requested.to_message(),
                )
            )
        free.update(remaining)
        return assignments

    def _sample_packing(self) -> None:
        """While tasks are waiting, sample the higher of processor and memory utilization."""
        state = self._bench.state
        if sum(state.team_waiting.values()) == 0:
            return
        used_processors = sum(w.used.processors for w in state.worker_table)
        used_memory = sum(w.used.memory_mb for w in state.worker_table)
        total = state.worker_table.total
        self._results.packing.append(
            max(used_processors / total.processors, used_memory / total.memory_mb)
        )


def summarize(results: RunResults) -> dict[str, object]:
    """Return the percentiles of the waiting times of tasks and the mean packing."""
    all_waits = [wait for waits in results.waits.values() for wait in waits]
    return {
        "started": len(all_waits),
        "waits_s": {
            name: {f"p{p}": round(compute_percentile(waits, p), 1) for p in (50, 95, 99)}
            for name, waits in {**results.waits, "all": all_waits}.items()
        },
        "packing_while_waiting": round(sum(results.packing) / max(1, len(results.packing)), 4),
    }


def main() -> None:
    """Print the results of each user under each policy."""
    for user, workloads in USERS.items():
        for policy in Policy:
            results = Simulation(workloads, policy, seed=11).run()
            print_measurement("burst", {"user": user, "way": policy.value, **summarize(results)})


if __name__ == "__main__":
    main()
