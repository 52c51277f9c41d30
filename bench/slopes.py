"""Cost of each role at three or more sizes, for docs/CAPACITY.md.

Usage: python -m bench.slopes > docs/measurements/slopes.jsonl
"""

import time
import uuid
from pathlib import Path
from typing import Any

import anyio

from dewspindle._internal.network.json_client import JsonClient

from .processes import ProcessCell, ProcessInstance
from .replication import put_config
from .results import print_measurement
from .scheduling_state import BenchState
from .standins import start_backends, start_workers, wait_for_workers
from .starts import make_record, submit

WORKER_SIZES = (60, 240, 480, 960)
START_SIZES = (400, 1200, 2400)
RECORD_SIZES = (1000, 3000, 9000)
BACKEND_SIZES = (24, 96, 192)
CHANGE_SIZES = (100, 300, 600)
CALL_SIZES = (400, 1200, 2400)
SETTLE_S = 3.0
IDLE_DURATION_S = 8.0


def read_loopback_bytes() -> int:
    """Return the bytes received so far on the loopback interface."""
    for line in Path("/proc/net/dev").read_text().splitlines():
        name, _, rest = line.partition(":")
        if name.strip() == "lo":
            return int(rest.split()[0])
    raise AssertionError("/proc/net/dev does not list the loopback interface")


class ResourceUsage:
    """Processor time, memory and loopback bytes of a cell."""

    def __init__(self, cell: ProcessCell, leader: ProcessInstance) -> None:
        self._cell = cell
        self._leader = leader
        self._cpu_s = {i.name: i.read_cpu_s() for i in cell.instances}
        self._bytes = read_loopback_bytes()
        self._started_at = time.perf_counter()

    def read(self) -> dict[str, float]:
        """Return the usage since construction and the current memory of the leader."""
        cpu_s = {i.name: i.read_cpu_s() - self._cpu_s[i.name] for i in self._cell.instances}
        others = [cpu_s[i.name] for i in self._cell.instances if i is not self._leader]
        return {
            "seconds": round(time.perf_counter() - self._started_at, 3),
            "leader_cpu_s": round(cpu_s[self._leader.name], 3),
            "other_cpu_s": round(sum(others) / len(others), 3),
            "loopback_bytes": read_loopback_bytes() - self._bytes,
            "leader_memory_mb": round(self._leader.read_memory_mb(), 1),
        }


async def measure_workers(size: int) -> None:
    """Print the cost of idle workers: held polls, leases and relays."""
    async with ProcessCell(size=3, replicas=3) as cell, anyio.create_task_group() as group:
        start_workers(group, cell, count=size, zones=8)
        await wait_for_workers(cell, size)
        leader = await cell.find_leader()
        await anyio.sleep(SETTLE_S)
        usage = ResourceUsage(cell, leader)
        await anyio.sleep(IDLE_DURATION_S)
        print_measurement("slope", {"of": "workers", "size": size, **usage.read()})
        group.cancel_scope.cancel()


async def measure_starts(cell: ProcessCell, workers: list[Any], size: int) -> None:
    """Print the cost of starting, running and ending tasks, in records of 40 tasks."""
    leader = await cell.find_leader()
    started_before = sum(worker.started for worker in workers)
    usage = ResourceUsage(cell, leader)
    for _ in range(size // 40):
        await submit(cell, make_record(40, run_s=0.1))
        await anyio.sleep(0.04)
    while sum(worker.started for worker in workers) - started_before < size // 40 * 40:
        await anyio.sleep(0.01)
    await anyio.sleep(1.0)  # Until the last tasks have ended.
    print_measurement("slope", {"of": "starts", "size": size // 40 * 40, **usage.read()})


async def measure_changes(cell: ProcessCell, size: int) -> None:
    """Print the cost of configuration changes."""
    leader = await cell.find_leader()
    answer = await cell.instances[0].operator.request("GET", "/v1/config")
    revisions = [config["revision"] for config in answer.body["config"]]
    revision = max(revisions, default=0)
    usage = ResourceUsage(cell, leader)
    for _ in range(size):
        revision = await put_config(cell.instances[0], revision)
    print_measurement("slope", {"of": "config changes", "size": size, **usage.read()})


async def measure_backends(size: int) -> None:
    """Print the cost of backend announcements."""
    async with ProcessCell(size=3, replicas=3) as cell, anyio.create_task_group() as group:
        await start_backends(group, cell, count=size, slots=8, service_time_s=0.0)
        leader = await cell.find_leader()
        await anyio.sleep(SETTLE_S)
        usage = ResourceUsage(cell, leader)
        await anyio.sleep(IDLE_DURATION_S)
        print_measurement("slope", {"of": "backend servers", "size": size, **usage.read()})
        group.cancel_scope.cancel()


async def measure_calls(cell: ProcessCell, size: int, *, is_claimed: bool) -> None:
    """Print the cost of calls through an instance that is not the leader.

    A claimed call has an idempotency key and is not repeatable; the leader commits its claim.
    """
    leader = await cell.find_leader()
    entry = next(i for i in cell.instances if i is not leader)
    client = JsonClient(entry.http_address, max_connections=1)
    cpu_s = entry.read_cpu_s()
    usage = ResourceUsage(cell, leader)
    headers = {"Dewspindle-Repeatable": "no" if is_claimed else "yes"}
    for number in range(size):
        if is_claimed:
            headers["Idempotency-Key"] = uuid.uuid4().hex
        answer = await client.request("POST", f"/call/bench/{number}", headers=headers)
        assert answer.status == 200, answer
    await client.close()
    results = {**usage.read(), "entry_cpu_s": round(entry.read_cpu_s() - cpu_s, 3)}
    print_measurement(
        "slope", {"of": "claimed calls" if is_claimed else "calls", "size": size, **results}
    )


def measure_state(size: int) -> None:
    """Print the state size of `size` records of ten tasks each."""
    bench = BenchState()
    bench.add_workers(24, zones=3)
    empty = len(bench.state.serialize())
    for _ in range(size):
        bench.submit(10)
    started = time.perf_counter()
    data = bench.state.serialize()
    elapsed_s = time.perf_counter() - started
    print_measurement(
        "slope",
        {
            "of": "records in the state",
            "size": size,
            "bytes": len(data) - empty,
            "serialize_s": round(elapsed_s, 4),
        },
    )


def measure_worker_state(size: int) -> None:
    """Print the state size of `size` workers."""
    bench = BenchState()
    bench.add_workers(size, zones=8)
    print_measurement(
        "slope",
        {"of": "workers in the state", "size": size, "bytes": len(bench.state.serialize())},
    )


async def measure_busy_cell() -> None:
    """Print the points of task starts and configuration changes."""
    async with ProcessCell(size=3, replicas=3) as cell, anyio.create_task_group() as group:
        workers = start_workers(group, cell, count=48, zones=8)
        await wait_for_workers(cell, 48)
        await anyio.sleep(SETTLE_S)
        leader = await cell.find_leader()
        usage = ResourceUsage(cell, leader)
        await anyio.sleep(IDLE_DURATION_S)
        print_measurement("slope", {"of": "starts", "size": 0, **usage.read()})
        for size in START_SIZES:
            await measure_starts(cell, workers, size)
        group.cancel_scope.cancel()
    async with ProcessCell(size=3, replicas=3) as cell:
        for size in CHANGE_SIZES:
            await measure_changes(cell, size)


async def measure_call_cell() -> None:
    """Print the points of calls and claimed calls."""
    async with ProcessCell(size=3, replicas=3) as cell, anyio.create_task_group() as group:
        await start_backends(group, cell, count=2, slots=8, service_time_s=0.0)
        for size in CALL_SIZES:
            await measure_calls(cell, size, is_claimed=False)
        for size in CALL_SIZES:
            await measure_calls(cell, size // 4, is_claimed=True)
        group.cancel_scope.cancel()


async def main() -> None:
    """Print the points of all slopes."""
    for size in RECORD_SIZES:
        measure_state(size)
    for size in WORKER_SIZES:
        measure_worker_state(size)
    await measure_busy_cell()
    await measure_call_cell()
    for size in BACKEND_SIZES:
        await measure_backends(size)
    for size in WORKER_SIZES:
        await measure_workers(size)


if __name__ == "__main__":
    anyio.run(main)
