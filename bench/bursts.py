"""Waiting times and packing through a burst of ten times the usual load, for each user.

The scheduler's planner and the state run as in an instance; time is simulated second by second,
and tasks end when their true run time is over. Declared run times and sizes are off by up to
ten times either way. Fixed seeds.

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

from .figures import compute_percentile, show
from .scheduling_state import BenchState

WORKERS = 24
PROCESSORS = 32_000
STEP_S = 0.5
USUAL_S = 120.0
BURST_S = 120.0
DRAIN_S = 900.0
BURST_FACTOR = 10
LOAD = 0.35  # Of the fleet, before the burst.


class Way(Enum):
    """Ways of scheduling that are compared."""

    WAITING = "waiting"
    PACKING = "packing"
    FIRST_FIT = "first come, first fit"
    RANDOM = "first come, random worker"


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of a user's work."""

    name: str
    share: float  # Of the records.
    processors: int
    memory_mb: int
    run_s: float
    tasks: int
    kind: str = "batch"
    priority: str = "normal"


USERS = {
    "Sulit Kotse": (
        Kind("valuation", 0.15, 2000, 6144, 40, 6, priority="low"),
        Kind("photo-batch", 0.25, 1000, 2048, 12, 4),
        Kind("price-check", 0.60, 250, 512, 1, 1, priority="urgent"),
    ),
    "Irtysh Hydroflex": (
        Kind("spec-sheet", 0.30, 1500, 3072, 8, 2),
        Kind("claim", 0.30, 500, 1024, 4, 1),
        Kind("stock-check", 0.35, 250, 512, 1, 1, priority="urgent"),
        Kind("fleet-plan", 0.05, 4000, 12288, 30, 6, kind="gang", priority="low"),
    ),
}


class SimulatedTimers:
    """Timer service whose time the simulation sets."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def now(self) -> float:
        """Return the simulated time."""
        return self.now_s

    def wall_ms(self) -> int:
        """Return the simulated time in milliseconds."""
        return int(self.now_s * 1000) + 1_000_000


@dataclass(slots=True)
class Figures:
    """What one run showed."""

    waits: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    packing: list[float] = field(default_factory=list)


def compute_records_per_s(kinds: tuple[Kind, ...]) -> float:
    """Return the records a second that make the usual load."""
    work = sum(kind.share * kind.tasks * kind.processors * kind.run_s for kind in kinds)
    return LOAD * WORKERS * PROCESSORS / work


def iterate_arrivals(kinds: tuple[Kind, ...], rng: random.Random) -> Iterator[tuple[float, Kind]]:
    """Yield arrivals: a usual time, then a burst."""
    usual = compute_records_per_s(kinds)
    at = 0.0
    while at < USUAL_S + BURST_S:
        rate = usual * (BURST_FACTOR if at >= USUAL_S else 1)
        at += rng.expovariate(rate)
        yield at, rng.choices(kinds, [kind.share for kind in kinds])[0]


class Run:
    """One simulated run."""

    def __init__(self, kinds: tuple[Kind, ...], way: Way, *, seed: int) -> None:
        self._kinds = kinds
        self._way = way
        self._rng = random.Random(seed)
        self._bench = BenchState(seed=seed)
        self._timers = SimulatedTimers()
        self._bench._at_ms = self._timers.wall_ms()
        self._bench.add_workers(WORKERS, zones=3)
        self._ends: list[tuple[float, str, int, int, str]] = []
        self._submitted: dict[str, tuple[float, Kind]] = {}
        self._queue: list[str] = []
        self._figures = Figures()
        self._planner = self._make_planner()

    def _make_planner(self) -> Planner | None:
        if self._way not in (Way.WAITING, Way.PACKING):
            return None
        body = cell_pb2.PutConfig(
            name="scheduling", value=f'{{"objective": "{self._way.value}"}}'.encode()
        )
        self._apply(cell_pb2.Command(put_config=body))
        budget = RetryBudget(
            timers=self._timers,  # type: ignore[arg-type]
            share=0.2,
            minimum_per_s=5,
            capacity=100,
        )
        planner = Planner(self._bench.state, timers=self._timers, retry_budget=budget)  # type: ignore[arg-type]
        planner.rebuild()
        return planner

    def _apply(self, command: cell_pb2.Command) -> cell_pb2.Result:
        self._bench._at_ms = self._timers.wall_ms()
        return self._bench.apply(command)

    def run(self) -> Figures:
        """Run until all work is done or the time is over."""
        arrivals = iterate_arrivals(self._kinds, self._rng)
        pending = next(arrivals, None)
        while self._timers.now_s < USUAL_S + BURST_S + DRAIN_S:
            self._timers.now_s += STEP_S
            while pending is not None and pending[0] <= self._timers.now_s:
                self._submit(*pending)
                pending = next(arrivals, None)
            self._end_tasks()
            self._place()
            self._note_packing()
            if pending is None and not self._bench.state.open_records:
                break
        return self._figures

    def _submit(self, at: float, kind: Kind) -> None:
        declared = max(1, int(kind.run_s * 10 ** self._rng.uniform(-1, 1)))
        record = cell_pb2.Record(
            schema_version=2,
            name=kind.name,
            team=f"team-{self._rng.randrange(4)}",
            kind=kind.kind,
            priority=kind.priority,
            resources=resources_pb2.Resources(processors=kind.processors, memory_mb=kind.memory_mb),
            expected_run_s=declared,
            max_attempts=3,
            repeatable=True,
            task_count=kind.tasks,
        )
        result = self._apply(cell_pb2.Command(submit_record=cell_pb2.SubmitRecord(record=record)))
        self._submitted[result.id] = (at, kind)
        self._queue.append(result.id)
        if self._planner is not None:
            self._planner.sync_record(self._bench.state.records[result.id])

    def _end_tasks(self) -> None:
        while self._ends and self._ends[0][0] <= self._timers.now_s:
            _, record_id, index, epoch, worker = heapq.heappop(self._ends)
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
                else self._choose_plainly()
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
            at, kind = self._submitted[assignment.record]
            self._figures.waits[kind.name].append(now - at)
            run_s = kind.run_s * self._rng.uniform(0.7, 1.3)
            heapq.heappush(
                self._ends,
                (now + run_s, assignment.record, assignment.index, task.epoch, task.worker),
            )

    def _choose_plainly(self) -> list[cell_pb2.Assignment]:
        """Take records first come, and stop at the first task that does not fit."""
        free = {a.message.id: a.free for a in self._bench.state.worker_table}
        chosen: list[cell_pb2.Assignment] = []
        while self._queue:
            record = self._bench.state.records[self._queue[0]]
            need = make_amounts(record.resources)
            placed = self._choose_for(record, need, free)
            if placed is None:
                break
            chosen += placed
            self._queue.pop(0)
        return chosen

    def _choose_for(
        self, record: cell_pb2.Record, need: Amounts, free: dict[str, Amounts]
    ) -> list[cell_pb2.Assignment] | None:
        taken: list[cell_pb2.Assignment] = []
        tried = dict(free)
        for task in record.tasks:
            fitting = [name for name, room in tried.items() if need.fits_in(room)]
            if not fitting:
                return None
            worker = self._rng.choice(fitting) if self._way is Way.RANDOM else fitting[0]
            tried[worker] -= need
            taken.append(
                cell_pb2.Assignment(
                    record=record.id,
                    index=task.index,
                    epoch=task.epoch + 1,
                    worker=worker,
                    reserved=need.to_message(),
                )
            )
        free.update(tried)
        return taken

    def _note_packing(self) -> None:
        """Note the used part of the scarcer resource while work waits."""
        state = self._bench.state
        if sum(state.team_waiting.values()) == 0:
            return
        used_processors = sum(a.used.processors for a in state.worker_table)
        used_memory = sum(a.used.memory_mb for a in state.worker_table)
        total = state.worker_table.total
        self._figures.packing.append(
            max(used_processors / total.processors, used_memory / total.memory_mb)
        )


def summarize(figures: Figures) -> dict[str, object]:
    """Return the percentiles of each kind and the mean packing."""
    everything = [wait for waits in figures.waits.values() for wait in waits]
    return {
        "started": len(everything),
        "waits_s": {
            name: {f"p{p}": round(compute_percentile(waits, p), 1) for p in (50, 95, 99)}
            for name, waits in {**figures.waits, "all": everything}.items()
        },
        "packing_while_waiting": round(sum(figures.packing) / max(1, len(figures.packing)), 4),
    }


def main() -> None:
    """Print the figures of each user under each way."""
    for user, kinds in USERS.items():
        for way in Way:
            figures = Run(kinds, way, seed=11).run()
            show("burst", {"user": user, "way": way.value, **summarize(figures)})


if __name__ == "__main__":
    main()
