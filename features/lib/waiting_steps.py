"""Model of a leader that plans steps on modelled workers.

The planner and the client of the advisor are the product's; workers, helpers and the advisor are
modelled on a manual clock.
"""

import asyncio
import heapq
import itertools
import math
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from dewspindle._internal.cell.jobs import JobStore
from dewspindle._internal.exceptions import NoLeaderError
from dewspindle._internal.jobs.advice import AdviceClient, StepKey
from dewspindle._internal.jobs.fleet import Fleet
from dewspindle._internal.jobs.fleet_worker import FleetWorker
from dewspindle._internal.jobs.helper_registry import HelperRegistry
from dewspindle._internal.jobs.placements import Placement, PlacementPhase
from dewspindle._internal.jobs.planning import JobPlanner
from dewspindle._internal.jobs.planning_loop import URGENT_INTERVAL_S, URGENT_PAUSE_FACTOR
from dewspindle._internal.jobs.planning_round import PlannedStart
from dewspindle._internal.jobs.relay import JobRelay
from dewspindle._internal.jobs.runs import JobRun, UnitRun
from dewspindle._internal.jobs.task_events import FAILED_RETRY_DELAY_S
from dewspindle._internal.models.ids import JobId
from dewspindle._internal.models.jobs import TaskRef
from dewspindle._internal.models.resources import Amounts
from dewspindle._internal.replication.transport import PeerUnreachableError
from dewspindle._internal.schema import jobs_pb2, peers_pb2, resources_pb2
from dewspindle._internal.utils.metrics import Metrics

from .busy_loop import BusyLoop
from .clock import ManualClock, ManualTimerService
from .wait_check import WaitCheck

ROUND_S = 0.05  # Between two planning rounds.
CALLER_INTERVAL_S = 1.0  # Between two requests of callers at each entry instance.
VALIDITY_MS = 1500
CAPACITY = Amounts(processors=32_000, memory_mb=131_072)
PRIORITIES = 3
# Decision time of the advisor of a queue, and the time that each listed worker adds.
ADVISORS = {"slow": (576, 5.2), "usual": (115, 1.0), "fast": (16, 0.15)}
LEADER = "10.0.0.1:7000"


@dataclass
class Behavior:
    """How the tasks of a job run."""

    run_s: float
    failing_index: int | None = None  # The first attempt of the task at this position fails.
    approved: frozenset[str] | None = None  # By the advisor; drawn at random if not given.


class LoopGroup:
    """Starts tasks in the running event loop."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def start_soon(self, call: Callable[..., Coroutine[Any, Any, None]], *args: Any) -> None:
        """Start a task."""
        task = asyncio.ensure_future(call(*args))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class EntryInstance:
    """An entry instance, which relays callers' requests and calls the advisor for the leader.

    Takes the place of the client through which it reaches the leader.
    """

    def __init__(self, address: str, registry: HelperRegistry, timers: ManualTimerService) -> None:
        self.address = address
        self.is_lost = False
        self._registry = registry
        self._timers = timers
        self.relay = JobRelay(
            self,  # type: ignore[arg-type]
            timers=timers,
            metrics=Metrics(instance=address, zone="z"),
            helper_address=address,
        )

    async def send(self, method: Any, request: Any, *, timeout_s: float, **_: Any) -> Any:
        """Answer for the leader, which learns of the entry instance from the request."""
        if self.is_lost:
            await self._timers.sleep(timeout_s)
            raise NoLeaderError("the entry instance is lost")
        self._registry.record_entry_instance(request.helper_address)
        return peers_pb2.RelayJobsAnswer(answers=[peers_pb2.JobAnswer() for _ in request.requests])

    async def relay_request(self) -> None:
        """Relay a request of a caller."""
        if not self.is_lost:
            await self.relay.send(peers_pb2.JobRequest(call=peers_pb2.JOB_READ), timeout_s=3.0)


class WaitingModel:
    """A leader's planner over modelled workers, with the waiting time of each unit."""

    def __init__(self, *, workers: int, helpers: int, seed: int = 1, approved: float = 0.4) -> None:
        self.clock = ManualClock()
        self.timers = ManualTimerService(self.clock)
        self.began_at = self.clock.now
        self.seed = seed
        self.approved_fraction = approved
        self.store = JobStore()
        self.fleet = Fleet()
        self.behaviors: dict[JobId, Behavior] = {}
        self._draws: dict[tuple[StepKey, str], float] = {}
        self.callers_send = True
        self.is_gang_advisor_lost = False
        self.answers_are_incomplete = False  # Those of the advisor, which then approve no worker.
        self.loop: BusyLoop | None = None  # Rounds begin at fixed intervals if there is none.
        self.replicas = [f"10.0.0.{number + 2}:7000" for number in range(4)]
        self.registry = HelperRegistry(
            own_address=LEADER, list_replicas=lambda: self.replicas, timers=self.timers
        )
        self.entry_instances = {
            address: EntryInstance(address, self.registry, self.timers)
            for address in (f"10.1.0.{number}:7000" for number in range(helpers))
        }
        self.client, self.planner = self._make_planner()
        self.queues = {
            (name, priority, pool): self._make_queue(name, priority, pool)
            for name in (*ADVISORS, "none")
            for priority in range(PRIORITIES)
            for pool in ("pool", "other")
        }
        self.store.queue_table = jobs_pb2.QueueTable(version=1, queues=self.queues.values())
        self.runs: list[JobRun] = []
        self.started: list[tuple[float, JobId]] = []  # The second of each start.
        self.check = WaitCheck(
            runs=self.runs,
            fleet=self.fleet,
            store=self.store,
            client=self.client,
            planner=self.planner,
            timers=self.timers,
            is_approved=self._is_approved,
        )
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._numbers = itertools.count()
        self._worker_numbers = itertools.count()
        self._group = LoopGroup()
        self._is_started = False
        self._background: list[Callable[[], Coroutine[Any, Any, None]]] = []
        for _ in range(workers):
            self.add_worker()

    def _make_planner(self) -> tuple[AdviceClient, JobPlanner]:
        client = AdviceClient(
            list_helpers=self.registry.list_helpers,
            call=self._advise,
            timers=self.timers,
            metrics=Metrics(instance="i", zone="z"),
            on_answer=lambda key: self.planner.record_advised(key),
        )
        planner = JobPlanner(fleet=self.fleet, advice=client, store=self.store, timers=self.timers)
        return client, planner

    def change_leader(self) -> None:
        """Let another leader plan, which knows no advice but what runs where."""
        self.client, self.planner = self._make_planner()
        self.client.start(self._group)  # type: ignore[arg-type]
        self.check.follow(client=self.client, planner=self.planner)
        self._group.start_soon(self._plan_urgent_steps, self.planner)
        for run in self.runs:
            if not run.stored.has_succeeded:
                self.planner.add(run)

    def add_team(self, name: str, *, cap: Amounts) -> None:
        """Add a team with a cap."""
        table = jobs_pb2.QueueTable()
        table.CopyFrom(self.store.queue_table)
        table.teams.add(name=name, weight=100.0, cap=cap.to_message())
        self.store.queue_table = table

    @property
    def now(self) -> float:
        """Return the seconds since the model began."""
        return self.clock.now - self.began_at

    @staticmethod
    def _make_queue(name: str, priority: int, pool: str) -> jobs_pb2.Queue:
        queue = jobs_pb2.Queue(
            name=f"{name}{priority}{pool}",
            host="model",
            path_prefix=f"/{name}{priority}{pool}/",
            pool=pool,
            priority=priority,
            max_attempts=5,
            slack_factor=4.0,
            aim_ms=500,
        )
        if name in ADVISORS:
            decision_ms, per_worker_ms = ADVISORS[name]
            queue.advisor.CopyFrom(
                jobs_pb2.Advisor(decision_ms=decision_ms, per_worker_ms=per_worker_ms)
            )
        return queue

    # Workers and helpers.

    def add_worker(self, *, pool: str = "pool") -> FleetWorker:
        """Add a worker under a new id."""
        worker_id = f"w{next(self._worker_numbers)}"
        message = jobs_pb2.CalledWorker(id=worker_id, pool=pool, capacity=CAPACITY.to_message())
        worker = self.fleet.add(message)
        worker.is_reconciled = True
        worker.last_heartbeat_at = worker.capacity_known_at = float("inf")
        worker.lease.record_clock(0, received_at=self.clock.now)
        return worker

    def lose_worker(self, worker_id: str, *, returns_after_s: float) -> None:
        """Lose a worker with its tasks; another comes under a new id."""
        worker = self.fleet.get(worker_id)
        if worker is None:
            return
        for placement in list(worker.placements.values()):
            run = self._find_run(placement)
            unit = run.find_unit(placement.key[1]) if run is not None else None
            worker.release(placement)
            if unit is not None:
                self._end_unit(unit, unit.attempt, jobs_pb2.END_LAPSED)
        self.fleet.remove(worker_id)
        self.after(returns_after_s, self.add_worker)

    def suspend_worker(self, worker_id: str, seconds: float) -> None:
        """Suspend a worker for a time."""
        worker = self.fleet.get(worker_id)
        if worker is not None:
            worker.suspended_until = self.clock.now + seconds

    def occupy(
        self, worker_id: str, amounts: Amounts, seconds: float, *, estimate_s: float | None = None
    ) -> None:
        """Let a worker run a task of another job, whose estimate is right if none is given."""
        worker = self.fleet.get(worker_id)
        assert worker is not None
        ref = TaskRef(JobId(f"other{next(self._numbers)}"), 0, 0, 0)
        placement = Placement(
            key=(ref.job, 0),
            task=ref,
            attempt=1,
            amounts=amounts,
            worker=worker,
            phase=PlacementPhase.RUNNING,
            placed_at=self.clock.now,
            estimate_s=seconds if estimate_s is None else estimate_s,
        )
        worker.add(placement)
        self.after(seconds, worker.release, placement)

    def lose_helpers(self, count: int) -> None:
        """Lose entry instances, which leave their calls unanswered from now on."""
        running = [entry for entry in self.entry_instances.values() if not entry.is_lost]
        for entry in running[:count]:
            entry.is_lost = True

    def silence_callers(self) -> None:
        """Let callers send no more requests; the entry instances still serve calls."""
        self.callers_send = False

    def _is_approved(self, key: StepKey, worker_id: str) -> bool:
        approved = self.behaviors[key[0]].approved
        if approved is not None:
            return worker_id in approved
        draw = self._draws.get((key, worker_id))
        if draw is None:
            draw = random.Random(f"{self.seed} {key} {worker_id}").random()
            self._draws[key, worker_id] = draw
        return draw < self.approved_fraction

    async def _advise(
        self, helper: str, request: peers_pb2.AdviseRequest
    ) -> peers_pb2.AdviseAnswer:
        key = (JobId(request.job), request.occurrence, request.step)
        advisor = self.store.get_current_queue(self.store.jobs[key[0]]).advisor
        call_s = (advisor.decision_ms + advisor.per_worker_ms * len(request.workers)) / 1000
        limit_s = request.timeout_ms / 1000
        entry = self.entry_instances.get(helper)
        is_gang = self.store.jobs[key[0]].message.spec.steps[key[2]].gang
        is_unanswered = call_s > limit_s or (entry is not None and entry.is_lost)
        is_unanswered = is_unanswered or (is_gang and self.is_gang_advisor_lost)
        await self.timers.sleep(limit_s if is_unanswered else call_s)
        if is_unanswered:
            raise PeerUnreachableError(helper)
        answer = peers_pb2.AdviseAnswer(validity_ms=VALIDITY_MS)
        if self.answers_are_incomplete:
            answer.incomplete = True
            return answer
        for worker_id in request.workers:
            if self._is_approved(key, worker_id):
                answer.approvals.add(worker=worker_id, ticket="t")
        return answer

    # Jobs.

    def submit(
        self,
        *,
        count: int,
        amounts: Amounts,
        behavior: Behavior,
        gang: bool,
        queue: tuple[str, int, str] = ("slow", 1, "pool"),
        estimate_s: float | None = None,
        waited_s: float = 0.0,
        team: str = "",
    ) -> JobRun:
        """Submit a job of one step."""
        spec = jobs_pb2.JobSpec(payload="p")
        estimate_s = behavior.run_s if estimate_s is None else estimate_s
        spec.steps.add(
            count=count,
            resources=resources_pb2.Resources(
                processors=amounts.processors, memory_mb=amounts.memory_mb
            ),
            estimate_ms=int(estimate_s * 1000),
            gang=gang,
        )
        message = jobs_pb2.Job(
            id=f"{len(self.runs):016x}", queue=self.queues[queue], spec=spec, team=team
        )
        stored = self.store.add(message)
        run = JobRun(
            stored,
            queue=message.queue,
            accepted_at=self.clock.now - waited_s,
            is_inherited=False,
        )
        self.behaviors[stored.id] = behavior
        self.runs.append(run)
        self.planner.add(run)
        return run

    def _find_run(self, placement: Placement) -> JobRun | None:
        job = placement.key[0]
        return next((run for run in self.runs if run.stored.id == job), None)

    def _start(self, start: PlannedStart) -> None:
        unit, behavior = start.unit, self.behaviors[start.unit.step.run.stored.id]
        attempt = unit.allocate_attempt(term=0)
        assert attempt is not None
        self.started.append((self.now, unit.step.run.stored.id))
        for position, worker_id in start.workers.items():
            worker = self.fleet.get(worker_id)
            assert worker is not None
            unit.place(
                position,
                worker,
                attempt=attempt,
                phase=PlacementPhase.RUNNING,
                now=self.clock.now,
            )
        first = unit.unit.first_position
        fails = first == behavior.failing_index and attempt == 1
        kind = jobs_pb2.END_FAILED if fails else jobs_pb2.END_DONE
        self.after(behavior.run_s, self._end_unit, unit, attempt, kind)

    def _end_unit(self, unit: UnitRun, attempt: int, kind: jobs_pb2.EndKind.ValueType) -> None:
        """Apply the end of an attempt as `TaskEvents` does."""
        if unit.attempt != attempt or not unit.placements:
            return
        for placement in unit.placements.values():
            worker = placement.worker
            if placement.phase is not PlacementPhase.ENDED:
                worker.release(placement)
            if kind != jobs_pb2.END_LAPSED:
                worker.record_end(placement.key[0], kind, self.clock.now)
            if kind != jobs_pb2.END_DONE:
                unit.avoided.add(worker.id)
        unit.placements.clear()
        stored = unit.step.run.stored
        for position in unit.unit.positions:
            stored.apply_end(
                jobs_pb2.TaskEnd(job=stored.id, position=position, attempt=attempt, kind=kind)
            )
        if unit.is_done:
            self.planner.finish_unit(unit)
            if stored.has_succeeded:
                self.planner.remove(unit.step.run)
            return
        unit.not_before = self.clock.now + FAILED_RETRY_DELAY_S
        self.planner.requeue(unit)

    # Time.

    def after(self, seconds: float, call: Callable[..., Any], *arguments: Any) -> None:
        """Schedule a call."""
        at = self.clock.now + seconds
        heapq.heappush(self._events, (at, next(self._numbers), call, arguments))

    def run_beside(self, call: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a task of its own beside the rounds, which begin later than this call."""
        self._background.append(call)

    async def run(self, seconds: float) -> None:
        """Plan in rounds, as the dispatcher does."""
        if not self._is_started:
            self._is_started = True
            self.client.start(self._group)  # type: ignore[arg-type]
            self._group.start_soon(self._plan_urgent_steps, self.planner)
            for entry in self.entry_instances.values():
                self._group.start_soon(entry.relay.run)
            for background in self._background:
                self._group.start_soon(background)
            self._relay_requests()
        until = self.clock.now + seconds
        while self.clock.now < until:
            while self._events and self._events[0][0] <= self.clock.now:
                _, _, call, arguments = heapq.heappop(self._events)
                call(*arguments)
            now = self.clock.now
            budget = math.inf if self.loop is None else self.loop.pacer.get_budget(now=now)
            limit = math.inf if self.loop is None else self.loop.pacer.starts_per_s
            starts = self.planner.plan(
                workers_reconciled=True, early_ms=0, start_budget=budget, starts_per_s=limit
            )
            for start in starts:
                self._start(start)
            self.client.dispatch()
            self.check.update()
            pause_s = ROUND_S
            if self.loop is not None:
                pause_s = self.loop.run_round(
                    now=now,
                    looked_at=self.planner.count_looked_at(),
                    starts=sum(len(start.workers) for start in starts),
                )
            await self.clock.advance(pause_s)

    async def _plan_urgent_steps(self, planner: JobPlanner) -> None:
        """Plan urgent steps between the rounds, as `PlanningLoop` does."""
        while planner is self.planner:
            event = planner.urgent.signal.event
            if not planner.urgent:
                await event.wait()
                continue
            if self.loop is not None and self.loop.is_busy_until > self.clock.now:
                await self.timers.sleep(self.loop.is_busy_until - self.clock.now)
                continue
            waiting = len(planner.urgent)
            budget = (
                math.inf if self.loop is None else self.loop.pacer.get_budget(now=self.clock.now)
            )
            starts = planner.plan_urgent(
                start_budget=budget,
                is_limited=self.loop is not None and self.loop.pacer.limit is not None,
            )
            for start in starts:
                self._start(start)
            self.client.dispatch()
            pass_s = 0.0
            if self.loop is not None:
                pass_s = self.loop.run_pass(
                    now=self.clock.now,
                    looked_at=waiting - len(planner.urgent),
                    starts=sum(len(start.workers) for start in starts),
                )
            await self.timers.sleep(max(URGENT_INTERVAL_S, URGENT_PAUSE_FACTOR * pass_s))

    def _relay_requests(self) -> None:
        """Let callers send a request to each entry instance, again and again."""
        if not self.callers_send:
            return
        for entry in self.entry_instances.values():
            self._group.start_soon(entry.relay_request)
        self.after(CALLER_INTERVAL_S, self._relay_requests)
