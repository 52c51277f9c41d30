"""A small deployment on loopback addresses: the project's programs and stand-ins as processes."""

import asyncio
import json
import os
import random
import re
import secrets
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

from http_io import request

ROOT = Path(__file__).resolve().parents[2]
HERE = Path(__file__).resolve().parent
CONTROL_PORT, CLIENT_PORT, READY_PORT = 8166, 8161, 8167
HOST, PREFIX, SERVICE = "lab.example", "/lab/", "lab-svc"
LIMITS = {
    "seed_lag_s": "3",
    "reuse_delay_s": "2",
    "contact_timeout_ms": "3000",
    "ack_timeout_ms": "4000",
    "catch_up_s": "4",
    "drain_timeout_ms": "2000",
    "grace_period_s": "6",
    "loss_slack_ms": "200",
    "config_apply_ms": "2000",
    "rollback_slack_ms": "250",
    "max_skew_ms": "5000",
    "recovery_s": "12",
    "max_hold_ms": "10000",
    "stop_timeout_ms": "900",
    "gang_timeout_ms": "3000",
    "cancel_ms": "3000",
    "visible_ms": "3000",
    "early_ms": "250",
    "finish_s": "14",
    "status_s": "120",
}


class CannotRunError(Exception):
    """The case could not be played."""


def find_free_net() -> str:
    """Return the first three numbers of loopback addresses on which nothing listens."""
    for _ in range(50):
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for port in (CONTROL_PORT, CLIENT_PORT, READY_PORT, 7720, 9310, 9000):
                with socket.socket() as probe:
                    probe.bind((f"{net}.1", port))
        except OSError:
            continue
        return net
    raise CannotRunError("no free loopback addresses")


class Process:
    """One process that the case has started."""

    def __init__(self, command: list[str], env: dict[str, str], log: Path) -> None:
        self._command, self._env, self._log = command, env, log
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        with self._log.open("ab") as output:
            self._process = subprocess.Popen(
                self._command, cwd=ROOT, env=self._env, stdout=output, stderr=output
            )

    @property
    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            self._process.wait()


class Lab:
    """The processes of one case, and its record."""

    def __init__(self, case: Path, *, cells: int = 5, entries: int = 2) -> None:
        self._record = (case / "record.txt").open("w", encoding="utf-8", buffering=1)
        self._began = time.monotonic()
        self.folder = Path(tempfile.mkdtemp(prefix="review3-"))
        self.net = find_free_net()
        self.disturbs = os.environ.get("TROUBLE", "1") != "0"
        self.cell_ips = [f"{self.net}.{n + 1}" for n in range(cells)]
        self.entry_ips = [f"{self.net}.{n + 51}" for n in range(entries)]
        self.controls = [f"{ip}:{CONTROL_PORT}" for ip in self.cell_ips]
        self.clients = [f"{ip}:{CLIENT_PORT}" for ip in self.entry_ips]
        self.tolerated = (cells - 1) // 2
        self.bootstrap = True
        self.programs: dict[str, Process] = {}
        self.executors: dict[str, Process] = {}
        self._processes: list[Process] = []  # All that were started, also those replaced since.
        self._lives: dict[str, int] = {}
        self.version = 0

    def note(self, text: str) -> None:
        """Write a line to the record."""
        self._record.write(f"{time.monotonic() - self._began:8.3f} {text}\n")

    # The project's programs.

    def _write_settings(self, name: str, ip: str, role: str) -> Path:
        fields = {
            "node_name": name,
            "role": role,
            "machine_class": "core" if role == "cell" else "edge",
            "serves": "control_plane" if role == "cell" else "edge",
            "ip": ip,
            "zone": f"zone-{int(ip.rpartition('.')[2]) % 3}",
            "region": "lab",
            "internal_ports": "7720,7735",
            "seed_nodes": ",".join(self.controls[:3]),
            "bootstrap": "true" if self.bootstrap else "false",
            "counts_as_loss": "true" if role == "cell" else "false",
            "limits.cpu_quota": "1.0",
            "limits.cores": "2",
            "limits.memory_mb": "300",
            "limits.max_fds": "4096",
            "limits.bandwidth_mbps": "1000.0",
            "limits.disk_mb": "128" if role == "cell" else "0",
            "discovery": "registration",
            "ingress": "virtual_ip",
            "heartbeat_interval_ms": "1500",
            "policies": "base,drain,config,cost,recover,sched",
            "fault_tolerance.machines": str(self.tolerated),
            "fault_tolerance.zones": "0",
            "fault_tolerance.regions": "0",
            "config_mode": "highest",
            "control_mode": "invocation",
            **{f"policy_limits.{name}": value for name, value in LIMITS.items()},
        }
        if role == "cell":
            data = self.folder / f"{name}.data"
            data.mkdir(exist_ok=True)
            fields["data_dir"] = str(data)
            fields["bind_addrs.admin"] = f"{ip}:{CONTROL_PORT}"
        else:
            fields["bind_addrs.client_addr"] = f"{ip}:{CLIENT_PORT}"
            fields["bind_addrs.readiness"] = f"{ip}:{READY_PORT}"
        path = self.folder / f"{name}.conf"
        path.write_text("".join(f"{key}={value}\n" for key, value in fields.items()))
        return path

    def start_program(self, name: str, ip: str, role: str) -> Process:
        """Start one role of the deploy file on an address."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        command = shlex.split(deploy["roles"][role]["run"])
        if command[0] == "python3":
            command[0] = sys.executable
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["DEWSPINDLE_NODE_FILE"] = str(self._write_settings(name, ip, role))
        program = Process(command, env, self.folder / f"{name}.log")
        self.programs[name] = program
        self._processes.append(program)
        program.start()
        return program

    def start_programs(self) -> None:
        """Start all cells and entries."""
        for number, ip in enumerate(self.cell_ips):
            self.start_program(f"core-{number + 1}", ip, "cell")
        for number, ip in enumerate(self.entry_ips):
            self.start_program(f"edge-{number + 1}", ip, "entry")

    def restart_program(self, name: str) -> None:
        """Start a program again that was killed, with the settings in effect now."""
        number = int(name.rpartition("-")[2]) - 1
        is_cell = name.startswith("core-")
        ip = self.cell_ips[number] if is_cell else self.entry_ips[number]
        self.start_program(name, ip, "cell" if is_cell else "entry")

    def list_terms(self) -> list[tuple[int, str]]:
        """Return the terms in which cells have led, by their logs."""
        terms = []
        for name in self.programs:
            log = (self.folder / f"{name}.log").read_text(encoding="utf-8", errors="replace")
            terms += [(int(t), name) for t in re.findall(r'"term": (\d+), "event": "leading"', log)]
        return sorted(terms)

    def find_leader(self) -> str:
        """Return the name of the cell that began to lead last."""
        terms = self.list_terms()
        if not terms:
            raise CannotRunError("no cell leads")
        return terms[-1][1]

    # Executors.

    def get_executor_address(self, number: int) -> str:
        """Return where the executor on a machine is called."""
        return f"{self.net}.{number + 101}:9000"

    def start_executor(self, machine: str, number: int, **changes: Any) -> str:
        """Start a life of an executor on a machine, and return its id."""
        life = self._lives[machine] = self._lives.get(machine, 0) + 1
        executor_id = changes.pop("id", f"i-{machine}-{life}-{secrets.token_hex(2)}")
        config = {
            "id": executor_id,
            "service": SERVICE,
            "address": self.get_executor_address(number),
            "zone": f"zone-{number % 3}",
            "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
            "labels": ["a", f"r-{number % 3}"],
            "controls": self.controls,
            "heartbeat_interval_ms": 1500,
            "max_hold_ms": int(LIMITS["max_hold_ms"]),
            "late_s": 2.5,
            "grey_s": 5.0,
            "log": str(self.folder / "executors.jsonl"),
            **changes,
        }
        path = self.folder / f"{executor_id}.json"
        path.write_text(json.dumps(config))
        command = [sys.executable, str(HERE / "executor.py"), str(path)]
        process = Process(command, dict(os.environ), self.folder / f"{executor_id}.log")
        self.executors[machine] = process
        self._processes.append(process)
        process.start()
        self.note(f"executor {executor_id} starts on machine {machine}")
        return executor_id

    def read_events(self) -> list[dict[str, Any]]:
        """Return what the executors have started and ended."""
        path = self.folder / "executors.jsonl"
        lines = path.read_text(encoding="utf-8").splitlines() if path.exists() else []
        return [json.loads(line) for line in lines]

    def find_run(self, job: str, after: float) -> dict[str, Any] | None:
        """Return the newest start of a task of a job after a time, if nothing has ended since."""
        events = [
            event
            for event in self.read_events()
            if event.get("task", "").startswith(job) and event["at"] > after
        ]
        return events[-1] if events and events[-1]["what"] == "start" else None

    # Clients and the operator.

    def make_configuration(self, **route: Any) -> dict[str, Any]:
        """Return the next configuration, with one queue."""
        self.version += 1
        return {
            "version": self.version,
            "routes": [
                {
                    "name": "r-lab",
                    "host": HOST,
                    "path_prefix": PREFIX,
                    "kind": "non_idempotent",
                    "timeout_ms": 3000,
                    "target_latency_ms": 1000,
                    "priority": 1,
                    "service": SERVICE,
                    "max_attempts": 3,
                    "slack_factor": 2.2,
                    **route,
                }
            ],
            "services": [
                {
                    "name": SERVICE,
                    "health_path": "/healthz",
                    "max_connections": 64,
                    "protocol": "h1",
                    "tls": False,
                    "enforce_capacity": False,
                    "standby": False,
                }
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }

    async def configure(self, configuration: dict[str, Any], *, within_s: float = 30.0) -> None:
        """Send a configuration until it is acknowledged."""
        ends_at = time.monotonic() + within_s
        number = 0
        while time.monotonic() < ends_at:
            address = self.controls[number % len(self.controls)]
            number += 1
            try:
                status, _ = await request(
                    address, "POST", "/Config.Replace", configuration, timeout_s=1.0
                )
            except (OSError, TimeoutError):
                status = 0
            if status == 200:
                self.note(f"operator: version {configuration['version']} acknowledged")
                return
            await asyncio.sleep(0.2)
        raise CannotRunError("the configuration was not acknowledged")

    async def call(self, method: str, job: str, body: Any = None) -> tuple[int, Any]:
        """Send one call of a client; status 0 stands for no answer."""
        address = random.choice(self.clients)
        headers = {"Host": HOST, "X-Dewspindle-Deadline-Ms": "3000"}
        try:
            return await request(address, method, PREFIX + job, body, headers=headers)
        except (OSError, TimeoutError):
            return 0, None

    async def submit(self, body: dict[str, Any], *, within_s: float = 20.0) -> str:
        """Hand a job in until it is accepted, and return its id."""
        job = secrets.token_hex(8)
        ends_at = time.monotonic() + within_s
        while time.monotonic() < ends_at:
            status, _ = await self.call("POST", job, body)
            self.note(f"client: POST {job} -> {status}")
            if 200 <= status < 300:
                return job
            await asyncio.sleep(0.5)
        raise CannotRunError("a job was not accepted")

    async def wait_for(self, find: Any, *, within_s: float, step_s: float = 0.05) -> Any:
        """Return the first true value of a function, or None if there is none in time."""
        ends_at = time.monotonic() + within_s
        while time.monotonic() < ends_at:
            found = find()
            if found:
                return found
            await asyncio.sleep(step_s)
        return None

    def close(self) -> None:
        """End all processes, and remove the folder."""
        for process in self._processes:
            process.kill()
        for event in self.read_events():
            self._record.write(f"executor event {json.dumps(event)}\n")
        if os.environ.get("KEEP"):
            self._record.write(f"kept {self.folder.name}\n")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self._record.close()


def run_case(case: Path, play: Any, **options: Any) -> int:
    """Play a case; return 0 if the rule held, 1 if it was broken, 2 if it could not be played."""
    lab = Lab(case, **options)
    try:
        broken = asyncio.run(
            asyncio.wait_for(play(lab), float(os.environ.get("LAB_LIMIT_S", "110")))
        )
    except (CannotRunError, TimeoutError) as error:
        lab.note(f"cannot run: {error or 'too long'}")
        return 2
    else:
        for line in broken:
            lab.note(f"BROKEN {line}")
        lab.note(f"result: {'broken' if broken else 'held'}")
        return 1 if broken else 0
    finally:
        lab.close()
