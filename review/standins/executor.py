"""Stand-in executors, which run tasks as PROTOCOL.md describes (control mode `invocation`).

What a task does is named in the text of its job: see `Behaviour`.
"""

import asyncio
import contextlib
import json
import random
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from .http11 import ConnectionLostError, Server, call
from .record import Record

HEARTBEAT_INTERVAL_S = 1.5
HEARTBEAT_TIMEOUT_S = 1.0
MAX_HOLD_MS = 10_000
STOP_S = 0.1  # At most `stop_timeout_ms`.
MAX_LISTED_ENDS = 500


@dataclass(frozen=True)
class Behaviour:
    """How the tasks of a job run: they end as `how` after `run_s`, or never if that is 0."""

    run_s: float
    how: str = "done"

    @staticmethod
    def parse(spec: str) -> "Behaviour":
        """Read the behaviour from the text of a job."""
        fields = json.loads(spec)
        return Behaviour(float(fields["run_s"]), fields.get("how", "done"))


@dataclass
class Run:
    """One run of a task on an executor."""

    task: str
    attempt: int
    timer: asyncio.TimerHandle | None = None
    is_stopping: bool = False


@dataclass(frozen=True)
class Start:
    """A task that an executor has begun on an order."""

    at: float
    task: str
    attempt: int
    machine: int


@dataclass
class FleetLog:
    """What all executors have run."""

    starts: list[Start] = field(default_factory=list)
    ended_at: dict[tuple[str, int], float] = field(default_factory=dict)
    ends: list[tuple[str, str]] = field(default_factory=list)  # Task and how it ended.
    on_start: Callable[["Executor", Run], None] | None = None

    def list_ends(self, job: str) -> list[str]:
        """Return how the runs of a job ended."""
        return [how for task, how in self.ends if task.startswith(job)]


class Executor:
    """One life of an executor."""

    def __init__(self, machine: "Machine", executor_id: str) -> None:
        self.machine = machine
        self.id = executor_id
        self.runs: dict[str, Run] = {}
        self._finished: deque[list[Any]] = deque()
        self._count = 0
        self._token = 0
        self._deadline_ms = 0
        self._highest_over: dict[str, int] = {}  # Highest attempt stopped or ended, by task.
        self._born_at = time.monotonic()
        self._clock_offset_ms = machine.rng.randrange(100_000, 900_000)
        self._sequence = 0
        self._end_listed = asyncio.Event()
        self.called = asyncio.Event()  # The system has called this executor.
        self._expiry: asyncio.TimerHandle | None = None

    @property
    def clock_ms(self) -> int:
        """Return the executor's own steady clock."""
        return self._clock_offset_ms + int((time.monotonic() - self._born_at) * 1000)

    async def handle(self, path: str, headers: dict[str, str], body: Any) -> tuple[int, Any]:
        """Carry out one order."""
        if headers.get("x-dewspindle-expected-instance", self.id) != self.id:
            return 421, {"clock_ms": self.clock_ms}
        if body.get("fencing_token", 0) < self._token:
            return self._reject("fence")
        self._token = body.get("fencing_token", 0)
        self.called.set()
        if path == "/hold":
            return await self._hold(body)
        if path == "/run-start":
            return self._start(body)
        if path == "/run-stop":
            return self._stop(body)
        return 404, None

    def _reject(self, reason: str) -> tuple[int, Any]:
        return 409, {"clock_ms": self.clock_ms, "reason": reason}

    def _extend_lease(self, deadline_ms: int) -> None:
        allowed_ms = min(deadline_ms, self.clock_ms + MAX_HOLD_MS)
        if allowed_ms <= self._deadline_ms:
            return
        self._deadline_ms = allowed_ms
        if self._expiry is not None:
            self._expiry.cancel()
        remaining_s = max(0.0, (allowed_ms - self.clock_ms) / 1000)
        self._expiry = asyncio.get_running_loop().call_later(remaining_s, self._expire)

    def _expire(self) -> None:
        for run in list(self.runs.values()):
            self._end(run, "lapsed")

    def _start(self, body: dict[str, Any]) -> tuple[int, Any]:
        task, attempt = body["task"], body["attempt"]
        if body["deadline_ms"] <= self.clock_ms:
            return self._reject("late")
        self._extend_lease(body["deadline_ms"])
        running = self.runs.get(task)
        if running is not None and running.attempt == attempt:
            return 200, {"clock_ms": self.clock_ms}
        if running is not None or attempt <= self._highest_over.get(task, 0):
            return self._reject("old")
        run = self.runs[task] = Run(task, attempt)
        self.machine.log_start(self, run)
        behaviour = Behaviour.parse(body["spec"])
        if behaviour.run_s:
            run.timer = asyncio.get_running_loop().call_later(
                behaviour.run_s, self._end, run, behaviour.how
            )
        return 200, {"clock_ms": self.clock_ms}

    def _stop(self, body: dict[str, Any]) -> tuple[int, Any]:
        task, attempt = body["task"], body["attempt"]
        self._highest_over[task] = max(attempt, self._highest_over.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run.attempt <= attempt and not run.is_stopping:
            run.is_stopping = True
            asyncio.get_running_loop().call_later(STOP_S, self._end, run, "stopped")
        return 200, {"clock_ms": self.clock_ms}

    def fail(self, task: str) -> None:
        """Let a running task fail by its own fault."""
        run = self.runs.get(task)
        if run is not None:
            self._end(run, "failed")

    def _end(self, run: Run, how: str) -> None:
        if self.runs.get(run.task) is not run or self.machine.executor is not self:
            return
        del self.runs[run.task]
        if run.timer is not None:
            run.timer.cancel()
        self._highest_over[run.task] = max(run.attempt, self._highest_over.get(run.task, 0))
        self._count += 1
        self._finished.append([self._count, run.task, run.attempt, how, ""])
        self.machine.log_end(self, run, how)
        self._end_listed.set()

    async def _hold(self, body: dict[str, Any]) -> tuple[int, Any]:
        if "deadline_ms" in body:
            self._extend_lease(body["deadline_ms"])
        while self._finished and self._finished[0][0] <= body["ack_cursor"]:
            self._finished.popleft()
        wait_s = body.get("wait_ms", 0) / 1000
        if wait_s and not self._finished:
            self._end_listed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._end_listed.wait()
        return 200, {
            "clock_ms": self.clock_ms,
            "active": [[run.task, run.attempt, "", 100, 1000] for run in self.runs.values()],
            "finished": list(self._finished)[:MAX_LISTED_ENDS],
        }

    def make_heartbeat(self) -> dict[str, Any]:
        """Return the body of the next heartbeat."""
        self._sequence += 1
        return {
            "service": self.machine.service,
            "address": self.machine.address,
            "zone": self.machine.zone,
            "version": "v1",
            "slots": 8,
            **self.machine.describe_state(),
            "cold_remaining_ms": 0,
            "capacity": self.machine.capacity,
            "labels": ["a", f"r{self.machine.number // 4}-0"],
            "clock_ms": self.clock_ms,
            "sequence": self._sequence,
        }


class Machine:
    """Serves one address, for one executor after the other."""

    def __init__(
        self,
        number: int,
        *,
        host: str,
        port: int,
        service: str,
        zone: str,
        capacity: dict[str, int],
        control_addresses: list[str],
        log: FleetLog,
        record: Record,
        rng: random.Random,
    ) -> None:
        self.number = number
        self.address = f"{host}:{port}"
        self.service = service
        self.zone = zone
        self.capacity = capacity
        self.rng = rng
        self._control_addresses = control_addresses
        self._log = log
        self._record = record
        self._server = Server(host, port, self._handle)
        self._heartbeats: asyncio.Task[None] | None = None
        self.executor: Executor | None = None

    def describe_state(self) -> dict[str, Any]:
        """Return what a heartbeat says of the state of the executor."""
        return {"state": "ready"}

    @property
    def running(self) -> list[str]:
        """Return the tasks that run here."""
        return [] if self.executor is None else list(self.executor.runs)

    async def start(self) -> None:
        """Start an executor with a new id."""
        self.executor = Executor(self, f"i-{self.rng.getrandbits(32):08x}")
        await self._server.start()
        self._heartbeats = asyncio.create_task(self._send_heartbeats(self.executor))
        self._record.write(f"executor {self.executor.id} starts on machine {self.number}")

    async def wait_until_called(self) -> None:
        """Wait until the system has called the executor."""
        if self.executor is not None:
            await self.executor.called.wait()

    def crash(self) -> None:
        """End the executor without a word; all that it runs is gone."""
        if self.executor is None:
            return
        lost = [f"{run.task} run {run.attempt}" for run in self.executor.runs.values()]
        for run in self.executor.runs.values():
            if run.timer is not None:
                run.timer.cancel()
            self._log.ended_at[run.task, run.attempt] = self._record.now
        self._record.write(
            f"executor {self.executor.id} on machine {self.number} crashes; it ran {lost}"
        )
        self.close()

    def close(self) -> None:
        """Close the address and all connections."""
        self.executor = None
        self._server.crash()
        if self._heartbeats is not None:
            self._heartbeats.cancel()

    def log_start(self, executor: Executor, run: Run) -> None:
        """Record that a task begins."""
        self._log.starts.append(Start(self._record.now, run.task, run.attempt, self.number))
        self._record.write(f"start {run.task} run {run.attempt} on {executor.id}")
        if self._log.on_start is not None:
            self._log.on_start(executor, run)

    def log_end(self, executor: Executor, run: Run, how: str) -> None:
        """Record that a task ends."""
        self._log.ended_at[run.task, run.attempt] = self._record.now
        self._log.ends.append((run.task, how))
        self._record.write(f"end {run.task} run {run.attempt} on {executor.id}: {how}")

    async def _handle(
        self, method: str, path: str, headers: dict[str, str], body: Any
    ) -> tuple[int, Any]:
        if self.executor is None or method != "POST":
            return 404, None
        return await self.executor.handle(path, headers, body or {})

    async def _send_heartbeats(self, executor: Executor) -> None:
        while True:
            body = executor.make_heartbeat()
            addresses = list(self._control_addresses)
            self.rng.shuffle(addresses)
            for address in addresses:
                try:
                    status, _ = await call(
                        address,
                        "POST",
                        f"/Instances.Heartbeat/{executor.id}",
                        body=body,
                        timeout_s=HEARTBEAT_TIMEOUT_S,
                    )
                except ConnectionLostError:
                    continue
                if 200 <= status < 300:
                    break
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
