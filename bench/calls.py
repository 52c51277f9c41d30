"""Latency of calls routed through an instance, compared with direct calls.

Usage: python -m bench.calls
"""

import time
from typing import Any

import anyio

from dewspindle._internal.network.json_client import JsonClient

from .processes import ProcessCell
from .results import print_measurement, summarize_ms
from .standins import start_backends

SLOTS = 8  # Of each backend server.
DURATION_S = 5.0


async def measure_latency(path: str, address: str, *, concurrency: int) -> dict[str, Any]:
    """Return the rate and latency of sequential calls from concurrent callers."""
    durations: list[float] = []
    deadline = time.perf_counter() + DURATION_S

    async def call() -> None:
        client = JsonClient(address, max_connections=1)
        while time.perf_counter() < deadline:
            started = time.perf_counter()
            answer = await client.request("GET", path)
            assert answer.status == 200, answer
            durations.append(time.perf_counter() - started)
        await client.close()

    async with anyio.create_task_group() as group:
        for _ in range(concurrency):
            group.start_soon(call)
    return {"per_s": round(len(durations) / DURATION_S), **summarize_ms(durations)}


async def main() -> None:
    """Print the results."""
    async with ProcessCell(size=1, replicas=1) as cell, anyio.create_task_group() as group:
        backends = await start_backends(group, cell, count=2, slots=SLOTS, service_time_s=0.0)
        instance = cell.instances[0]
        direct_address = backends[0].address
        for concurrency in (1, 4, 8):
            cpu_s = instance.read_cpu_s()
            routed = await measure_latency(
                "/call/bench/x", instance.http_address, concurrency=concurrency
            )
            cpu_s = instance.read_cpu_s() - cpu_s
            direct = await measure_latency("/x", direct_address, concurrency=concurrency)
            print_measurement(
                "call_latency",
                {
                    "at_once": concurrency,
                    "routed": routed,
                    "direct": direct,
                    "added_p50_ms": round(routed["p50_ms"] - direct["p50_ms"], 3),
                    "added_p99_ms": round(routed["p99_ms"] - direct["p99_ms"], 3),
                    "core_ms_per_call": round(cpu_s / (routed["per_s"] * DURATION_S) * 1000, 3),
                },
            )
        print_measurement("memory", {"instance_mb": round(instance.read_memory_mb(), 1)})
        group.cancel_scope.cancel()


if __name__ == "__main__":
    anyio.run(main)
