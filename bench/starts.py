"""Task starts per second, with durable commits, on stand-in workers over loopback.

Usage: python -m bench.starts [WORKERS]
"""

import sys
import time
import uuid
from typing import Any

import anyio

from dewspindle._internal.models.enums import Objective
from dewspindle._internal.standins.worker import StandInWorker

from .processes import ProcessCell
from .results import print_measurement, summarize_ms
from .standins import start_workers, wait_for_workers

RECORDS = 40
TASKS_PER_RECORD = 50
SINGLE_STARTS = 60


def make_record(tasks: int, *, run_s: float, priority: str = "normal") -> dict[str, Any]:
    """Return a batch record whose tasks run for `run_s`."""
    return {
        "schema_version": 2,
        "name": f"bench-{run_s}",
        "team": "bench",
        "kind": "batch",
        "priority": priority,
        "tasks": tasks,
        "resources": {"processors": 250, "memory_mb": 256},
        "command": ["sleep", str(run_s)],
    }


async def submit(cell: ProcessCell, document: dict[str, Any]) -> str:
    """Submit a record and return its id."""
    answer = await cell.instances[-1].operator.request(
        "POST", "/v1/records", body=document, headers={"Idempotency-Key": uuid.uuid4().hex}
    )
    assert answer.status == 201, answer
    return str(answer.body["id"])


async def measure_burst(cell: ProcessCell, workers: list[StandInWorker]) -> dict[str, Any]:
    """Submit many tasks at once; return the rate at which the workers started them."""
    started_before = sum(worker.started for worker in workers)
    cpu_s_before = [instance.read_cpu_s() for instance in cell.instances]
    started = time.perf_counter()
    async with anyio.create_task_group() as group:
        for _ in range(RECORDS):
            group.start_soon(submit, cell, make_record(TASKS_PER_RECORD, run_s=0.2))
    total = RECORDS * TASKS_PER_RECORD
    while sum(worker.started for worker in workers) - started_before < total:
        await anyio.sleep(0.01)
    elapsed_s = time.perf_counter() - started
    cpu_s = [i.read_cpu_s() - b for i, b in zip(cell.instances, cpu_s_before, strict=True)]
    return {
        "starts": total,
        "per_s": round(total / elapsed_s),
        "core_ms_per_start": round(sum(cpu_s) / total * 1000, 3),
    }


async def measure_single(cell: ProcessCell, workers: list[StandInWorker]) -> dict[str, float]:
    """Return the latency from submission to start of single tasks on an idle fleet."""
    durations = []
    for _ in range(SINGLE_STARTS):
        started_before = sum(worker.started for worker in workers)
        started = time.perf_counter()
        await submit(cell, make_record(1, run_s=0.05))
        while sum(worker.started for worker in workers) == started_before:
            await anyio.sleep(0.001)
        durations.append(time.perf_counter() - started)
        await anyio.sleep(0.1)
    return summarize_ms(durations)


async def main() -> None:
    """Print the results."""
    count = int(sys.argv[1]) if len(sys.argv) > 1 else 24
    objective = Objective.WAITING.value  # The default.
    async with ProcessCell(size=3, replicas=3) as cell, anyio.create_task_group() as group:
        workers = start_workers(group, cell, count=count, zones=3)
        await wait_for_workers(cell, count)
        single = await measure_single(cell, workers)
        burst = await measure_burst(cell, workers)
        print_measurement(
            "starts",
            {"workers": count, "objective": objective, "submit_to_start": single, "burst": burst},
        )
        group.cancel_scope.cancel()


if __name__ == "__main__":
    anyio.run(main)
