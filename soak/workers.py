"""Simulated workers and advisor served over HTTP.

The fleet checks the rules of `features.lib.called_fleet`, the cap with the platform's tolerance,
and one more:
approval: every start carries the advisor's ticket for its step and worker.
"""

import json
import random
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import anyio
from anyio.abc import TaskGroup

from dewspindle._internal.exceptions import DewspindleError
from dewspindle._internal.http.server import HttpServer
from dewspindle._internal.jobs.gateway import (
    OrderAnswer,
    OrderOutcome,
    RenewalOrder,
    StartOrder,
    StopOrder,
)
from dewspindle._internal.models.jobs import TaskRef
from dewspindle._internal.network.json_client import JsonClient
from dewspindle._internal.platform.asgi import (
    Receive,
    Scope,
    Send,
    get_header,
    read_body,
    send_json,
)
from dewspindle._internal.platform.worker_client import (
    END_KINDS,
    REJECTION_OUTCOMES,
    make_task_name,
    parse_task_name,
)
from dewspindle._internal.utils.local_ports import reserve_address
from dewspindle._internal.utils.timers import SystemTimerService
from features.lib.called_fleet import CalledFleet, CalledWorker

from .proxy import Proxy
from .strangers import add_bad_rows

HEARTBEAT_REQUEST_TIMEOUT_S = 1.0
LATE_DELIVERY_S = 3.0  # Delay before an unanswered order is executed.
ADVICE_LATENCY_S = 0.02
APPROVAL_VALIDITY_MS = 1500
END_KIND_NAMES = {kind: name for name, kind in END_KINDS.items()}
REJECTION_NAMES = {outcome: name for name, outcome in REJECTION_OUTCOMES.items()}


class RealTimers(SystemTimerService):
    """System timers whose time starts at 1000 s, like that of the manual clock."""

    is_paused = False

    def __init__(self) -> None:
        super().__init__()
        self._began_at = super().now()

    def now(self) -> float:
        """Return 1000 plus the seconds since the start."""
        return 1000.0 + super().now() - self._began_at


class RealClock:
    """Replaces the manual clock of the features by system time."""

    def __init__(self) -> None:
        self._timers = RealTimers()

    @property
    def now(self) -> float:
        """Return the current time."""
        return self._timers.now()

    def make_timers(self) -> RealTimers:
        """Return the shared timer service."""
        return self._timers

    def add_check(self, check: Any) -> None:
        """Ignore the check; the fleet runs its checks periodically."""


class WorkerHost:
    """Address of one worker machine, shared by its successive incarnations."""

    def __init__(self, fleet: "HttpFleet", number: int) -> None:
        self._fleet = fleet
        self._number = number
        self._server_address = reserve_address()
        self._server = HttpServer(self, address=self._server_address)
        self.proxy = Proxy(lambda: self._server_address)
        self.late_call_fraction = 0.0

    @property
    def worker(self) -> CalledWorker:
        """Return the current incarnation."""
        return next(w for w in self._fleet.workers if w.number == self._number)

    async def run(self, group: TaskGroup) -> None:
        """Serve until cancelled."""
        group.start_soon(self._server.run)
        await self.proxy.run(group)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Execute one start, stop or lease renewal and send the answer."""
        fields = json.loads(await read_body(receive, max_bytes=1 << 20))
        worker = self.worker
        if get_header(scope, b"x-dewspindle-expected-instance") != worker.id:
            await send_json(send, 421, {"clock_ms": worker.clock_ms})
            return
        if self._fleet.rng.random() < self.late_call_fraction:
            await anyio.sleep(LATE_DELIVERY_S)
            if self.worker is worker:
                await self._execute_order(worker, scope["path"], fields, is_late=True)
            await anyio.sleep(60)  # Longer than the leader waits for an answer.
        status, body = await self._execute_order(worker, scope["path"], fields)
        await send_json(send, status, {"clock_ms": worker.clock_ms, **body})

    async def _execute_order(
        self, worker: CalledWorker, path: str, fields: dict[str, Any], *, is_late: bool = False
    ) -> tuple[int, dict[str, Any]]:
        token = fields["fencing_token"]
        if path == "/hold":
            order = RenewalOrder(
                token, fields["ack_cursor"], fields.get("deadline_ms"), fields.get("wait_ms", 0)
            )
            renewal_answer = await worker.renew_lease(order)
            if renewal_answer.outcome is not OrderOutcome.ACCEPTED:
                return 409, {"reason": REJECTION_NAMES[renewal_answer.outcome]}
            body = {
                "born": renewal_answer.born_ms,
                "active": [
                    [make_task_name(t.task), t.attempt, "", 100] for t in renewal_answer.active
                ],
                "finished": [
                    [e.number, make_task_name(e.task), e.attempt, END_KIND_NAMES[e.kind], ""]
                    for e in renewal_answer.ended
                ],
            }
            add_bad_rows(body, self._fleet.row_rng)
            return 200, body
        task = parse_task_name(fields["task"])
        answer: OrderAnswer
        if path == "/run-start":
            # Has the form of `step_id` in the requests to the advisor.
            step = f"{task.job}.{task.occurrence}.{task.step}"
            if fields.get("ticket") != make_ticket(step, worker.id):
                self._fleet.broken.rules.append(
                    f"approval: {task} starts on {worker.id} without approval"
                )
                return 409, {"reason": "ticket"}
            if is_late and task not in worker.runs:
                self._fleet.late_starts.add((worker.id, task, fields["attempt"]))
            answer = worker.start(
                StartOrder(task, fields["attempt"], fields["spec"], fields["deadline_ms"], token)
            )
        else:
            answer = worker.stop(StopOrder(task, fields["attempt"], token))
        if answer.outcome is OrderOutcome.ACCEPTED:
            return 200, {}
        return 409, {"reason": REJECTION_NAMES[answer.outcome]}


class HttpFleet(CalledFleet):
    """Simulated workers that serve HTTP and send heartbeats to the cell."""

    def __init__(self, cell: Any, *, size: int, seed: int) -> None:
        super().__init__(cell, size=size)
        self.rng = random.Random(seed)
        self.row_rng = random.Random(f"{seed}-rows")
        # Worker, task and attempt of the starts that a worker executed late.
        self.late_starts: set[tuple[str, TaskRef, int]] = set()
        self.hosts = [WorkerHost(self, number) for number in range(size)]

    @contextmanager
    def record_assertions(self) -> Iterator[None]:
        """Record a failed check among the broken rules, so that the run continues and reports it.

        The text of the error quotes the first broken rules.
        """
        try:
            yield
        except AssertionError as error:
            self.broken.rules.append(str(error)[:300])

    async def run(self, group: TaskGroup) -> None:
        """Run until cancelled."""
        for host in self.hosts:
            group.start_soon(host.run, group)
        self.start()
        while True:
            await anyio.sleep(0.05)
            with self.record_assertions():
                self.check()

    def replace(self, worker: CalledWorker, *, keeps_id: bool = False) -> CalledWorker:
        """Crash a worker and start another incarnation, without a valid lease."""
        successor = super().replace(worker, keeps_id=keeps_id)
        successor.deadline_ms = successor.clock_ms
        return successor

    def counts_for_cap(self, worker: CalledWorker, task: TaskRef) -> bool:
        """Return whether a task that a worker runs counts towards its team's cap.

        Tasks that started late because of a fault do not count, nor those whose lease has expired,
        which end with the next tick.
        """
        is_late = (worker.id, task, worker.runs[task].attempt) in self.late_starts
        return not is_late and worker.clock_ms < worker.deadline_ms

    def get_usage_limit(self, team: str, started: TaskRef) -> float:
        """Return the platform's hard limit, the cap x 1.1 plus one task."""
        return self.caps[team] * 1.1 + self._get_amounts(started).processors

    async def send_heartbeat(self, worker: CalledWorker) -> None:
        """Send the heartbeat of a worker, unless it is cut off, to a replica that accepts it."""
        worker.heartbeat_sequence += 1
        host = self.hosts[worker.number]
        if host.proxy.link.drops_requests or host.proxy.link.drops_answers:
            return
        body = {
            "service": "pool",
            "address": host.proxy.address,
            "zone": "zone",
            "version": "v1",
            "slots": 8,
            "state": "draining" if worker.is_draining else "ready",
            "remaining_ms": 1000,
            "cold_remaining_ms": 0,
            "capacity": {
                "cpu": worker.capacity.processors,
                "mem_mb": worker.capacity.memory_mb,
                "gpu": 0,
            },
            "labels": ["a", "r1"],
            "clock_ms": worker.clock_ms,
            "sequence": worker.heartbeat_sequence,
            "born": worker.born_ms,
        }
        await self._send_to_any(f"/Instances.Heartbeat/{worker.id}", body)

    async def send_deregistration(self, worker: CalledWorker, *, born_ms: int) -> bool:
        """Deregister a worker, and return whether that was acknowledged."""
        return await self._send_to_any(f"/Instances.Deregister/{worker.id}", {"born": born_ms})

    async def _send_to_any(self, path: str, body: dict[str, Any]) -> bool:
        """Send a request to one replica after another until one acknowledges it."""
        addresses = list(self.cell.control_addresses)
        self.rng.shuffle(addresses)
        for address in addresses:
            client = JsonClient(address, max_connections=1)
            try:
                answer = await client.request(
                    "POST", path, body=body, timeout_s=HEARTBEAT_REQUEST_TIMEOUT_S
                )
            except DewspindleError:
                continue
            finally:
                await client.close()
            if answer.status == 200:
                return True
        return False


def make_ticket(step: str, worker: str) -> str:
    """Return the ticket of a step for a worker, or an empty string if it is not approved."""
    number = int(worker.removeprefix("w").partition("-")[0])
    # Two thirds of the workers are approved for each step, so that every job can complete.
    is_approved = (number + random.Random(step).randrange(3)) % 3 > 0
    return f"{step} {worker}" if is_approved else ""


class HttpAdvisor:
    """Advisor that approves two thirds of the workers, always the same ones for a step."""

    def __init__(self) -> None:
        self._address = reserve_address()
        self._server = HttpServer(self, address=self._address)
        self.proxy = Proxy(lambda: self._address)

    async def run(self, group: TaskGroup) -> None:
        """Serve until cancelled."""
        group.start_soon(self._server.run)
        await self.proxy.run(group)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one advice request."""
        fields = json.loads(await read_body(receive, max_bytes=1 << 20))
        await anyio.sleep(ADVICE_LATENCY_S)
        step = fields["step_id"]
        tickets = {worker: make_ticket(step, worker) for worker in fields["workers"]}
        rows = [[worker, ticket] for worker, ticket in tickets.items() if ticket]
        await send_json(send, 200, {"approved": rows, "validity_ms": APPROVAL_VALIDITY_MS})
