"""Stand-in workers and advisor on the wire, with the checks of what must hold on workers."""

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
    HoldOrder,
    OrderAnswer,
    OrderOutcome,
    StartOrder,
    StopOrder,
)
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
from dewspindle._internal.utils.timers import SystemTimerService
from features.lib.called_fleet import CAPACITY, CalledFleet, CalledWorker
from features.lib.cells import find_free_address

from .proxy import Proxy

BEAT_TIMEOUT_S = 1.0
LATE_S = 3.0  # How much later an order without an answer is carried out.
ADVICE_S = 0.02
VALIDITY_MS = 1500
END_WORDS = {kind: word for word, kind in END_KINDS.items()}
REJECTION_WORDS = {outcome: word for word, outcome in REJECTION_OUTCOMES.items()}


class RealTimers(SystemTimerService):
    """The system's time, counted as the stand-ins of the tests count it."""

    is_paused = False

    def __init__(self) -> None:
        super().__init__()
        self._began_at = super().now()

    def now(self) -> float:
        """Return the seconds since the start, and a thousand."""
        return 1000.0 + super().now() - self._began_at


class RealClock:
    """Stands where tests have a clock that they move."""

    def __init__(self) -> None:
        self._timers = RealTimers()

    @property
    def now(self) -> float:
        """Return the time."""
        return self._timers.now()

    def make_timers(self) -> RealTimers:
        """Return the one timer service."""
        return self._timers

    def add_check(self, check: Any) -> None:
        """Leave checks to the workers' own ticks."""


class Place:
    """The address of one worker machine, whichever incarnation runs there."""

    def __init__(self, fleet: "WireFleet", number: int) -> None:
        self._fleet = fleet
        self._number = number
        self._server_address = find_free_address()
        self._server = HttpServer(self, address=self._server_address)
        self.proxy = Proxy(lambda: self._server_address)
        self.late_share = 0.0

    @property
    def worker(self) -> CalledWorker:
        """Return the incarnation that is there now."""
        return next(w for w in self._fleet.workers if w.number == self._number)

    async def run(self, group: TaskGroup) -> None:
        """Serve until cancelled."""
        group.start_soon(self._server.run)
        await self.proxy.run(group)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one order."""
        fields = json.loads(await read_body(receive, max_bytes=1 << 20))
        worker = self.worker
        if get_header(scope, b"x-dewspindle-expected-instance") != worker.id:
            await send_json(send, 421, {"clock_ms": worker.clock_ms})
            return
        if self._fleet.random.random() < self.late_share:
            await anyio.sleep(LATE_S)
            if self.worker is worker:
                await self._carry_out(worker, scope["path"], fields)
            await anyio.sleep(60)
        status, body = await self._carry_out(worker, scope["path"], fields)
        await send_json(send, status, {"clock_ms": worker.clock_ms, **body})

    async def _carry_out(
        self, worker: CalledWorker, path: str, fields: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        token = fields["fencing_token"]
        if path == "/hold":
            order = HoldOrder(
                token, fields["ack_cursor"], fields.get("deadline_ms"), fields.get("wait_ms", 0)
            )
            lists = await worker.hold(order)
            if lists.outcome is not OrderOutcome.ACCEPTED:
                return 409, {"reason": REJECTION_WORDS[lists.outcome]}
            return 200, {
                "active": [[make_task_name(t.task), t.attempt, "", 100] for t in lists.active],
                "finished": [
                    [e.number, make_task_name(e.task), e.attempt, END_WORDS[e.kind], ""]
                    for e in lists.ended
                ],
            }
        task = parse_task_name(fields["task"])
        answer: OrderAnswer
        if path == "/run-start":
            step = f"{task.job}.{task.occurrence}.{task.step}"
            if fields.get("ticket") != make_ticket(step, worker.id):
                self._fleet.broken.rules.append(f"ROUTE: {task} starts on {worker.id} unapproved")
                return 409, {"reason": "ticket"}
            answer = worker.start(
                StartOrder(task, fields["attempt"], fields["spec"], fields["deadline_ms"], token)
            )
        else:
            answer = worker.stop(StopOrder(task, fields["attempt"], token))
        if answer.outcome is OrderOutcome.ACCEPTED:
            return 200, {}
        return 409, {"reason": REJECTION_WORDS[answer.outcome]}


class WireFleet(CalledFleet):
    """Workers on the wire that announce themselves to the cell."""

    def __init__(self, cell: Any, *, size: int, seed: int) -> None:
        super().__init__(cell, size=size)
        self.random = random.Random(seed)
        self.places = [Place(self, number) for number in range(size)]

    @contextmanager
    def watch(self) -> Iterator[None]:
        """Keep what an assertion of a check says, so that the run goes on and reports it."""
        try:
            yield
        except AssertionError as error:
            self.broken.rules.append(str(error)[:300])

    async def run(self, group: TaskGroup) -> None:
        """Run until cancelled."""
        for place in self.places:
            group.start_soon(place.run, group)
        self.start()
        while True:
            await anyio.sleep(0.05)
            with self.watch():
                self.check()

    def replace(self, worker: CalledWorker) -> CalledWorker:
        """Start another incarnation of a worker's machine."""
        successor = super().replace(worker)
        successor.deadline_ms = successor.clock_ms
        return successor

    async def send_heartbeat(self, worker: CalledWorker) -> None:
        """Announce a worker to the first replica that answers."""
        place = self.places[worker.number]
        if place.proxy.link.drops_requests or place.proxy.link.drops_answers:
            return
        body = {
            "service": "pool",
            "address": place.proxy.address,
            "zone": "zone",
            "version": "v1",
            "slots": 8,
            "state": "draining" if worker.is_draining else "ready",
            "remaining_ms": 1000,
            "cold_remaining_ms": 0,
            "capacity": {"cpu": CAPACITY.processors, "mem_mb": CAPACITY.memory_mb, "gpu": 0},
            "labels": ["a", "r1"],
            "clock_ms": worker.clock_ms,
            "sequence": self._heartbeat_sequence,
        }
        addresses = self.cell.control_addresses
        self.random.shuffle(addresses)
        for address in addresses:
            client = JsonClient(address, max_connections=1)
            try:
                answer = await client.request(
                    "POST",
                    f"/Instances.Heartbeat/{worker.id}",
                    body=body,
                    timeout_s=BEAT_TIMEOUT_S,
                )
            except DewspindleError:
                continue
            finally:
                await client.close()
            if answer.status == 200:
                return


def make_ticket(step: str, worker: str) -> str:
    """Return the ticket of a step for a worker, or an empty string where it may not run there."""
    number = int(worker.removeprefix("w").partition("-")[0])
    # Each step has workers that may run it, so that every job can be done.
    is_approved = (number + random.Random(step).randrange(3)) % 3 > 0
    return f"{step} {worker}" if is_approved else ""


class WireAdvisor:
    """An advisor that approves two thirds of the workers, and always the same for a step."""

    def __init__(self) -> None:
        self._address = find_free_address()
        self._server = HttpServer(self, address=self._address)
        self.proxy = Proxy(lambda: self._address)

    async def run(self, group: TaskGroup) -> None:
        """Serve until cancelled."""
        group.start_soon(self._server.run)
        await self.proxy.run(group)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one question."""
        fields = json.loads(await read_body(receive, max_bytes=1 << 20))
        await anyio.sleep(ADVICE_S)
        step = fields["step_id"]
        tickets = {worker: make_ticket(step, worker) for worker in fields["workers"]}
        rows = [[worker, ticket] for worker, ticket in tickets.items() if ticket]
        await send_json(send, 200, {"approved": rows, "validity_ms": VALIDITY_MS})
