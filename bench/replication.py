"""Changes per second, failover time, restart time and idle cost of a cell.

Usage: python -m bench.replication
"""

import time
import uuid
from functools import partial
from typing import Any

import anyio

from dewspindle._internal.exceptions import ServerUnreachableError
from dewspindle._internal.network.json_client import JsonClient

from .processes import TOKEN, ProcessCell, ProcessInstance
from .results import print_measurement, summarize_ms

CHANGE_DURATION_S = 4.0
CONCURRENCIES = (1, 16, 128)
LEADER_KILLS = 8
IDLE_DURATION_S = 10.0
IN_FORCE_CHANGES = 60


async def put_config(instance: ProcessInstance, revision: int, *, wait: bool = False) -> int:
    """Change the scheduling configuration; return the new revision, or 0 if it was refused."""
    answer = await instance.operator.request(
        "PUT",
        "/v1/config/scheduling" + ("?wait=in-force" if wait else ""),
        body={"objective": "waiting"},
        headers={"If-Match": f'"{revision}"', "Idempotency-Key": uuid.uuid4().hex},
    )
    return int(answer.body["revision"]) if answer.status == 200 else 0


def make_record() -> dict[str, Any]:
    """Return a record that keeps waiting, as there are no workers."""
    return {
        "schema_version": 2,
        "name": "bench",
        "team": "bench",
        "kind": "batch",
        "resources": {"processors": 100, "memory_mb": 100},
    }


async def submit(client: JsonClient) -> None:
    """Submit one record."""
    answer = await client.request(
        "POST",
        "/v1/records",
        body=make_record(),
        headers={"Idempotency-Key": uuid.uuid4().hex},
    )
    assert answer.status == 201, answer


async def measure_changes(instance: ProcessInstance, concurrency: int) -> dict[str, float]:
    """Return the rate and latency of record submissions by concurrent clients."""
    durations: list[float] = []
    deadline = time.perf_counter() + CHANGE_DURATION_S

    async def change() -> None:
        # One client per caller: the cost of a client's pool grows with its connections.
        client = JsonClient(instance.operator_address, token=TOKEN, max_connections=1)
        while time.perf_counter() < deadline:
            started = time.perf_counter()
            await submit(client)
            durations.append(time.perf_counter() - started)
        await client.close()

    async with anyio.create_task_group() as group:
        for _ in range(concurrency):
            group.start_soon(change)
    return {"per_s": round(len(durations) / CHANGE_DURATION_S), **summarize_ms(durations)}


async def measure_in_force(cell: ProcessCell) -> dict[str, float]:
    """Return how long changes take to be in force, that is, applied by every ready instance."""
    instance = cell.instances[-1]
    revision = 0
    durations = []
    for _ in range(IN_FORCE_CHANGES):
        started = time.perf_counter()
        revision = await put_config(instance, revision, wait=True)
        durations.append(time.perf_counter() - started)
    return summarize_ms(durations)


async def measure_failover(cell: ProcessCell) -> float:
    """Kill the leader; return how long it takes until another instance can commit a change.

    Printed as `leaderless`.
    """
    leader = await cell.find_leader()
    other = next(i for i in cell.instances if i is not leader)
    await leader.kill()
    started = time.perf_counter()
    while True:
        try:
            await submit(other.operator)
            break
        except (AssertionError, ServerUnreachableError):
            await anyio.sleep(0.01)
    elapsed_s = time.perf_counter() - started
    await leader.start()
    await cell.wait_until_ready()
    return elapsed_s


async def measure_idle(cell: ProcessCell) -> dict[str, Any]:
    """Return the processor and memory use of idle instances."""
    leader = await cell.find_leader()
    before = {i.name: i.read_cpu_s() for i in cell.instances}
    await anyio.sleep(IDLE_DURATION_S)
    return {
        i.name: {
            "role": "leader" if i is leader else "other",
            "core_percent": round((i.read_cpu_s() - before[i.name]) / IDLE_DURATION_S * 100, 2),
            "memory_mb": round(i.read_memory_mb(), 1),
        }
        for i in cell.instances
    }


async def measure_cell(replicas: int) -> None:
    """Print the results of a cell with `replicas` replicas."""
    async with ProcessCell(size=replicas, replicas=replicas) as cell:
        print_measurement("idle", {"replicas": replicas, "instances": await measure_idle(cell)})
        leader = await cell.find_leader()
        for concurrency in CONCURRENCIES:
            results = await measure_changes(leader, concurrency)
            print_measurement("changes", {"replicas": replicas, "at_once": concurrency, **results})
        failover_times = [await measure_failover(cell) for _ in range(LEADER_KILLS)]
        print_measurement(
            "leaderless",
            {"replicas": replicas, "kills": LEADER_KILLS, **summarize_ms(failover_times)},
        )


async def measure_in_force_cell() -> None:
    """Print how long a configuration takes to be in force in a cell of eight instances."""
    async with ProcessCell(size=8, replicas=3) as cell:
        print_measurement("in_force", {"instances": 8, **await measure_in_force(cell)})
        print_measurement("idle", {"replicas": 3, "instances": await measure_idle(cell)})


async def measure_restart(entries: int) -> None:
    """Print how long a replica with `entries` log entries takes to restart."""
    async with ProcessCell(size=1, replicas=1) as cell:
        instance = cell.instances[0]
        written = 0

        async def write_entries(count: int) -> None:
            nonlocal written
            for _ in range(count):
                # Only the first change is accepted, but a refused one is a log entry, too.
                await put_config(instance, 0)
                written += 1

        async with anyio.create_task_group() as group:
            for _ in range(100):
                group.start_soon(write_entries, entries // 100)
        await instance.kill()
        started = time.perf_counter()
        await instance.start()
        await cell.wait_until_ready()
        elapsed_s = time.perf_counter() - started
        print_measurement("restart", {"entries": entries, "seconds": round(elapsed_s, 3)})


async def main() -> None:
    """Print all results."""
    for replicas in (3, 5):
        await measure_cell(replicas)
    await measure_in_force_cell()
    for entries in (1000, 10_000, 100_000):
        await measure_restart(entries)


if __name__ == "__main__":
    anyio.run(partial(main))
