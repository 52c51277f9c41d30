"""Stand-in executor: one life of one machine, as a process of its own.

Follows "Running tasks" and "Service discovery" of PROTOCOL.md. The `spec` of a job is a JSON
object: `ms` is how long each of its tasks runs (0: until stopped), `how` how it ends (`done` or
`failed`). What it starts and ends is appended to the file named in its configuration, one JSON
object a line.

Signals disturb it: after SIGUSR1 it leaves the next lease renewal unanswered and carries it out
`late_s` later; after SIGUSR2 all that it starts within `grey_s` fails; after SIGHUP all that it
runs fails, as tasks that last may at any time; after SIGWINCH its open connections are silent.
"""

import asyncio
import json
import signal
import sys
import time
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from http_io import HttpServer, Request, request

STOP_S = 0.05
GREY_RUN_S = 0.1  # Until a task fails that a grey executor has started.


@dataclass
class Run:
    """One run of a task."""

    attempt: int
    spec: dict[str, Any]
    checkpoint: str
    timer: asyncio.TimerHandle | None = None
    is_stopping: bool = False


class Executor:
    """Runs tasks on orders, under a lease."""

    def __init__(self, config: dict[str, Any]) -> None:
        self._config = config
        self._id: str = config["id"]
        self._loop = asyncio.get_running_loop()
        self._born = time.monotonic()
        self._born_ms = time.time_ns() // 1_000_000
        self._active: dict[str, Run] = {}
        self._finished: list[list[Any]] = []
        self._count = 0
        self._over: dict[str, int] = {}  # Highest run stopped or ended, by task.
        self._token = 0
        self._deadline_ms = 0
        self._lapse: asyncio.TimerHandle | None = None
        self._ended = asyncio.Event()
        self._sequence = 0
        self._state = "ready"
        self._log = Path(config["log"])
        self._is_late = False
        self._grey_until = float("-inf")
        for number, react in (
            (signal.SIGUSR1, self._put_off_next),
            (signal.SIGUSR2, self._turn_grey),
            (signal.SIGHUP, self._fail_all),
        ):
            self._loop.add_signal_handler(number, react)

    def _put_off_next(self) -> None:
        self._is_late = True

    def _turn_grey(self) -> None:
        self._grey_until = self._loop.time() + self._config.get("grey_s", 5.0)

    def _fail_all(self) -> None:
        self._end_all("failed")

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._born) * 1000)

    def _record(self, what: str, **fields: Any) -> None:
        line = {"at": round(time.time(), 3), "executor": self._id, "born": self._born_ms}
        line |= {"what": what, **fields}
        with self._log.open("a", encoding="utf-8") as log:
            log.write(json.dumps(line) + "\n")

    async def handle(self, call: Request) -> tuple[int, Any]:
        """Answer one call."""
        if call.path == self._config.get("health_path", "/healthz"):
            return 200, {}
        body = json.loads(call.body)
        if self._is_late and call.path == "/hold":
            self._is_late = False
            await asyncio.sleep(self._config["late_s"])
            await self._carry_out(call, body)
            raise ConnectionResetError("left unanswered")
        return await self._carry_out(call, body)

    async def _carry_out(self, call: Request, body: dict[str, Any]) -> tuple[int, Any]:
        if call.headers.get("x-dewspindle-expected-instance") != self._id:
            return self._answer(421)
        token = body.get("fencing_token", 0)
        if token < self._token:
            return self._answer(409, reason="fence")
        self._token = token
        if call.path == "/run-start":
            return self._start(body)
        if call.path == "/run-stop":
            return self._stop(body)
        if call.path == "/hold":
            return await self._hold(body)
        return self._answer(400)

    def _answer(self, status: int, **fields: Any) -> tuple[int, Any]:
        body = {"clock_ms": self._clock_ms(), **fields}
        if self._config.get("tells_born"):
            body["born"] = self._born_ms
        return status, body

    def _extend(self, deadline_ms: int) -> None:
        latest = self._clock_ms() + self._config["max_hold_ms"]
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, latest))
        if self._lapse is not None:
            self._lapse.cancel()
        delay_s = max(0, self._deadline_ms - self._clock_ms()) / 1000
        self._lapse = self._loop.call_later(delay_s, self._end_all, "lapsed")

    def _end_all(self, how: str) -> None:
        for task in list(self._active):
            self._end(task, how)

    def _start(self, body: dict[str, Any]) -> tuple[int, Any]:
        task, attempt = body["task"], body["attempt"]
        running = self._active.get(task)
        if running is not None and running.attempt == attempt:
            self._extend(body["deadline_ms"])
            return self._answer(200)
        if attempt <= self._over.get(task, 0) or running is not None:
            self._extend(body["deadline_ms"])
            return self._answer(409, reason="old")
        if body["deadline_ms"] <= self._clock_ms():
            return self._answer(409, reason="late")
        self._extend(body["deadline_ms"])
        spec = json.loads(body["spec"])
        run = self._active[task] = Run(attempt, spec, body.get("checkpoint", ""))
        self._record("start", task=task, attempt=attempt, token=self._token)
        if self._loop.time() < self._grey_until:
            run.timer = self._loop.call_later(GREY_RUN_S, self._end, task, "failed")
        elif spec.get("ms"):
            how = spec.get("how", "done")
            run.timer = self._loop.call_later(spec["ms"] / 1000, self._end, task, how)
        return self._answer(200)

    def _end(self, task: str, how: str) -> None:
        run = self._active.pop(task, None)
        if run is None:
            return
        if run.timer is not None:
            run.timer.cancel()
        self._count += 1
        self._over[task] = max(self._over.get(task, 0), run.attempt)
        self._finished.append([self._count, task, run.attempt, how, run.checkpoint])
        self._record("end", task=task, attempt=run.attempt, how=how, number=self._count)
        self._ended.set()
        self._ended = asyncio.Event()

    def _stop(self, body: dict[str, Any]) -> tuple[int, Any]:
        task, attempt = body["task"], body["attempt"]
        self._over[task] = max(self._over.get(task, 0), attempt)
        run = self._active.get(task)
        if run is not None and run.attempt <= attempt and not run.is_stopping:
            run.is_stopping = True
            self._loop.call_later(STOP_S, self._end, task, "stopped")
        return self._answer(200)

    async def _hold(self, body: dict[str, Any]) -> tuple[int, Any]:
        if any(row[0] <= body["ack_cursor"] for row in self._finished):
            self._record("noted", through=body["ack_cursor"])
        self._finished = [row for row in self._finished if row[0] > body["ack_cursor"]]
        if "deadline_ms" in body:
            self._extend(body["deadline_ms"])
        if not self._finished and body.get("wait_ms"):
            with suppress(TimeoutError):
                await asyncio.wait_for(self._ended.wait(), min(body["wait_ms"], 2000) / 1000)
        active = [[task, run.attempt, "", 100, 1000] for task, run in self._active.items()]
        return self._answer(200, active=active, finished=self._finished[:500])

    def _make_heartbeat(self) -> dict[str, Any]:
        self._sequence += 1
        config = self._config
        body = {
            "service": config["service"],
            "address": config["address"],
            "zone": config["zone"],
            "version": "v1",
            "slots": 8,
            "state": self._state,
            "cold_remaining_ms": 0,
            "capacity": config["capacity"],
            "labels": config["labels"],
            "clock_ms": self._clock_ms(),
            "sequence": self._sequence,
        }
        if config.get("tells_born"):
            body["born"] = self._born_ms
        return body

    async def send_heartbeats(self) -> None:
        """Send heartbeats until cancelled, each to the next node until one acknowledges it."""
        controls = list(self._config["controls"])
        while True:
            body = self._make_heartbeat()
            for _ in range(len(controls)):
                try:
                    path = f"/Instances.Heartbeat/{self._id}"
                    status, _ = await request(controls[0], "POST", path, body, timeout_s=1.0)
                except (OSError, TimeoutError, ValueError):
                    status = 0
                if 200 <= status < 300:
                    break
                controls.append(controls.pop(0))
                await asyncio.sleep(0.05)
            await asyncio.sleep(self._config["heartbeat_interval_ms"] / 1000)


async def main(config: dict[str, Any]) -> None:
    """Serve until killed."""
    executor = Executor(config)
    server = HttpServer(executor.handle)
    asyncio.get_running_loop().add_signal_handler(signal.SIGWINCH, server.silence)
    await server.start(config["address"])
    await executor.send_heartbeats()


if __name__ == "__main__":
    asyncio.run(main(json.loads(Path(sys.argv[1]).read_text(encoding="utf-8"))))
