"""Called workers over HTTP, and callers, as the load of one leader."""

import asyncio
import json
import random
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import anyio
from anyio.abc import TaskGroup

from dewspindle._internal.exceptions import DewspindleError
from dewspindle._internal.network import methods
from dewspindle._internal.network.peer_client import PeerClient
from dewspindle._internal.replication.transport import PeerUnreachableError
from dewspindle._internal.schema import jobs_pb2, peers_pb2, resources_pb2, settings_pb2
from dewspindle._internal.utils.local_ports import reserve_address

from .results import compute_percentile

HOST = "jobs.example"
POOL = "pool"
HEARTBEAT_INTERVAL_S = 1.5
WORKERS_KNOWN_S = 2.0  # From the start of the workers to the first job.
BATCH_INTERVAL_S = 0.02  # Entry instances send the jobs of this time together.
RELAY_TIMEOUT_S = 3.0
WORKER_PROCESSORS = 32_000
WORKER_MEMORY_MB = 131_072


@dataclass(frozen=True, slots=True)
class JobKind:
    """Jobs of one queue."""

    name: str
    priority: int
    per_s: float
    tasks: int
    processors: int
    run_s: float
    gang_fraction: float
    slack: float
    aim_ms: int


# Of the deployment whose callers compete for capacity, in docs/design/teams-and-contention.md.
KINDS = (
    JobKind("gangs", 1, 2.23, 24, 9000, 4.0, 1.0, 2.2, 1000),
    JobKind("sweep", 2, 6.38, 37, 3500, 2.7, 0.0, 4.0, 3000),
    JobKind("check", 0, 51.6, 3, 5000, 0.64, 0.3, 1.5, 300),
)


class HttpConnection(asyncio.Protocol):
    """Server side of one connection, with one request at a time.

    176 servers of the product's kind take more processor time than the leader that they load.
    """

    def __init__(self, answer: Callable[[str, dict[str, Any]], Awaitable[dict[str, Any]]]) -> None:
        self._answer = answer
        self._received = b""
        self._transport: asyncio.WriteTransport | None = None
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.WriteTransport)
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up the request that is being answered."""
        self._transport = None
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        """Answer a request once it is complete."""
        self._received += data
        head, separator, body = self._received.partition(b"\r\n\r\n")
        if not separator:
            return
        length = int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
        if len(body) < length:
            return
        self._received = body[length:]
        path = head.split(b" ", 2)[1].decode()
        self._task = asyncio.ensure_future(self._respond(path, json.loads(body[:length])))

    async def _respond(self, path: str, fields: dict[str, Any]) -> None:
        content = json.dumps(await self._answer(path, fields)).encode()
        head = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n"
        if self._transport is not None:
            self._transport.write(head % len(content) + content)


class HttpWorker:
    """Runs each task for the seconds that its payload states."""

    def __init__(self, number: int, counts: Counter[str], notice_s: list[float]) -> None:
        self.id = f"w{number}"
        self.address = reserve_address()
        self._counts = counts
        self._notice_s = notice_s  # From the end of a task to the answer that lists it.
        self._born_ms = time.time_ns() // 1_000_000
        self._running: dict[str, int] = {}
        self._ended: list[tuple[int, str, int, str, float]] = []
        self._end_count = 0
        self._ended_event = asyncio.Event()

    async def serve(self) -> None:
        """Accept connections."""
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.create_server(lambda: HttpConnection(self.answer), host, int(port))

    def make_heartbeat(self, sequence: int) -> peers_pb2.WorkerBeat:
        """Return a heartbeat."""
        return peers_pb2.WorkerBeat(
            worker=jobs_pb2.CalledWorker(
                id=self.id,
                pool=POOL,
                address=self.address,
                capacity=resources_pb2.Resources(
                    processors=WORKER_PROCESSORS, memory_mb=WORKER_MEMORY_MB
                ),
                born_ms=self._born_ms,
            ),
            remaining_ms=1000,
            clock_ms=int(time.monotonic() * 1000),
            sequence=sequence,
        )

    async def answer(self, path: str, fields: dict[str, Any]) -> dict[str, Any]:
        """Execute an order and return the body of its answer."""
        self._counts[path] += 1
        body: dict[str, Any] = {}
        if path == "/run-start":
            self._start(fields)
        elif path == "/hold":
            body = await self._hold(fields)
        else:
            self._end(fields["task"], fields["attempt"], "stopped")
        return {"clock_ms": int(time.monotonic() * 1000), **body}

    def _start(self, fields: dict[str, Any]) -> None:
        task, attempt = fields["task"], fields["attempt"]
        if task not in self._running:
            self._running[task] = attempt
            loop = asyncio.get_running_loop()
            loop.call_later(float(fields["spec"]), self._end, task, attempt, "done")

    def _end(self, task: str, attempt: int, kind: str) -> None:
        if self._running.get(task) != attempt:
            return
        del self._running[task]
        self._end_count += 1
        self._ended.append((self._end_count, task, attempt, kind, time.monotonic()))
        self._ended_event.set()

    async def _hold(self, fields: dict[str, Any]) -> dict[str, Any]:
        self._ended = [end for end in self._ended if end[0] > fields["ack_cursor"]]
        if not self._ended and fields["wait_ms"]:
            self._ended_event.clear()
            with anyio.move_on_after(fields["wait_ms"] / 1000):
                await self._ended_event.wait()
        now = time.monotonic()
        self._notice_s += [now - end[4] for end in self._ended]
        return {
            "born": self._born_ms,
            "active": [[task, n, "", 100, 4000] for task, n in self._running.items()],
            "finished": [[end[0], end[1], end[2], end[3], ""] for end in self._ended],
        }


class Load:
    """Sends heartbeats and jobs to the leader."""

    def __init__(self, options: dict[str, Any]) -> None:
        self._leader = options["leader"]
        self._rate = options["rate"]
        self._begins_at = options["begins_at"]
        self._ends_at = options["ends_at"]
        self._rng = random.Random(7)
        self._client = PeerClient(settings_pb2.Settings())
        self._counts: Counter[str] = Counter()
        self._notice_s: list[float] = []
        self._accept_s: list[float] = []
        self._workers = [
            HttpWorker(n, self._counts, self._notice_s) for n in range(options["workers"])
        ]

    async def run(self) -> dict[str, Any]:
        """Return what the workers counted between the two given times."""
        async with anyio.create_task_group() as group:
            for worker in self._workers:
                await worker.serve()
                group.start_soon(self._send_heartbeats, worker)
            await anyio.sleep(WORKERS_KNOWN_S)
            for kind in KINDS:
                group.start_soon(self._submit, kind, group)
            await anyio.sleep(self._begins_at - time.monotonic())
            self._counts.clear()
            self._notice_s.clear()
            self._accept_s.clear()
            await anyio.sleep(self._ends_at - time.monotonic())
            results = self._summarize()
            group.cancel_scope.cancel()
        return results

    def _summarize(self) -> dict[str, Any]:
        return {
            "starts": self._counts["/run-start"],
            "renewals": self._counts["/hold"],
            "accept_p50_ms": round(compute_percentile(self._accept_s, 50) * 1000, 1),
            "accept_p99_ms": round(compute_percentile(self._accept_s, 99) * 1000, 1),
            "notice_p50_ms": round(compute_percentile(self._notice_s, 50) * 1000, 1),
            "notice_p99_ms": round(compute_percentile(self._notice_s, 99) * 1000, 1),
        }

    async def _send_heartbeats(self, worker: HttpWorker) -> None:
        sequence = 0
        await anyio.sleep(self._rng.random() * HEARTBEAT_INTERVAL_S)
        while True:
            sequence += 1
            request = peers_pb2.RelayBeatRequest(beat=worker.make_heartbeat(sequence))
            try:
                await self._client.call(
                    self._leader, methods.RELAY_HEARTBEAT, request, timeout_s=RELAY_TIMEOUT_S
                )
            except (DewspindleError, PeerUnreachableError) as error:
                self._counts[type(error).__name__] += 1
            await anyio.sleep(HEARTBEAT_INTERVAL_S)

    async def _submit(self, kind: JobKind, group: TaskGroup) -> None:
        """Submit the jobs of a kind, those of one interval in one request."""
        next_at = time.monotonic()
        while True:
            requests = []
            while next_at <= time.monotonic():
                requests.append(self._make_request(kind))
                next_at += self._rng.expovariate(kind.per_s * self._rate)
            if requests:
                group.start_soon(self._send, requests)
            await anyio.sleep(BATCH_INTERVAL_S)

    def _make_request(self, kind: JobKind) -> peers_pb2.JobRequest:
        run_s = kind.run_s * self._rng.uniform(0.6, 1.4)
        spec = jobs_pb2.JobSpec(payload=f"{run_s:.3f}")
        spec.steps.add(
            count=kind.tasks,
            resources=resources_pb2.Resources(processors=kind.processors, memory_mb=8_000),
            estimate_ms=int(kind.run_s * 1000),
            gang=self._rng.random() < kind.gang_fraction,
        )
        job = f"{self._rng.getrandbits(64):016x}"
        path = f"/{kind.name}/{job}"
        return peers_pb2.JobRequest(call=peers_pb2.JOB_SUBMIT, host=HOST, path=path, spec=spec)

    async def _send(self, requests: list[peers_pb2.JobRequest]) -> None:
        sent_at = time.monotonic()
        request = peers_pb2.RelayJobsRequest(requests=requests)
        try:
            answer = await self._client.call(
                self._leader, methods.RELAY_JOBS, request, timeout_s=RELAY_TIMEOUT_S
            )
        except (DewspindleError, PeerUnreachableError) as error:
            self._counts[type(error).__name__] += 1
            return
        assert all(one.status == 200 for one in answer.answers), answer
        self._accept_s += [time.monotonic() - sent_at] * len(requests)


async def play_load(options: dict[str, Any]) -> dict[str, Any]:
    """Run workers and callers until the given time, and return the figures."""
    return await Load(options).run()
