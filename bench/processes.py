"""Cells of real instance processes on the loopback interface, for measurements."""

import asyncio
import os
import signal
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType

import anyio

from dewspindle._internal.exceptions import ServerUnreachableError
from dewspindle._internal.network.json_client import JsonClient
from dewspindle._internal.utils.local_ports import reserve_address

TOKEN = "bench"
READY_TIMEOUT_S = 30.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass(slots=True)
class ProcessInstance:
    """One `dewspindle serve` process."""

    name: str
    http_address: str
    operator_address: str
    peer_address: str
    arguments: list[str]
    process: asyncio.subprocess.Process | None = None
    operator: JsonClient = field(init=False)

    def __post_init__(self) -> None:
        self.operator = JsonClient(self.operator_address, token=TOKEN, max_connections=256)

    @property
    def pid(self) -> int:
        """Return the process id."""
        assert self.process is not None
        return self.process.pid

    def read_cpu_s(self) -> float:
        """Return the processor time used so far, in seconds."""
        # User and system time, fields 14 and 15; the fields after the command start at 3.
        fields = Path(f"/proc/{self.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S

    def read_memory_mb(self) -> float:
        """Return the resident memory, in megabytes."""
        pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        return pages * PAGE_BYTES / 1e6

    async def start(self) -> None:
        """Start the process."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "dewspindle",
            "serve",
            *self.arguments,
            stderr=asyncio.subprocess.DEVNULL,
        )

    async def kill(self) -> None:
        """Kill the process and wait for its exit."""
        assert self.process is not None
        self.process.kill()
        await self.process.wait()

    async def terminate(self) -> None:
        """Stop the process gracefully and wait for its exit."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
            await self.process.wait()


class ProcessCell:
    """A cell of several processes; the first `replicas` ones have a data folder."""

    def __init__(self, *, size: int, replicas: int, flags: dict[str, str] | None = None) -> None:
        self._directory = tempfile.TemporaryDirectory(prefix="dewspindle-bench-")
        peer_addresses = [reserve_address() for _ in range(size)]
        peers = ",".join(f"i{n}@{peer_addresses[n]}" for n in range(replicas))
        self.instances = [
            self._make_instance(n, peer_addresses[n], peers, n < replicas, flags or {})
            for n in range(size)
        ]

    def _make_instance(
        self, number: int, peer_address: str, peers: str, is_replica: bool, flags: dict[str, str]
    ) -> ProcessInstance:
        http_address, operator_address = reserve_address(), reserve_address()
        settings = {
            "instance-id": f"i{number}",
            "availability-zone": f"zone-{number % 3}",
            "http-address": http_address,
            "operator-address": operator_address,
            "peer-address": peer_address,
            "peers": peers,
            "operator-token": TOKEN,
            "log-level": "warning",
            "ready-delay-ms": "300",
            **flags,
        }
        if is_replica:
            settings["data-dir"] = f"{self._directory.name}/i{number}"
        arguments = [part for key, value in settings.items() for part in (f"--{key}", value)]
        return ProcessInstance(
            f"i{number}", http_address, operator_address, peer_address, arguments
        )

    async def __aenter__(self) -> "ProcessCell":
        for instance in self.instances:
            await instance.start()
        await self.wait_until_ready()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for instance in self.instances:
            if instance.process is not None and instance.process.returncode is None:
                instance.process.kill()
                await instance.process.wait()
        self._directory.cleanup()

    async def wait_until_ready(self) -> None:
        """Wait until every instance is ready."""
        with anyio.fail_after(READY_TIMEOUT_S):
            for instance in self.instances:
                while not await self.is_ready(instance):
                    await anyio.sleep(0.05)

    async def is_ready(self, instance: ProcessInstance) -> bool:
        """Return whether an instance is ready."""
        try:
            return (await instance.operator.request("GET", "/readyz", timeout_s=2)).status == 200
        except ServerUnreachableError:
            return False

    async def find_leader(self) -> ProcessInstance:
        """Wait for a running leader and return it."""
        with anyio.fail_after(READY_TIMEOUT_S):
            while True:
                for instance in self.instances:
                    if instance.process is None or instance.process.returncode is not None:
                        continue
                    status = await instance.operator.request("GET", "/v1/status")
                    for other in self.instances:
                        is_alive = other.process and other.process.returncode is None
                        if other.name == status.body["leader"] and is_alive:
                            return other
                await anyio.sleep(0.05)
