"""One task that lasts fails once, and is never started again, though its executor has room."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.case import main
from standins.system import System, make_config, make_route

EXECUTORS = 12
COPIES = 2 * EXECUTORS - 1  # Two fit on each executor, so one executor has room for another.
WAIT_S = 30.0  # The rule gives 6 s since the last run, 4 s of calm, and 3 s.


def make_service() -> dict[str, object]:
    """Return a job with tasks that last and take half an executor each."""
    step = {"count": COPIES, "cpu": 16000, "mem_mb": 65536, "long_running": True}
    return {"spec": json.dumps({"run_s": 0}), "steps": [step]}


def list_running(system: System) -> list[str]:
    """Return the tasks that run."""
    return [task for machine in system.machines for task in machine.running]


async def play(system: System, has_trouble: bool) -> list[str]:
    """Play the case and return the breaks of the rule."""
    routes = [make_route("r-service", "/lohu930/", attempts=2)]
    await system.start(executors=EXECUTORS, config=make_config(7, routes))
    path = await system.submit("/lohu930/", make_service())
    for _ in range(50):
        await asyncio.sleep(0.2)
        if len(list_running(system)) == COPIES:
            break
    else:
        return [f"before any trouble, only {len(list_running(system))} tasks run"]
    await asyncio.sleep(3)
    machine = next(machine for machine in system.machines if len(machine.running) == 1)
    task = machine.running[0]
    failed_at = system.record.now
    if has_trouble and machine.executor is not None:
        machine.executor.fail(task)
    await asyncio.sleep(WAIT_S)
    counts = [len(machine.running) for machine in system.machines]
    state = await system.get_state(path)
    starts = [s for s in system.fleet_log.starts if s.task == task and s.at > failed_at]
    system.record.conclude(
        f"{path} is shown as {state}; tasks by executor {counts}, where each holds 2; {task} "
        f"was started {len(starts)} times after its failure"
    )
    if task in list_running(system):
        return []
    return [
        f"LOST: {task} lasts and failed once; {system.record.now - failed_at:.0f} s later, without "
        f"any other event, it does not run, and executor {machine.number} has room for "
        f"{2 - counts[machine.number]} such tasks"
    ]


if __name__ == "__main__":
    main(__file__, play)
