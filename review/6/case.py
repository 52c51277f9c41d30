"""A machine of the core is replaced; later two others lose their disks."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness2"))

from harness import (  # noqa: E402
    Executor,
    Record,
    System,
    UnableError,
    is_troubled,
    make_config,
    make_job_id,
    prepare,
    run_case,
)

SUCCESSOR_DELAY_S = 0.2  # `replace_core`: an empty machine comes `x` s (1) later.
# `catch_up_s` (4) and `contact_timeout_ms` (3,000): then the removed machine has stopped counting,
# the core is stable, and two others may be lost. The bench waits as long.
AFTER_START_S = 7.0
DOWN_S = 1.0
RECOVERY_S = 12.0
FINISH_S = 14.0


async def play(record: Record) -> bool:
    """Return whether the rule held."""
    system = System(record, cores=5, entries=2, spares=1)
    executors = [Executor(system, number=n, run_s=lambda _: 0.5) for n in range(8)]
    try:
        await prepare(system, executors)
        return await disturb(system, record)
    finally:
        await system.stop()


async def disturb(system: System, record: Record) -> bool:
    """Play the disruption and check what was acknowledged."""
    gone = system.cores[-1]
    record.write(f"{gone.name} is killed and removed for good")
    await gone.kill(wipe=True)
    await asyncio.sleep(SUCCESSOR_DELAY_S)
    successor = system.spare_cores[0]
    await successor.start()
    record.write(f"{successor.name} starts with an empty disk at another address")
    system.cores.remove(gone)
    await asyncio.sleep(AFTER_START_S)
    job = make_job_id()
    if not await system.submit(job, make_job()):
        raise UnableError("the job was not accepted")
    if not await system.put_config(make_config(2), seconds=4):
        raise UnableError("the change was not acknowledged")
    if is_troubled():
        lost = system.cores[:2]
        record.write(f"{lost[0].name} and {lost[1].name} lose power and their disks")
        await asyncio.gather(*(program.kill(wipe=True) for program in lost))
        await asyncio.sleep(DOWN_S)
        for program in lost:
            await program.start()
        record.write("both are back, with empty disks")
    await asyncio.sleep(RECOVERY_S)
    version = await system.read_config(seconds=FINISH_S)
    status, answer = await system.call_client("GET", job)
    for program in (*system.cores, successor):
        tail = [line for line in program.read_log().splitlines() if "lead" in line][-1:]
        record.write(f"{program.name}: {tail}")
    return version == 2 and status == 200 and answer["state"] == "completed"


def make_job() -> dict[str, object]:
    """Return a job of one short task."""
    step = {"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 500}
    return {"spec": "text", "steps": [step]}


if __name__ == "__main__":
    run_case(FOLDER, play, seconds=110)
