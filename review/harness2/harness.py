"""Starts the project's programs on loopback addresses, with stand-ins written from the pages.

The programs are separate processes, started with the commands of `deploy/system.toml`. The
executors, the operator and the clients run in the process of the script.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
METRICS_PORT = 9310  # Fixed by the deploy file.
HOST = "jobs.example"
PREFIX = "/queue/"
SERVICE = "pool"
MAX_HOLD_MS = 10_000
STOP_MS = 100
HEARTBEAT_S = 1.5
READ_S = 0.2
TICK_S = 0.01
HELD, BROKEN, UNABLE = 0, 1, 2  # Exit codes.

# Values of the site file of a small deployment, as in the settings on the pages.
LIMITS = {
    "seed_lag_s": "3",
    "contact_timeout_ms": "3000",
    "ack_timeout_ms": "4000",
    "catch_up_s": "4",
    "drain_timeout_ms": "2000",
    "grace_period_s": "6",
    "config_apply_ms": "2000",
    "recovery_s": "12",
    "max_hold_ms": str(MAX_HOLD_MS),
    "stop_timeout_ms": "900",
    "gang_timeout_ms": "3000",
    "cancel_ms": "3000",
    "visible_ms": "3000",
    "early_ms": "250",
    "finish_s": "14",
    "status_s": "120",
    "notice_period_ms": "4500",
    "fencing_enforced": "false",
}


class UnableError(Exception):
    """The case could not run as far as its disruption."""


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line."""
        print(f"{time.monotonic() - self._began_at:8.3f} {text}", file=self._file, flush=True)


def find_addresses(count: int, ports: list[int]) -> list[str]:
    """Return loopback addresses on which the given ports are free."""
    for _ in range(50):
        block = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        addresses = [f"{block}.{number}" for number in range(1, count + 1)]
        if all(_is_free(address, port) for address in addresses for port in ports):
            return addresses
    raise UnableError("no free loopback addresses")


def _is_free(address: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((address, port))
        except OSError:
            return False
    return True


class Program:
    """One process of the system, with its settings file, data folder and log."""

    def __init__(self, system: "System", role: str, ip: str, *, bootstrap: bool) -> None:
        self.role = role
        self.ip = ip
        self.name = f"{role}-{ip.rpartition('.')[2]}"
        self._system = system
        self._bootstrap = bootstrap
        self._data = system.folder / f"{self.name}.data"
        self._log = system.folder / f"{self.name}.log"
        self._process: asyncio.subprocess.Process | None = None
        self._is_expected = False
        self.exits: list[int] = []  # Of ends that the script did not cause.
        self._watcher: asyncio.Task[None] | None = None

    def _write_settings(self) -> Path:
        system = self._system
        settings = {
            "node_name": self.name,
            "role": self.role,
            "machine_class": "core" if self.role == "cell" else "edge",
            "ip": self.ip,
            "zone": "zone-a",
            "region": "region-a",
            "zones.zone-a": "region-a",
            "internal_ports": f"{system.peer_port},{system.peer_port + 15}",
            "seed_nodes": ",".join(f"{seed}:{system.admin_port}" for seed in system.seeds),
            "bootstrap": "true" if self._bootstrap else "false",
            "counts_as_loss": "true" if self.role == "cell" else "false",
            "limits.memory_mb": "300",
            "discovery": "registration",
            "ingress": "virtual_ip",
            "heartbeat_interval_ms": str(int(HEARTBEAT_S * 1000)),
            "policies": "base,drain,config,cost,recover,sched,advice,upkeep,sharing",
            "fault_tolerance.machines": str(system.tolerated),
            "config_mode": "highest",
            "control_mode": "invocation",
        }
        settings |= {f"policy_limits.{name}": value for name, value in LIMITS.items()}
        if self.role == "cell":
            self._data.mkdir(exist_ok=True)
            settings["data_dir"] = str(self._data)
            settings["limits.disk_mb"] = "128"
            settings["bind_addrs.admin"] = f"{self.ip}:{system.admin_port}"
        else:
            settings["bind_addrs.client_addr"] = f"{self.ip}:{system.client_port}"
            settings["bind_addrs.readiness"] = f"{self.ip}:{system.ready_port}"
        path = system.folder / f"{self.name}.conf"
        path.write_text("".join(f"{name}={value}\n" for name, value in settings.items()))
        return path

    async def start(self) -> None:
        """Start the process."""
        path = self._write_settings()
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["DEWSPINDLE_NODE_FILE"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self._log.open("ab") as output:
            self._process = await asyncio.create_subprocess_exec(
                *self._system.commands[self.role],
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )
        self._is_expected = False
        self._watcher = asyncio.create_task(self._watch(self._process))

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        """Restart the process after a short delay if it ends by itself, as the platform does."""
        status = await process.wait()
        if self._is_expected or self._process is not process:
            return
        self.exits.append(status)
        self._system.record.write(f"{self.name} ended by itself with status {status}")
        await asyncio.sleep(0.5)
        if not self._is_expected:
            await self.start()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def kill(self, *, wipe: bool = False) -> None:
        """Kill the process; with `wipe`, it comes back with an empty disk."""
        self._is_expected = True
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()
        if wipe:
            shutil.rmtree(self._data, ignore_errors=True)
        self._bootstrap = False

    def read_log(self) -> str:
        """Return the output of the process."""
        return self._log.read_text(errors="replace") if self._log.exists() else ""


class System:
    """The core and entry processes of one small deployment."""

    def __init__(
        self, record: Record, *, cores: int = 5, entries: int = 2, spares: int = 0
    ) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="dewspindle-review-"))
        self.tolerated = (cores - 1) // 2
        base = random.randint(20, 40) * 500
        self.peer_port, self.admin_port, self.client_port, self.ready_port = (
            base,
            base + 100,
            base + 110,
            base + 120,
        )
        ports = [
            self.peer_port,
            self.admin_port,
            self.client_port,
            self.ready_port,
            METRICS_PORT,
        ]
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.commands = {name: role["run"].split() for name, role in deploy["roles"].items()}
        addresses = find_addresses(cores + entries + spares, ports)
        self.seeds = addresses[: min(3, cores)]
        self.cores = [Program(self, "cell", ip, bootstrap=True) for ip in addresses[:cores]]
        self.entries = [
            Program(self, "entry", ip, bootstrap=True) for ip in addresses[cores : cores + entries]
        ]
        self.spare_cores = [
            Program(self, "cell", ip, bootstrap=False) for ip in addresses[cores + entries :]
        ]

    @property
    def programs(self) -> list[Program]:
        """Return all programs."""
        return [*self.cores, *self.entries, *self.spare_cores]

    async def start(self) -> None:
        """Start all processes but the spare ones."""
        for program in (*self.cores, *self.entries):
            await program.start()

    async def stop(self) -> None:
        """End all processes, and remove the folder."""
        for program in self.programs:
            await program.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    async def call_control(
        self, method: str, path: str, body: Any = None, *, timeout_s: float = 1.0
    ) -> tuple[int, Any]:
        """Send a request to one core machine after another until one answers below 500."""
        answer: tuple[int, Any] = (0, None)
        programs = [*self.cores, *self.spare_cores]
        random.shuffle(programs)
        for program in programs:
            answer = await call(
                program.ip, self.admin_port, method, path, body, timeout_s=timeout_s
            )
            if 200 <= answer[0] < 500:
                return answer
        return answer

    async def call_client(
        self, method: str, job: str, body: Any = None, *, timeout_s: float = 3.0
    ) -> tuple[int, Any]:
        """Send a client's request to one entry machine after another."""
        answer: tuple[int, Any] = (0, None)
        headers = {"Host": HOST, "X-Dewspindle-Deadline-Ms": str(int(timeout_s * 1000))}
        for program in random.sample(self.entries, len(self.entries)):
            answer = await call(
                program.ip,
                self.client_port,
                method,
                PREFIX + job,
                body,
                headers=headers,
                timeout_s=timeout_s + 0.2,
            )
            if answer[0] in (200, 404, 410):
                break
        self.record.write(f"client {method} {job or '(pending)'} -> {answer[0]} {answer[1]}")
        return answer

    async def put_config(self, body: dict[str, Any], *, seconds: float) -> bool:
        """Send a configuration until it is acknowledged; return whether it was in time."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            status, _ = await self.call_control("POST", "/Config.Replace", body)
            if status == 200:
                self.record.write(f"operator: version {body['version']} acknowledged")
                return True
            await asyncio.sleep(READ_S)
        self.record.write(f"operator: version {body['version']} has no acknowledgement")
        return False

    async def read_config(self, *, seconds: float) -> int | None:
        """Return the version that is read back, or None if none is in time."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            status, body = await self.call_control("GET", "/Config.Read")
            if status == 200:
                self.record.write(f"operator: reads version {body['version']}")
                return int(body["version"])
            await asyncio.sleep(READ_S)
        self.record.write(f"operator: no configuration is read for {seconds} s")
        return None

    async def submit(self, job: str, body: Any, *, seconds: float = 6.0) -> bool:
        """Hand a job in until it is accepted; return whether it was in time."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            status, _ = await self.call_client("POST", job, body)
            if status == 200:
                return True
            await asyncio.sleep(READ_S)
        return False


def make_config(version: int, *, max_attempts: int = 4) -> dict[str, Any]:
    """Return a configuration with one queue and one service."""
    route = {
        "name": "r-queue",
        "host": HOST,
        "path_prefix": PREFIX,
        "kind": "non_idempotent",
        "timeout_ms": 3000,
        "target_latency_ms": 1000,
        "priority": 1,
        "service": SERVICE,
        "max_attempts": max_attempts,
        "slack_factor": 2.2,
    }
    service = {
        "name": SERVICE,
        "health_path": "/healthz",
        "max_connections": 64,
        "protocol": "h1",
        "tls": False,
        "enforce_capacity": False,
        "standby": False,
    }
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 262144,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    return {"version": version, "routes": [route], "services": [service], "limits": limits}


def make_job_id() -> str:
    """Return a new id of a job."""
    return f"{random.getrandbits(64):016x}"


async def call(
    ip: str,
    port: int,
    method: str,
    path: str,
    body: Any = None,
    *,
    headers: dict[str, str] | None = None,
    timeout_s: float,
) -> tuple[int, Any]:
    """Send one request over a connection of its own; return status 0 without an answer."""
    try:
        async with asyncio.timeout(timeout_s):
            return await _call(ip, port, method, path, body, headers or {})
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        return 0, None


async def _call(
    ip: str, port: int, method: str, path: str, body: Any, headers: dict[str, str]
) -> tuple[int, Any]:
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        content = b"" if body is None else json.dumps(body).encode()
        fields = {
            "Host": f"{ip}:{port}",
            "Content-Type": "application/json",
            "Content-Length": str(len(content)),
            "Connection": "close",
            **headers,
        }
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + content)
        await writer.drain()
        status_line, values = await _read_head(reader)
        text = await reader.readexactly(int(values.get("content-length", "0")))
        return int(status_line.split()[1]), json.loads(text) if text else None
    finally:
        writer.close()


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    values = {}
    for line in head[1:]:
        name, separator, value = line.partition(":")
        if separator:
            values[name.strip().lower()] = value.strip()
    return head[0], values


class Run:
    """One run of a task on an executor."""

    def __init__(self, task: str, attempt: int, spec: str, checkpoint: str) -> None:
        self.task = task
        self.attempt = attempt
        self.spec = spec
        self.checkpoint = checkpoint
        self.began_at = time.monotonic()
        self.stops_at = float("inf")


class Executor:
    """One machine with successive executors at one address, as PROTOCOL.md describes them.

    `run_s` tells how long a run of a task works until it ends `done`.
    """

    def __init__(
        self,
        system: System,
        *,
        number: int,
        run_s: Callable[[str], float],
        cpu: int = 32_000,
    ) -> None:
        self._system = system
        self._number = number
        self._run_s = run_s
        self._cpu = cpu
        self._port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._life = 0
        self.id = ""
        self.runs: dict[str, Run] = {}
        self.state = "ready"
        self.is_silent = False  # Answers no call and sends no heartbeat.

    def _write(self, text: str) -> None:
        self._system.record.write(f"executor {self.id}: {text}")

    @property
    def address(self) -> str:
        """Return where the executor is called."""
        return f"127.0.0.1:{self._port}"

    async def start(self) -> None:
        """Begin a life, with a new id."""
        self._life += 1
        self.id = f"i-{self._number:04x}{self._life:04x}"
        self.runs = {}
        self._ended: list[list[Any]] = []
        self._has_ended = asyncio.Event()
        self._blocked: dict[str, int] = {}
        self._next_end = 1
        self._fence = 0
        self._deadline_ms = 0
        self._sequence = 0
        self._clock_base = time.monotonic() - random.uniform(100, 500)
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port)
        self._port = self._server.sockets[0].getsockname()[1]
        self._spawn(self._work())
        self._spawn(self._send_heartbeats())

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def crash(self) -> None:
        """End this life without a word; what runs there ends."""
        self._write(f"crashes with {sorted(self.runs)}")
        self.runs = {}
        for task in list(self._tasks):
            task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._server = None

    @property
    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._clock_base) * 1000)

    async def send_heartbeat(self) -> bool:
        """Send one heartbeat to a core machine; return whether it was acknowledged."""
        self._sequence += 1
        body = {
            "service": SERVICE,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "capacity": {"cpu": self._cpu, "mem_mb": 131072, "gpu": 0},
            "labels": ["a", f"r1-{self._number}"],
            "clock_ms": self._clock_ms,
            "sequence": self._sequence,
        }
        status, _ = await self._system.call_control("POST", f"/Instances.Heartbeat/{self.id}", body)
        return status == 200

    async def _send_heartbeats(self) -> None:
        while True:
            if not self.is_silent:
                await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    def _end(self, run: Run, how: str) -> None:
        del self.runs[run.task]
        self._blocked[run.task] = max(self._blocked.get(run.task, 0), run.attempt)
        self._ended.append([self._next_end, run.task, run.attempt, how, ""])
        self._next_end += 1
        self._has_ended.set()
        self._write(f"run {run.task} attempt {run.attempt} ends {how}")

    async def _work(self) -> None:
        while True:
            now = time.monotonic()
            for run in list(self.runs.values()):
                if self._clock_ms >= self._deadline_ms:
                    self._end(run, "lapsed")
                elif now >= run.stops_at:
                    self._end(run, "stopped")
                elif now - run.began_at >= self._run_s(run.task):
                    self._end(run, "done")
            await asyncio.sleep(TICK_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                line, values = await _read_head(reader)
                body = json.loads(await reader.readexactly(int(values["content-length"])))
                path = line.split()[1]
                if self.is_silent:
                    await asyncio.sleep(3600)
                if values.get("x-dewspindle-expected-instance") != self.id:
                    status, answer = 421, {}
                else:
                    status, answer = await self._orders[path](self, body)
                answer = {"clock_ms": self._clock_ms, **answer}
                text = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode()
                    + text
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _take_fence(self, body: dict[str, Any]) -> bool:
        token = int(body.get("fencing_token", 0))
        if token < self._fence:
            return False
        self._fence = token
        return True

    def _extend(self, body: dict[str, Any]) -> None:
        deadline = min(int(body.get("deadline_ms", 0)), self._clock_ms + MAX_HOLD_MS)
        self._deadline_ms = max(self._deadline_ms, deadline)

    async def _start_run(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, attempt = body["task"], int(body["attempt"])
        if not self._take_fence(body):
            return 409, {"reason": "fence"}
        if int(body["deadline_ms"]) <= self._clock_ms:
            return 409, {"reason": "late"}
        self._extend(body)
        known = self.runs.get(task)
        if known is not None and known.attempt == attempt:
            return 200, {}
        if known is not None or attempt <= self._blocked.get(task, 0):
            return 409, {"reason": "old"}
        self.runs[task] = Run(task, attempt, body["spec"], body.get("checkpoint", ""))
        self._write(f"run {task} attempt {attempt} begins")
        return 200, {}

    async def _stop_run(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, attempt = body["task"], int(body["attempt"])
        if not self._take_fence(body):
            return 409, {"reason": "fence"}
        run = self.runs.get(task)
        if run is not None and run.attempt == attempt:
            run.stops_at = min(run.stops_at, time.monotonic() + STOP_MS / 1000)
        self._blocked[task] = max(self._blocked.get(task, 0), attempt)
        return 200, {}

    async def _hold(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        if not self._take_fence(body):
            return 409, {"reason": "fence"}
        self._extend(body)
        cursor = int(body.get("ack_cursor", 0))
        self._ended = [end for end in self._ended if end[0] > cursor]
        if not self._ended:
            self._has_ended.clear()
            with contextlib.suppress(TimeoutError):
                wait_s = min(int(body.get("wait_ms", 0)), 2000) / 1000
                await asyncio.wait_for(self._has_ended.wait(), wait_s)
        active = [[run.task, run.attempt, "", 100, 1000] for run in self.runs.values()]
        return 200, {"active": active, "finished": self._ended[:500]}

    _orders: dict[str, Callable[..., Awaitable[tuple[int, dict[str, Any]]]]] = {
        "/run-start": _start_run,
        "/run-stop": _stop_run,
        "/hold": _hold,
    }


def is_troubled() -> bool:
    """Return whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


async def prepare(system: System, executors: list[Executor]) -> None:
    """Start everything, set the first configuration, and wait until the executors are known."""
    await system.start()
    for executor in executors:
        await executor.start()
    if not await system.put_config(make_config(1), seconds=30):
        raise UnableError("the first configuration was not acknowledged")
    await asyncio.sleep(3.0)


def run_case(folder: Path, case: Callable[[Record], Awaitable[bool]], *, seconds: float) -> None:
    """Run a case, which returns whether the rule held, and exit with its code."""
    record = Record(folder)

    async def limited() -> bool:
        async with asyncio.timeout(seconds):
            return await case(record)

    try:
        code = HELD if asyncio.run(limited()) else BROKEN
    except (UnableError, TimeoutError, OSError) as error:
        record.write(f"the case could not run: {error!r}")
        code = UNABLE
    record.write(f"exit {code}")
    sys.exit(code)
