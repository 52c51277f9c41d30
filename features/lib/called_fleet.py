"""Simulated called workers, which execute the leader's orders, and checks of their tasks.

The polling workers are in `fleet`.
"""

import random
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import anyio

from dewspindle._internal.jobs.gateway import (
    ActiveTask,
    AnswerTimeoutError,
    EndedTask,
    NoDefiniteAnswerError,
    OrderAnswer,
    OrderOutcome,
    RenewalAnswer,
    RenewalOrder,
    StartOrder,
    StopOrder,
    WorkerEndpoint,
    WorkerNotConnectedError,
    WorkerReplacedError,
)
from dewspindle._internal.models.jobs import TaskRef
from dewspindle._internal.models.resources import Amounts, make_amounts
from dewspindle._internal.schema import jobs_pb2, peers_pb2

from .clock import WALL_CLOCK_START_MS, ManualClock, ManualTimerService

CAPACITY = Amounts(processors=8000, memory_mb=16384)
TICK_S = 0.05
STOP_DURATION_S = 0.3
RESTART_S = 0.5  # Shortest time from a crash to the next life under the same id.
DEADLY_AFTER_S = 0.2  # From the start of a deadly task to the crash of its worker.
RETURN_S = 2.0  # From a crash under a deadly task to the next incarnation.
MAX_CRASHES = 3  # Workers that may crash under a task before its starts count.
MAX_STARTS_AFTER_CRASHES = 2  # Of such a task.
NETWORK_LATENCY_S = 0.003
HEARTBEAT_INTERVAL_S = 1.5
# After a contact timeout of 3 s and a heartbeat, a shrunk worker gets only what it has left.
SHRINKING_KNOWN_AFTER_S = 3.0 + HEARTBEAT_INTERVAL_S
LATE_DELIVERY_S = 4.0
LEAVE_RETRY_S = 1.0  # Between deregistrations that are not acknowledged.
END_WITHOUT_ACKNOWLEDGEMENT_S = 5.0  # From the first deregistration.


@dataclass
class Run:
    """An attempt of a task that a worker is running."""

    attempt: int
    started_at: float
    token: int  # Fencing token of the start order.
    ends_at: float = float("inf")
    kind: int = jobs_pb2.END_DONE
    stops_at: float = float("inf")  # Once it was ordered to stop.
    checkpoint: str = ""
    processors_used: float | None = None


@dataclass
class Plan:
    """The specification of a job and the behavior of its tasks."""

    spec: jobs_pb2.JobSpec
    run_s: float = 1.0
    failures: int = 0  # Number of attempts of each task that fail.
    # Gang member that finishes its part at once and then waits for the others, using no processor.
    idle_index: int | None = None
    # Tasks of the first step, by index, that crash each worker that starts them.
    deadly_indexes: frozenset[int] = frozenset()


class CalledWorker:
    """One incarnation of a simulated worker; the message in jobs_pb2 has the same name."""

    def __init__(
        self, fleet: "CalledFleet", number: int, *, incarnation: int = 0, worker_id: str = ""
    ) -> None:
        self.fleet = fleet
        self.number = number
        self.incarnation = incarnation
        self.id = worker_id or f"w{number}-{incarnation}"
        self.born_at = fleet.clock.now
        self.heartbeat_sequence = 0
        self.address = f"10.0.0.{number + 1}:80"
        self.timers = fleet.clock.make_timers()
        self.is_cut_off = False  # Gets no calls and sends no answers or heartbeats.
        self.loses_answers = False  # Executes calls, but its answers do not arrive.
        # What the system sends is lost: calls, and answers to what the worker sends.
        self.gets_no_calls = False
        self.gets_no_acknowledgements = False
        # Executes starts and stops only after their sender has stopped waiting; gets no renewals.
        self.delays_orders = False
        self.counts_lease_from_arrival = False  # Extends the deadlines of late orders by the delay.
        # Calls that are delayed as by `delays_orders`, drawn at random by the fleet.
        self.late_call_fraction = 0.0
        self.fails_everything = False  # Tasks that start here fail after 0.1 s.
        self.hangs_everything = False  # Tasks that start here use no processor and never end.
        self.is_draining = False
        self.sends_heartbeats = True
        self.is_up = True
        # Capacities with the time since when each holds; the last one is the current.
        self._capacities = [(float("-inf"), CAPACITY)]
        self.is_executing_late = False
        self.runs: dict[TaskRef, Run] = {}
        self.ended: list[EndedTask] = []  # Ends that the leader has not acknowledged.
        self.highest_attempts: dict[TaskRef, int] = {}  # Of those ended or ordered to stop.
        self.token = 0  # Highest fencing token of an order.
        self.acknowledged = 0  # Number of the last end that the leader acknowledged.
        self.deadline_ms = 0  # End of the lease of all tasks, on the worker's clock.
        self.deadline_extension_ms = 0  # Added to the deadline of the order being executed.
        self._last_end_number = 0
        self._changed = anyio.Event()

    @property
    def born_ms(self) -> int:
        return WALL_CLOCK_START_MS + int(self.born_at * 1000)

    @property
    def clock_ms(self) -> int:
        # Each worker's clock starts at another value, so a deadline fits one worker only.
        return int((self.timers.now() - self.born_at + self.number) * 1000)

    @property
    def capacity(self) -> Amounts:
        return self._capacities[-1][1]

    def resize(self, capacity: Amounts) -> None:
        """Shrink or grow."""
        self._capacities.append((self.timers.now(), capacity))

    def get_counted_capacity(self) -> Amounts:
        """Return the capacity that a start may use, by the time that a leader has to know less."""
        known_since = self.timers.now() - SHRINKING_KNOWN_AFTER_S
        counted = self.capacity
        ends = [since for since, _ in self._capacities[1:]]
        for (_, capacity), ended_at in zip(self._capacities, ends, strict=False):
            if ended_at >= known_since:
                counted = counted.get_elementwise_max(capacity)
        return counted

    def tick(self) -> None:
        """End the tasks that are due, or all tasks if the lease has expired."""
        now = self.timers.now()
        if self.clock_ms >= self.deadline_ms:
            self.fleet.allow_reruns(self)
            for task in list(self.runs):
                self._end(task, jobs_pb2.END_LAPSED)
        for task, run in list(self.runs.items()):
            if task not in self.runs:
                continue
            if now >= run.stops_at:
                self._end(task, jobs_pb2.END_STOPPED)
            elif now >= run.ends_at:
                self._end(task, run.kind)

    def _end(self, task: TaskRef, kind: int) -> None:
        run = self.runs.pop(task)
        self._last_end_number += 1
        self.highest_attempts[task] = max(self.highest_attempts.get(task, 0), run.attempt)
        self.ended.append(
            EndedTask(self._last_end_number, task, run.attempt, kind, run.checkpoint)  # type: ignore[arg-type]
        )
        self.fleet.record_end(self, task, run, kind)
        event, self._changed = self._changed, anyio.Event()
        event.set()

    def report_end(self, task: TaskRef, attempt: int, kind: int) -> None:
        """List the end of an attempt that the fleet did not see run."""
        self._last_end_number += 1
        self.ended.append(EndedTask(self._last_end_number, task, attempt, kind, ""))  # type: ignore[arg-type]
        event, self._changed = self._changed, anyio.Event()
        event.set()

    def start(self, order: StartOrder) -> OrderAnswer:
        self.tick()
        if order.fencing_token < self.token:
            return OrderAnswer(OrderOutcome.FENCED, self.clock_ms)
        self.token = order.fencing_token
        if order.deadline_ms + self.deadline_extension_ms <= self.clock_ms:
            return OrderAnswer(OrderOutcome.DEADLINE_PASSED, self.clock_ms)
        self.deadline_ms = max(self.deadline_ms, order.deadline_ms + self.deadline_extension_ms)
        running = self.runs.get(order.task)
        if running is not None and running.attempt == order.attempt:
            return OrderAnswer(OrderOutcome.ACCEPTED, self.clock_ms)
        if running is not None or order.attempt <= self.highest_attempts.get(order.task, 0):
            return OrderAnswer(OrderOutcome.SUPERSEDED, self.clock_ms)
        run = Run(order.attempt, self.timers.now(), order.fencing_token)
        self.runs[order.task] = run
        self.fleet.record_start(self, order, run)
        return OrderAnswer(OrderOutcome.ACCEPTED, self.clock_ms)

    def stop(self, order: StopOrder) -> OrderAnswer:
        self.tick()
        if order.fencing_token < self.token:
            return OrderAnswer(OrderOutcome.FENCED, self.clock_ms)
        self.token = order.fencing_token
        self.highest_attempts[order.task] = max(
            self.highest_attempts.get(order.task, 0), order.attempt
        )
        run = self.runs.get(order.task)
        if run is not None and run.attempt <= order.attempt:
            run.stops_at = min(run.stops_at, self.timers.now() + STOP_DURATION_S)
        return OrderAnswer(OrderOutcome.ACCEPTED, self.clock_ms)

    async def renew_lease(self, order: RenewalOrder) -> RenewalAnswer:
        self.tick()
        if order.fencing_token < self.token:
            return RenewalAnswer(OrderOutcome.FENCED, self.clock_ms, [], [], is_incomplete=True)
        self.token = order.fencing_token
        if order.deadline_ms is not None:
            self.deadline_ms = max(self.deadline_ms, order.deadline_ms + self.deadline_extension_ms)
        self.acknowledged = max(self.acknowledged, order.acknowledged_through)
        self.ended = [ended for ended in self.ended if ended.number > self.acknowledged]
        if not self.ended and order.wait_ms:
            changed = self._changed
            try:
                with self.timers.fail_after(order.wait_ms / 1000):
                    await changed.wait()
            except TimeoutError:
                pass
        active = [
            ActiveTask(task, r.attempt, r.checkpoint, 100, r.processors_used)
            for task, r in self.runs.items()
        ]
        return RenewalAnswer(
            OrderOutcome.ACCEPTED,
            self.clock_ms,
            active,
            list(self.ended),
            is_incomplete=False,
            born_ms=self.born_ms,
        )

    def crash(self) -> None:
        """Stop and lose all tasks; another incarnation may take over the address."""
        for task in self.runs:
            self.fleet.crashes[task] += 1
        self.end()

    def end(self) -> None:
        """End the process, and with it all tasks."""
        self.is_up = False
        self.runs.clear()
        self.fleet.allow_reruns(self)


class FakeGateway:
    """Gateway of one replica that delivers its calls to the simulated workers."""

    def __init__(self, fleet: "CalledFleet", timers: ManualTimerService) -> None:
        self._fleet = fleet
        self._timers = timers

    async def start(
        self, worker: WorkerEndpoint, order: StartOrder, *, timeout_s: float
    ) -> OrderAnswer:
        answer = await self._call(worker, lambda w: w.start(order), timeout_s)
        assert isinstance(answer, OrderAnswer)
        return answer

    async def stop(
        self, worker: WorkerEndpoint, order: StopOrder, *, timeout_s: float
    ) -> OrderAnswer:
        answer = await self._call(worker, lambda w: w.stop(order), timeout_s)
        assert isinstance(answer, OrderAnswer)
        return answer

    async def renew_lease(
        self, worker: WorkerEndpoint, order: RenewalOrder, *, timeout_s: float
    ) -> RenewalAnswer:
        answer = await self._call(worker, lambda w: w.renew_lease(order), timeout_s)
        assert isinstance(answer, RenewalAnswer)
        return answer

    async def close(self) -> None:
        """Do nothing, as there are no connections."""

    async def _call(
        self, endpoint: WorkerEndpoint, call: Callable[[CalledWorker], Any], timeout_s: float
    ) -> Any:
        try:
            with self._timers.fail_after(timeout_s):
                return await self._deliver(endpoint, call)
        except TimeoutError:
            raise AnswerTimeoutError("the worker did not answer in time") from None

    async def _deliver(self, endpoint: WorkerEndpoint, call: Callable[[CalledWorker], Any]) -> Any:
        # The network goes on while the replica is paused, so its timers are not the replica's.
        network_timers = self._fleet.timers
        await network_timers.sleep(NETWORK_LATENCY_S)
        worker = self._fleet.find(endpoint)
        if worker.gets_no_calls:
            await network_timers.sleep(60)
        is_late = self._fleet.rng.random() < worker.late_call_fraction
        if worker.delays_orders or is_late:
            self._fleet.cell.start_soon(self._fleet.deliver_late, worker, call)
            await network_timers.sleep(60)  # Longer than any caller waits.
        while worker.timers.is_paused:
            await network_timers.sleep(TICK_S)
        answer = call(worker)
        if not isinstance(answer, OrderAnswer):
            answer = await answer
        if worker.loses_answers or worker.is_cut_off or not worker.is_up:
            await network_timers.sleep(60)
        await network_timers.sleep(NETWORK_LATENCY_S)
        while self._timers.is_paused:
            await network_timers.sleep(TICK_S)
        return answer


@dataclass
class BrokenRules:
    """Descriptions of the cases in which tasks broke a rule.

    Each starts with the name of its rule:
    single run: a task runs on one worker at a time, and not again after it was done.
    payload: a task starts with the payload of its job.
    refusal: no task of a refused job starts.
    cancellation: no task starts long after its job was cancelled.
    step order: a task starts only after the steps on which its step depends are done.
    capacity: the tasks on a worker fit in its full capacity, and a start in what is left of it;
        what was taken away still counts for `SHRINKING_KNOWN_AFTER_S`.
    attempts: a task is started at most twice once three workers have crashed under it.
    """

    rules: list[str] = field(default_factory=list)


class CalledFleet:
    """All simulated called workers, the record of their tasks, and the checks."""

    def __init__(self, cell: Any, *, size: int) -> None:
        self.cell = cell
        self.clock: ManualClock = cell.clock
        self.timers = self.clock.make_timers()
        self.workers = [CalledWorker(self, number) for number in range(size)]
        self.plans: dict[str, Plan] = {}
        # Worker and attempt of each start.
        self.starts: dict[TaskRef, list[tuple[str, int]]] = defaultdict(list)
        # Tasks that were done and must not start again; see `allow_reruns`.
        self.must_not_rerun: set[TaskRef] = set()
        self.ever_done: set[TaskRef] = set()  # Tasks of which at least one attempt was done.
        self.failed: dict[TaskRef, int] = defaultdict(int)  # Number of attempts that failed.
        self.crashes: dict[TaskRef, int] = defaultdict(int)  # Workers that crashed under a task.
        self.starts_after_crashes: dict[TaskRef, int] = defaultdict(int)
        self.return_s = RETURN_S
        self.deadly_after_s = DEADLY_AFTER_S
        self.broken = BrokenRules()
        self.rng = random.Random(7)
        # Called with "start" or "end", the worker and the task.
        self.hooks: list[Callable[[str, CalledWorker, TaskRef], None]] = []
        self.accepted: set[str] = set()
        self.refused: set[str] = set()
        self.teams: dict[str, str] = {}  # By job, of those that belong to a team.
        self.caps: dict[str, int] = {}  # Millicores by team.
        self.most_used: Counter[str] = Counter()  # Millicores after any start, by team.
        self.cancelled_at: dict[str, float] = {}  # When the cancellation was acknowledged.
        # Crashed workers start again under the same id, and know nothing of before.
        self.keeps_ids = False
        self.clock.add_check(self.check)

    def make_gateway(self, timers: ManualTimerService) -> FakeGateway:
        return FakeGateway(self, timers)

    def find(self, endpoint: WorkerEndpoint) -> CalledWorker:
        for worker in self.workers:
            if worker.address == endpoint.address and worker.is_up:
                if worker.id != endpoint.id:
                    raise WorkerReplacedError(worker.id)
                if worker.is_cut_off:
                    break
                return worker
        if any(w.address == endpoint.address and w.is_up for w in self.workers):
            raise NoDefiniteAnswerError("the worker is cut off")
        raise WorkerNotConnectedError("the worker is down")

    async def deliver_late(self, worker: CalledWorker, call: Callable[[CalledWorker], Any]) -> None:
        """Execute a start or stop after its sender has stopped waiting; drop a lease renewal.

        By then another life of the worker may have begun under the same id.
        """
        sent_at = self.timers.now()
        await self.timers.sleep(LATE_DELIVERY_S)
        worker = next((w for w in self.workers if w.id == worker.id and w.is_up), worker)
        if worker.counts_lease_from_arrival:
            worker.deadline_extension_ms = int((self.timers.now() - sent_at) * 1000)
        worker.is_executing_late = True
        answer = call(worker)
        worker.is_executing_late = False
        worker.deadline_extension_ms = 0
        if not isinstance(answer, OrderAnswer):
            answer.close()  # A renewal, which is a coroutine that has not begun.

    def start(self) -> None:
        self.cell.start_soon(self._run_workers)
        self.cell.start_soon(self._send_heartbeats)

    async def _run_workers(self) -> None:
        while True:
            await self.timers.sleep(TICK_S)
            for worker in self.workers:
                if worker.is_up and not worker.timers.is_paused:
                    worker.tick()

    async def _send_heartbeats(self) -> None:
        while True:
            for worker in list(self.workers):
                is_connected = worker.is_up and not worker.is_cut_off
                if is_connected and worker.sends_heartbeats and not worker.timers.is_paused:
                    self.cell.start_soon(self.send_heartbeat, worker)
            await self.timers.sleep(HEARTBEAT_INTERVAL_S)

    def make_heartbeat(self, worker: CalledWorker) -> peers_pb2.WorkerBeat:
        """Return the next heartbeat of a worker."""
        worker.heartbeat_sequence += 1
        return peers_pb2.WorkerBeat(
            worker=jobs_pb2.CalledWorker(
                id=worker.id,
                pool="pool",
                address=worker.address,
                capacity=worker.capacity.to_message(),
                born_ms=worker.born_ms,
            ),
            draining=worker.is_draining,
            remaining_ms=1000,
            clock_ms=worker.clock_ms,
            sequence=worker.heartbeat_sequence,
        )

    async def send_heartbeat(self, worker: CalledWorker) -> None:
        """Send a worker's heartbeat to the current leader."""
        await self.send_to_leader(self.make_heartbeat(worker))

    async def send_to_leader(self, heartbeat: peers_pb2.WorkerBeat) -> bool:
        """Send a heartbeat to the current leader; return whether it was acknowledged."""
        leader = self.cell.leader
        if leader is None or leader.job_leader_services.dispatcher is None:
            return False
        try:
            await leader.job_leader_services.dispatcher.handle_heartbeat(heartbeat)
        except Exception as error:  # The leader may have failed or stepped down meanwhile.
            self.cell.errors.append(error)
            return False
        return True

    async def send_deregistration(self, worker: CalledWorker, *, born_ms: int) -> bool:
        """Deregister a worker, and return whether that was acknowledged."""
        message = jobs_pb2.CalledWorker(id=worker.id, born_ms=born_ms)
        return await self.send_to_leader(peers_pb2.WorkerBeat(worker=message, leaves=True))

    async def leave(self, worker: CalledWorker) -> None:
        """Deregister a worker until it is acknowledged or gives up waiting, and end it."""
        worker.sends_heartbeats = False
        ends_at = self.timers.now() + END_WITHOUT_ACKNOWLEDGEMENT_S
        while self.timers.now() < ends_at:
            is_acknowledged = await self.send_deregistration(worker, born_ms=worker.born_ms)
            if is_acknowledged and not worker.gets_no_acknowledgements:
                break
            await self.timers.sleep(LEAVE_RETRY_S)
        worker.end()

    async def _crash_under(self, worker: CalledWorker, task: TaskRef) -> None:
        """Crash the worker of a deadly task, which comes back as another incarnation."""
        await self.timers.sleep(self.deadly_after_s)
        if not worker.is_up or task not in worker.runs:
            return
        worker.crash()
        await self.timers.sleep(self.return_s)
        self.replace(worker)

    async def _restart(self, worker: CalledWorker) -> None:
        await self.timers.sleep(RESTART_S)
        worker.born_at = self.timers.now()
        worker.is_up = True

    def replace(self, worker: CalledWorker, *, keeps_id: bool = False) -> CalledWorker:
        """Crash a worker, unless it is down, and start another incarnation at its address."""
        if worker.is_up:
            worker.crash()
        self.workers.remove(worker)
        successor = CalledWorker(
            self,
            worker.number,
            incarnation=worker.incarnation + 1,
            worker_id=worker.id if keeps_id or self.keeps_ids else "",
        )
        self.workers.append(successor)
        if successor.id == worker.id:
            successor.is_up = False
            self.cell.start_soon(self._restart, successor)
        return successor

    def record_start(self, worker: CalledWorker, order: StartOrder, run: Run) -> None:
        task = order.task
        plan = self.plans[task.job]
        self._check_start(worker, order)
        self.starts[task].append((worker.id, order.attempt))
        step = plan.spec.steps[task.step]
        if task.step == 0 and task.index in plan.deadly_indexes:
            self._count_deadly_start(task)
            self.cell.start_soon(self._crash_under, worker, task)
        if worker.fails_everything:
            run.ends_at, run.kind = run.started_at + 0.1, jobs_pb2.END_FAILED
        elif worker.hangs_everything:
            run.processors_used = 0.0
        elif step.gang:
            run.processors_used = 0.0 if task.index == plan.idle_index else 1000.0
            self._start_gang(task, order.attempt, plan, step.count)
        elif not step.long_running:
            is_failing = self.failed[task] < plan.failures
            run.ends_at = run.started_at + plan.run_s
            run.kind = jobs_pb2.END_FAILED if is_failing else jobs_pb2.END_DONE
        for hook in list(self.hooks):
            hook("start", worker, task)

    def _count_deadly_start(self, task: TaskRef) -> None:
        if self.crashes[task] < MAX_CRASHES:
            return
        self.starts_after_crashes[task] += 1
        if self.starts_after_crashes[task] > MAX_STARTS_AFTER_CRASHES:
            self._record_broken_rule(
                "attempts", f"{task} starts after {self.crashes[task]} crashes"
            )

    def _start_gang(self, task: TaskRef, attempt: int, plan: Plan, size: int) -> None:
        members = [
            run
            for worker in self.workers
            for other, run in worker.runs.items()
            if (other.job, other.occurrence, other.step) == (task.job, task.occurrence, task.step)
            and run.attempt == attempt
        ]
        if len(members) == size:
            for run in members:
                run.ends_at = self.timers.now() + plan.run_s

    def _check_start(self, worker: CalledWorker, order: StartOrder) -> None:
        task = order.task
        plan = self.plans[task.job]
        used = self._measure(worker)
        if not worker.is_executing_late and not used.fits_in(worker.get_counted_capacity()):
            self._record_broken_rule(
                "capacity", f"{worker.id} runs {used} of {worker.capacity} after a start"
            )
        self._check_cap(task)
        if task in self.must_not_rerun:
            self._record_broken_rule("single run", f"{task} starts after it was done")
        if order.payload != plan.spec.payload:
            self._record_broken_rule("payload", f"{task} starts with another payload")
        if task.job in self.refused and task.job not in self.accepted:
            self._record_broken_rule("refusal", f"{task} starts though its job was refused")
        cancelled_at = self.cancelled_at.get(task.job)
        if cancelled_at is not None and self.timers.now() > cancelled_at + 3:
            self._record_broken_rule(
                "cancellation", f"{task} starts long after its job was cancelled"
            )
        for earlier in plan.spec.steps[task.step].depends_on:
            for index in range(plan.spec.steps[earlier].count):
                if TaskRef(task.job, task.occurrence, earlier, index) not in self.ever_done:
                    self._record_broken_rule(
                        "step order", f"{task} starts before step {earlier} is done"
                    )
                    return

    def _check_cap(self, started: TaskRef) -> None:
        """Check that a start keeps a team within its cap."""
        team = self.teams.get(started.job)
        if team is None or team not in self.caps:
            return
        used = Amounts()
        for worker in self.workers:
            for task in worker.runs:
                if self.teams.get(task.job) == team and self.counts_for_cap(worker, task):
                    used += self._get_amounts(task)
        self.most_used[team] = max(self.most_used[team], used.processors)
        if used.processors > self.get_usage_limit(team, started):
            self._record_broken_rule("cap", f"team {team} runs {used} after {started} starts")

    def counts_for_cap(self, worker: CalledWorker, task: TaskRef) -> bool:
        """Return whether a task that a worker runs counts towards its team's cap."""
        return True

    def get_usage_limit(self, team: str, started: TaskRef) -> float:
        """Return how many millicores a team may use after a start."""
        return self.caps[team]

    def _get_amounts(self, task: TaskRef) -> Amounts:
        return make_amounts(self.plans[task.job].spec.steps[task.step].resources)

    def _measure(self, worker: CalledWorker) -> Amounts:
        """Return what all tasks on a worker take."""
        used = Amounts()
        for task in worker.runs:
            used += make_amounts(self.plans[task.job].spec.steps[task.step].resources)
        return used

    def record_end(self, worker: CalledWorker, task: TaskRef, run: Run, kind: int) -> None:
        if kind == jobs_pb2.END_DONE:
            self.must_not_rerun.add(task)
            self.ever_done.add(task)
        if kind == jobs_pb2.END_FAILED:
            self.failed[task] += 1
        step = self.plans[task.job].spec.steps[task.step]
        if step.gang and kind != jobs_pb2.END_DONE:
            self._abort_gang(task, run.attempt)
        for hook in list(self.hooks):
            hook("end", worker, task)

    def allow_reruns(self, worker: CalledWorker) -> None:
        """Allow the done tasks that a worker still lists to run again.

        This applies to a worker that crashed or whose lease expired. The leader has not
        acknowledged the ends of these tasks, so it may count the tasks as lost with the worker.
        """
        for ended in worker.ended:
            if ended.kind == jobs_pb2.END_DONE:
                self.must_not_rerun.discard(ended.task)

    def _abort_gang(self, task: TaskRef, attempt: int) -> None:
        for worker in self.workers:
            for other, run in worker.runs.items():
                same = (other.job, other.occurrence, other.step) == (
                    task.job,
                    task.occurrence,
                    task.step,
                )
                if same and run.attempt == attempt and run.ends_at > self.timers.now():
                    run.ends_at, run.kind = self.timers.now(), jobs_pb2.END_BROKEN

    def _record_broken_rule(self, rule: str, details: str) -> None:
        self.broken.rules.append(f"{rule} at {self.timers.now():.2f}: {details}")

    def check(self) -> None:
        """Check capacity and that no task runs twice at once; raise if any rule was ever broken."""
        running: dict[TaskRef, list[str]] = defaultdict(list)
        for worker in self.workers:
            used = Amounts()
            # A paused worker whose lease expired ends its tasks only when it resumes, but until
            # then they make no progress.
            is_lapsed = worker.clock_ms >= worker.deadline_ms
            for task in () if is_lapsed else worker.runs:
                running[task].append(worker.id)
                used += make_amounts(self.plans[task.job].spec.steps[task.step].resources)
            if not used.fits_in(CAPACITY):
                self._record_broken_rule("capacity", f"{worker.id} runs {used}")
        for task, where in running.items():
            if len(where) > 1:
                self._record_broken_rule("single run", f"{task} runs on {where}")
        assert not self.broken.rules, self.broken.rules[:3]
