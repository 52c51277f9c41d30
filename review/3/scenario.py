"""Tasks of an executor that leaves are started elsewhere while they still run on it."""

import asyncio
import json
import sys
from itertools import pairwise
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.case import main
from standins.leaving import LeavingMachine
from standins.system import System, find_free_ports, make_config, make_route

OTHERS = 15  # With the one that leaves, 16 executors.
ESTIMATE_S = 5.0
RUN_S = 12.0  # Of one job: 10 s of work at a speed of 0.8. Its estimate is rough.
DRAINS_AFTER_S = 2.2  # Counted from the start of its first task.
REMAINING_MS = 3000  # `drain_timeout_ms` is 2000, and "a little longer".
LEAVES_AFTER_S = 2.9  # Counted from the acknowledgement of `draining`.
CUT_BEFORE_S = 0.2
CUT_S = 5.5


def make_job(run_s: float) -> dict[str, object]:
    """Return a job whose tasks fill an executor."""
    step = {"count": 4, "cpu": 8000, "mem_mb": 4096, "estimate_ms": int(ESTIMATE_S * 1000)}
    return {"spec": json.dumps({"run_s": run_s}), "steps": [step]}


def find_overlaps(system: System) -> list[str]:
    """Return the tasks of which two runs were under way at the same time."""
    runs: dict[str, list[tuple[float, float, int, int]]] = {}
    log = system.fleet_log
    for start in log.starts:
        ended_at = log.ended_at.get((start.task, start.attempt), system.record.now)
        runs.setdefault(start.task, []).append((start.at, ended_at, start.attempt, start.machine))
    breaks = []
    for task, spans in sorted(runs.items()):
        spans.sort()
        for before, after in pairwise(spans):
            if after[0] < before[1]:
                breaks.append(
                    f"TWICE: run {after[2]} of {task} starts on machine {after[3]} at "
                    f"{after[0]:.3f}; run {before[2]} is under way on machine {before[3]} "
                    f"until {before[1]:.3f}"
                )
    return breaks


async def play(system: System, has_trouble: bool) -> list[str]:
    """Play the case and return the breaks of the rule."""
    routes = [make_route("r-photo", "/pufi791/", attempts=4)]
    await system.start(executors=OTHERS, config=make_config(7, routes))
    port = find_free_ports(system.fleet_host, 1)[0]
    leaving = system.make_machine(LeavingMachine, OTHERS, port)
    system.machines.append(leaving)
    await leaving.start()
    await leaving.wait_until_called()
    await asyncio.sleep(2)
    for _ in range(OTHERS):
        await system.submit("/pufi791/", make_job(ESTIMATE_S))
    await system.submit("/pufi791/", make_job(RUN_S))
    for _ in range(50):
        if leaving.running:
            break
        await asyncio.sleep(0.1)
    else:
        return ["before any trouble, the executor gets no task"]
    await asyncio.sleep(DRAINS_AFTER_S)
    await leaving.drain(REMAINING_MS)
    await asyncio.sleep(LEAVES_AFTER_S - CUT_BEFORE_S)
    if has_trouble:
        leaving.cut_off(for_s=CUT_S)
    await asyncio.sleep(CUT_BEFORE_S)
    await leaving.leave()
    await asyncio.sleep(RUN_S + 4)
    return find_overlaps(system)


if __name__ == "__main__":
    main(__file__, play)
