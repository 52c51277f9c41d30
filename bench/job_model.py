"""Discrete-event model of jobs on called workers, driven by the planner of the leader.

Arrivals, workers, run times and the advisor are modelled; the order, the placement and the choice
of workers to ask about are the product's. The network, the log and failures are left out.

    python -m bench.job_model --workers 270 --load 1.5 --seconds 40 --learn
"""

import argparse
import heapq
import itertools
import json
import math
import random
import time
from collections import defaultdict
from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Any

from dewspindle._internal.cell.jobs import JobStore, StoredJob
from dewspindle._internal.jobs.advice import AdviceRequest, StepAdvice, StepKey
from dewspindle._internal.jobs.fleet import Fleet
from dewspindle._internal.jobs.placements import PlacementPhase
from dewspindle._internal.jobs.planning import JobPlanner
from dewspindle._internal.jobs.planning_round import PlannedStart
from dewspindle._internal.jobs.run_observer import RunObserver
from dewspindle._internal.jobs.runs import JobRun, UnitRun
from dewspindle._internal.scheduling.job_advice import ApprovalOdds
from dewspindle._internal.scheduling.slowdowns import Slowdowns
from dewspindle._internal.schema import jobs_pb2, resources_pb2

ORDER_S = 0.01  # From the plan of a start to its task at work, or from its end to the next plan.
ROUND_S = 0.04  # Between two planning rounds.
HELPERS = 60
VALIDITY_S = 2.0
SPEEDS = (0.8, 1.0, 1.25)
LATE_WORTH = 0.2
LATE_FACTOR = 3.0
BURST_KIND = "report"
BURST_AT_S = 6.0
BURST_END_S = 10.0


@dataclass(frozen=True, slots=True)
class JobKind:
    """Jobs of one queue; sizes and run times are log-normal with a mean and a relative spread."""

    name: str
    priority: int
    per_s: float
    worth: float
    steps: float
    width: float
    processors: float
    run_s: float
    slack: float
    aim_s: float
    estimate_error: float
    gang_fraction: float
    checkpoint_fraction: float
    decision_s: float
    per_worker_s: float
    approved_fraction: float


KINDS = (
    JobKind(
        name="report",
        priority=1,
        per_s=4.58,
        worth=6.83,
        steps=1.2,
        width=20,
        processors=9000,
        run_s=4.0,
        slack=2.2,
        aim_s=1.0,
        estimate_error=0.5,
        gang_fraction=1.0,
        checkpoint_fraction=0.5,
        decision_s=0.507,
        per_worker_s=0.0073,
        approved_fraction=0.3,
    ),
    JobKind(
        name="refresh",
        priority=2,
        per_s=6.1,
        worth=3.19,
        steps=1.5,
        width=19,
        processors=5500,
        run_s=2.7,
        slack=4.0,
        aim_s=3.0,
        estimate_error=0.2,
        gang_fraction=0.0,
        checkpoint_fraction=0.8,
        decision_s=0.182,
        per_worker_s=0.0026,
        approved_fraction=0.45,
    ),
    JobKind(
        name="check",
        priority=0,
        per_s=67.6,
        worth=0.404,
        steps=1.0,
        width=3.1,
        processors=7900,
        run_s=0.64,
        slack=1.5,
        aim_s=0.25,
        estimate_error=0.2,
        gang_fraction=0.3,
        checkpoint_fraction=0.0,
        decision_s=0.017,
        per_worker_s=0.0002,
        approved_fraction=0.7,
    ),
)


@dataclass(slots=True)
class ModelJob:
    """A job with the true run time of each step and what its caller waits for."""

    kind: JobKind
    run: JobRun
    arrived_at: float
    objective_s: float
    worth: float
    run_s: list[float]


class ModelTimers:
    """Clock of the model."""

    def __init__(self) -> None:
        self.time = 0.0

    def now(self) -> float:
        """Return the model's time in seconds."""
        return self.time

    def wall_ms(self) -> int:
        """Return the model's time in milliseconds."""
        return int(self.time * 1000)


class ModelAdvisor:
    """Answers requests for advice after the time that the queue states; approvals never change."""

    def __init__(self, model: "JobModel") -> None:
        self._model = model
        self._steps: dict[StepKey, StepAdvice] = {}
        self._waiting: list[AdviceRequest] = []
        self._advised: set[StepKey] = set()
        self._busy = 0
        self.odds = ApprovalOdds()
        self.calls = 0

    @property
    def has_spare_helper(self) -> bool:
        """Return whether a helper is free and no request waits for one."""
        return not self._waiting and self._busy < HELPERS

    def get(self, key: StepKey) -> StepAdvice:
        """Return the advice for a step, empty if there is none yet."""
        return self._steps.setdefault(key, StepAdvice())

    def forget(self, key: StepKey) -> None:
        """Drop the advice for a step."""
        self._steps.pop(key, None)
        self._waiting = [request for request in self._waiting if request.key != key]

    def take_advised(self) -> set[StepKey]:
        """Return the steps whose requests were answered since the last time."""
        advised, self._advised = self._advised, set()
        return advised

    def withdraw_stale(self, keys: Collection[StepKey]) -> None:
        """Withdraw nothing, as helpers are many and no request waits long."""

    def ask(self, request: AdviceRequest) -> None:
        """Queue a request unless one is pending for the step."""
        self.get(request.key).pending.update(request.workers)
        self._waiting.append(request)
        self.dispatch()

    def dispatch(self) -> None:
        """Send waiting requests through free helpers, in rank order."""
        self._waiting.sort(key=lambda request: request.rank)
        while self._waiting and self._busy < HELPERS:
            request = self._waiting.pop(0)
            self._busy += 1
            self.calls += 1
            self._model.after(request.expected_s + ORDER_S, self._answer, request)

    def _answer(self, request: AdviceRequest) -> None:
        self._busy -= 1
        advice = self._steps.get(request.key)
        if advice is not None:
            advice.pending.difference_update(request.workers)
            self._advised.add(request.key)
            fraction = self._model.jobs[request.key[0]].kind.approved_fraction
            approved = {w: "t" for w in request.workers if _draw(request.key, w) < fraction}
            first = [worker for worker in request.workers if worker not in advice.tickets]
            self.odds.record(
                request.queue, listed=len(first), approved=sum(w in approved for w in first)
            )
            expires_at = self._model.timers.now() + VALIDITY_S
            advice.record_decision(request.workers, approved, expires_at=expires_at)
        self.dispatch()


def _draw(key: StepKey, worker: str) -> float:
    return random.Random(f"{key}{worker}").random()


class JobModel:
    """One run of the model."""

    def __init__(
        self,
        *,
        workers: int,
        load: float,
        seed: int,
        kinds: tuple[JobKind, ...],
        burst: float = 1.0,
        learns: bool = False,
        speeds: tuple[float, ...] = SPEEDS,
    ) -> None:
        self.burst = burst
        self.timers = ModelTimers()
        self.jobs: dict[str, ModelJob] = {}
        self.kinds = kinds
        self.load = load
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._numbers = itertools.count()
        self.fleet = Fleet()
        self._speed_choices = speeds
        self.speeds: dict[str, float] = {}
        for number in range(workers):
            self._add_worker(f"w{number}")
        self.advisor = ModelAdvisor(self)
        self.store = JobStore()
        self.queues = {kind.name: self._make_queue(kind) for kind in kinds}
        self.store.queue_table = jobs_pb2.QueueTable(version=1, queues=self.queues.values())
        self.planner = JobPlanner(
            fleet=self.fleet,
            advice=self.advisor,  # type: ignore[arg-type]
            store=self.store,
            timers=self.timers,  # type: ignore[arg-type]
            slowdowns=Slowdowns(timers=self.timers, is_enabled=learns),  # type: ignore[arg-type]
        )
        self.observer = RunObserver(self.planner.interference, timers=self.timers)  # type: ignore[arg-type]
        self.earned: dict[str, float] = defaultdict(float)
        self.owed: dict[str, float] = defaultdict(float)
        self.counts: dict[str, dict[str, int]] = defaultdict(lambda: defaultdict(int))
        self.round_s: list[float] = []
        self.observe_s = 0.0  # Time of learning from the ends of tasks.
        self.ends = 0

    def _add_worker(self, name: str) -> None:
        capacity = resources_pb2.Resources(processors=32_000, memory_mb=131_072)
        worker = self.fleet.add(jobs_pb2.CalledWorker(id=name, pool="pool", capacity=capacity))
        worker.is_reconciled = True
        worker.last_heartbeat_at = worker.capacity_known_at = math.inf
        worker.lease.record_clock(0, received_at=0.0)
        self.speeds[name] = self._rng.choice(self._speed_choices)

    @staticmethod
    def _make_queue(kind: JobKind) -> jobs_pb2.Queue:
        advisor = jobs_pb2.Advisor(
            decision_ms=kind.decision_s * 1000, per_worker_ms=kind.per_worker_s * 1000
        )
        return jobs_pb2.Queue(
            name=kind.name,
            host="model",
            path_prefix=f"/{kind.name}/",
            pool="pool",
            priority=kind.priority,
            max_attempts=3,
            slack_factor=kind.slack,
            aim_ms=int(kind.aim_s * 1000),
            advisor=advisor,
        )

    def after(self, seconds: float, call: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call."""
        at = self.timers.time + seconds
        heapq.heappush(self._events, (at, next(self._numbers), call, arguments))

    def run(self, seconds: float) -> None:
        """Let jobs arrive for a time, then play on until each has ended or is of no use."""
        for kind in self.kinds:
            self._arrive(kind, seconds, is_first=True)
        self.after(0.0, self._plan, seconds * 2 + 20)
        while self._events:
            self.timers.time, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)

    def _arrive(self, kind: JobKind, until: float, *, is_first: bool = False) -> None:
        if not is_first:
            self._submit(kind)
        is_burst = kind.name == BURST_KIND and BURST_AT_S <= self.timers.time < BURST_END_S
        rate = kind.per_s * self.load * (self.burst if is_burst else 1.0)
        delay = self._rng.expovariate(rate)
        if self.timers.time + delay < until:
            self.after(delay, self._arrive, kind, until)

    def _sample(self, mean: float, spread: float, longest: float) -> float:
        sigma = math.sqrt(math.log(1 + spread**2))
        return min(longest, mean * math.exp(self._rng.gauss(-(sigma**2) / 2, sigma)))

    def _submit(self, kind: JobKind) -> None:
        spec = jobs_pb2.JobSpec(payload="p")
        run_s, estimates_s = [], []
        step_count = max(1, round(self._sample(kind.steps, 0.4, kind.steps * 2.5)))
        is_saved = self._rng.random() < kind.checkpoint_fraction
        for number in range(step_count):
            width = max(1, round(self._sample(kind.width, 0.7, kind.width * 5)))
            run_s.append(self._sample(kind.run_s, 0.5, kind.run_s * 2.5))
            error = kind.estimate_error
            estimates_s.append(run_s[-1] * self._rng.uniform(1 - error, 1 + error))
            spec.steps.add(
                count=width,
                resources=resources_pb2.Resources(
                    processors=int(self._sample(kind.processors, 0.42, 15_000)), memory_mb=20_000
                ),
                estimate_ms=int(estimates_s[-1] * 1000),
                gang=self._rng.random() < kind.gang_fraction,
                checkpointing=is_saved,
                depends_on=[number - 1] if number else [],
            )
        message = jobs_pb2.Job(id=f"{len(self.jobs):016x}", queue=self.queues[kind.name], spec=spec)
        stored = self.store.add(message)
        run = JobRun(
            stored,
            queue=message.queue,
            accepted_at=self.timers.time,
            is_inherited=False,
        )
        advice_s = (kind.decision_s + 30 * kind.per_worker_s) * step_count
        objective_s = kind.slack * (sum(run_s) + advice_s) + kind.aim_s
        work = sum(
            s.count * s.resources.processors * t for s, t in zip(spec.steps, run_s, strict=True)
        )
        mean = kind.steps * kind.width * kind.processors * kind.run_s
        worth = min(4.0, 0.3 + 0.7 * work / mean) * kind.worth
        self.jobs[stored.id] = ModelJob(kind, run, self.timers.time, objective_s, worth, run_s)
        self.owed[kind.name] += worth
        self.counts[kind.name]["submitted"] += 1
        self.planner.add(run)

    def _plan(self, until: float) -> None:
        started_at = time.perf_counter()
        starts = self.planner.plan(workers_reconciled=True, early_ms=0)
        self.round_s.append(time.perf_counter() - started_at)
        for start in starts:
            self._start(start)
        if self.timers.time < until and (self._events or self.planner.has_waiting):
            self.after(ROUND_S, self._plan, until)

    def _start(self, start: PlannedStart) -> None:
        unit, step = start.unit, start.unit.step
        job = self.jobs[step.run.stored.id]
        attempt = unit.allocate_attempt(term=0)
        assert attempt is not None
        for position, name in start.workers.items():
            worker = self.fleet.get(name)
            assert worker is not None
            unit.place(
                position,
                worker,
                attempt=attempt,
                phase=PlacementPhase.RUNNING,
                now=self.timers.time,
            )
        speed = min(self.speeds[name] for name in start.workers.values())
        duration_s = job.run_s[step.index] / speed + ORDER_S
        self.after(duration_s, self._finish, unit, attempt)

    def _finish(self, unit: UnitRun, attempt: int) -> None:
        if unit.attempt != attempt or not unit.placements:
            return
        stored = unit.step.run.stored
        for placement in list(unit.placements.values()):
            placement.worker.release(placement)
            started_at = time.perf_counter()
            self.observer.record_end(placement, jobs_pb2.END_DONE, unit)
            self.observe_s += time.perf_counter() - started_at
            self.ends += 1
        unit.placements.clear()
        self._apply(stored, unit, attempt, jobs_pb2.END_DONE)
        self.planner.finish_unit(unit)
        if stored.has_succeeded:
            self._complete(stored)

    @staticmethod
    def _apply(
        stored: StoredJob, unit: UnitRun, attempt: int, kind: jobs_pb2.EndKind.ValueType
    ) -> None:
        for position in unit.unit.positions:
            stored.apply_end(
                jobs_pb2.TaskEnd(job=stored.id, position=position, attempt=attempt, kind=kind)
            )

    def _complete(self, stored: StoredJob) -> None:
        job = self.jobs[stored.id]
        latency_s = self.timers.time - job.arrived_at
        outcome, share = "unused", 0.0
        if latency_s <= job.objective_s:
            outcome, share = "in_time", 1.0
        elif latency_s <= job.objective_s * LATE_FACTOR:
            outcome, share = "late", LATE_WORTH
        self.counts[job.kind.name][outcome] += 1
        self.earned[job.kind.name] += share * job.worth
        self.planner.remove(job.run)

    def summarize(self) -> dict[str, Any]:
        """Return what callers got, by kind, and the cost of planning."""
        rounds = sorted(self.round_s)
        return {
            "worth": round(sum(self.earned.values()) / sum(self.owed.values()), 4),
            "worth_by_kind": {
                name: round(self.earned[name] / self.owed[name], 4) for name in self.owed
            },
            "jobs": {name: dict(counts) for name, counts in self.counts.items()},
            "advice_calls": self.advisor.calls,
            "changed_placements": self.planner.interference.describe().changed_placements,
            "observe_us_per_end": round(self.observe_s / max(1, self.ends) * 1e6, 1),
            "plan_s": round(sum(rounds), 3),
            "round_ms_p50": round(rounds[len(rounds) // 2] * 1000, 2),
            "round_ms_p99": round(rounds[int(len(rounds) * 0.99)] * 1000, 2),
        }


def play(
    *,
    workers: int,
    load: float,
    seconds: float,
    seed: int,
    burst: float = 1.0,
    learns: bool = False,
    speeds: tuple[float, ...] = SPEEDS,
) -> dict[str, Any]:
    """Play one run and return its summary; in a burst, jobs of one kind arrive more often."""
    kinds = tuple(_scale(kind, workers / 270) for kind in KINDS)
    model = JobModel(
        workers=workers,
        load=load,
        seed=seed,
        kinds=kinds,
        burst=burst,
        learns=learns,
        speeds=speeds,
    )
    model.run(seconds)
    return model.summarize()


def _scale(kind: JobKind, factor: float) -> JobKind:
    values = {name: getattr(kind, name) for name in kind.__slots__}
    return JobKind(**{**values, "per_s": kind.per_s * factor})


def main() -> None:
    """Print the summary of each seed as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workers", type=int, default=270)
    parser.add_argument("--load", type=float, default=1.0, help="times the usual arrivals")
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--burst", type=float, default=1.0, help="times the arrivals of gangs")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument(
        "--learn", action="store_true", help="prefer fast workers and good neighbours"
    )
    parser.add_argument("--speeds", type=float, nargs="+", default=SPEEDS, help="of workers")
    arguments = parser.parse_args()
    for seed in range(1, arguments.seeds + 1):
        summary = play(
            workers=arguments.workers,
            load=arguments.load,
            seconds=arguments.seconds,
            seed=seed,
            burst=arguments.burst,
            learns=arguments.learn,
            speeds=tuple(arguments.speeds),
        )
        print(json.dumps({"seed": seed, "load": arguments.load, **summary}))


if __name__ == "__main__":
    main()
