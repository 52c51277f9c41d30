"""Start latency of urgent tasks on a fleet full of low-priority tasks, with real processes.

Usage: python -m bench.urgent
"""

import time

import anyio

from .processes import ProcessCell
from .results import print_measurement, summarize_ms
from .standins import start_workers, wait_for_workers
from .starts import make_record, submit

WORKERS = 24
FILL_TASKS = 3072  # 128 tasks of 250 millicores on each worker.
FILL_RUN_S = 120.0
URGENT_TASKS = 40
LATENCY_BOUND_MS = 1100


async def main() -> None:
    """Print the results."""
    async with ProcessCell(size=3, replicas=3) as cell, anyio.create_task_group() as group:
        workers = start_workers(group, cell, count=WORKERS, zones=3)
        await wait_for_workers(cell, WORKERS)
        for _ in range(FILL_TASKS // 128):
            await submit(cell, make_record(128, run_s=FILL_RUN_S, priority="low"))
        while sum(worker.started for worker in workers) < FILL_TASKS:
            await anyio.sleep(0.05)
        durations = []
        for _ in range(URGENT_TASKS):
            started_before = sum(worker.started for worker in workers)
            started = time.perf_counter()
            await submit(cell, make_record(1, run_s=30.0, priority="urgent"))
            while sum(worker.started for worker in workers) == started_before:
                await anyio.sleep(0.002)
            durations.append(time.perf_counter() - started)
            await anyio.sleep(0.2)
        results = summarize_ms(durations)
        print_measurement(
            "urgent",
            {"workers": WORKERS, "urgent": URGENT_TASKS, "bound_ms": LATENCY_BOUND_MS, **results},
        )
        group.cancel_scope.cancel()


if __name__ == "__main__":
    anyio.run(main)
