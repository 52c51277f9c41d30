"""Stand-in fleet whose workers differ in speed and whose tasks slow each other by given amounts.

The planner and all that learns are the product's; only the passage of time is modelled, in ticks.
"""

import random
from dataclasses import dataclass

from bench.job_model import JobModel
from dewspindle._internal.jobs.placements import Placement, PlacementPhase
from dewspindle._internal.jobs.runs import JobRun, UnitRun
from dewspindle._internal.models.ids import TaskKind
from dewspindle._internal.scheduling.slowdowns import Slowdowns
from dewspindle._internal.schema import jobs_pb2, resources_pb2

TICK_S = 0.05
STRAGGLER_FRACTION = 0.03
STRAGGLER_FACTOR = 7.0
ESTIMATE_ERROR = 2.0  # Largest factor by which the estimates of a step are off in common.
TASK_NOISE = 0.1  # Standard deviation of the logarithm of the run times of a step.
CORES = 4000


@dataclass(frozen=True)
class StandInKind:
    """Steps that arrive regularly."""

    queue: str
    tasks: int
    run_s: float
    steps_per_s: float


@dataclass(eq=False)
class Run:
    """A task at work."""

    unit: UnitRun
    placement: Placement
    remaining_s: float  # At full speed, without neighbours.


KINDS = (
    StandInKind("sweep", tasks=20, run_s=1.5, steps_per_s=1.6),
    StandInKind("check", tasks=3, run_s=0.6, steps_per_s=16.0),
    StandInKind("index", tasks=8, run_s=1.0, steps_per_s=3.0),
)


class UnevenFleet:
    """Workers of 8 tasks each, some of them slow, under a steady load of three kinds of steps."""

    def __init__(self, *, workers: int, slow: int, seed: int, learns: bool = True) -> None:
        self.rng = random.Random(seed)
        self.model = JobModel(workers=workers, load=0.0, seed=seed, kinds=(), learns=learns)
        names = [worker.id for worker in self.model.fleet]
        self.speeds = {name: 0.55 if i < slow else 1.2 for i, name in enumerate(names)}
        self.effects: dict[tuple[TaskKind, TaskKind], float] = {}
        self.load = 1.0
        self.ends = 0
        self.jobs = 0
        self.runs: list[Run] = []
        self.false_pairs: set[tuple[TaskKind, TaskKind]] = set()  # Ever believed.
        self._due = dict.fromkeys(KINDS, 0.0)

    @property
    def slowdowns(self) -> Slowdowns:
        """Return what the planner has learnt."""
        return self.model.planner.interference

    @property
    def believed(self) -> set[tuple[TaskKind, TaskKind]]:
        """Return the pairs that are believed to interfere."""
        return {(pair.slowed, pair.neighbour) for pair in self.slowdowns.describe().pairs}

    def run(self, seconds: float) -> None:
        """Play for a time."""
        for _ in range(round(seconds / TICK_S)):
            self.tick()

    def tick(self) -> None:
        """Play one tick: arrivals, a planning round and the progress of all tasks."""
        self.model.timers.time += TICK_S
        for kind in KINDS:
            self._due[kind] += kind.steps_per_s * self.load * TICK_S
            while self._due[kind] >= 1.0:
                self._due[kind] -= 1.0
                self.submit(kind)
        self.plan()
        for run in list(self.runs):
            run.remaining_s -= TICK_S * self._compute_speed(run)
            if run.remaining_s <= 0:
                self._finish(run)
        self.false_pairs |= self.believed - self.effects.keys()

    def submit(
        self,
        kind: StandInKind,
        *,
        gang: bool = False,
        cores: int = CORES,
        max_per_worker: int = 0,
    ) -> None:
        """Submit a step, whose estimates are off by one factor for all its tasks."""
        queue = jobs_pb2.Queue(name=kind.queue, pool="pool", slack_factor=4)
        spec = jobs_pb2.JobSpec()
        error = ESTIMATE_ERROR ** self.rng.uniform(-1, 1)
        spec.steps.add(
            count=kind.tasks,
            resources=resources_pb2.Resources(processors=cores, memory_mb=1000),
            gang=gang,
            max_per_worker=max_per_worker,
            estimate_ms=int(kind.run_s * error * 1000),
        )
        self.jobs += 1
        stored = self.model.store.add(jobs_pb2.Job(id=f"{self.jobs:016x}", queue=queue, spec=spec))
        now = self.model.timers.now()
        self.model.planner.add(JobRun(stored, queue=queue, accepted_at=now, is_inherited=False))

    def plan(self) -> int:
        """Plan a round, start its tasks, and return their number."""
        starts = self.model.planner.plan(workers_reconciled=True, early_ms=0)
        for start in starts:
            [(position, worker_id)] = start.workers.items()
            worker = self.model.fleet.get(worker_id)
            attempt = start.unit.allocate_attempt(term=0)
            assert worker is not None and attempt is not None
            placement = start.unit.place(
                position,
                worker,
                attempt=attempt,
                phase=PlacementPhase.RUNNING,
                now=self.model.timers.now(),
            )
            [run_s] = [k.run_s for k in KINDS if placement.kind.startswith(k.queue)]
            run_s *= self.rng.lognormvariate(0, TASK_NOISE)
            if self.rng.random() < STRAGGLER_FRACTION:
                run_s *= STRAGGLER_FACTOR
            self.runs.append(Run(start.unit, placement, run_s))
        return len(starts)

    def _compute_speed(self, run: Run) -> float:
        worker = run.placement.worker
        speed = self.speeds[worker.id]
        others = {p.kind for p in worker.placements.values() if p is not run.placement}
        for other in others:
            speed /= self.effects.get((run.placement.kind, other), 1.0)
        return speed

    def _finish(self, run: Run) -> None:
        self.ends += 1
        self.runs.remove(run)
        run.placement.worker.release(run.placement)
        self.model.observer.record_end(run.placement, jobs_pb2.END_DONE, run.unit)
        run.unit.placements.clear()
        end = jobs_pb2.TaskEnd(position=run.placement.key[1], attempt=1, kind=jobs_pb2.END_DONE)
        run.unit.step.run.stored.apply_end(end)
        self.model.planner.finish_unit(run.unit)
