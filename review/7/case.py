"""One heartbeat of another writer, whose id cannot be read, arrives at the core."""

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
    make_job_id,
    prepare,
    run_case,
)

WATCH_S = 40.0
MIN_ENDS = 3  # Of one machine, as in the rule, on half of the core.
UNREADABLE_ID = "i-7f3a%0091c2"  # With a zero byte.


async def play(record: Record) -> bool:
    """Return whether the rule held."""
    system = System(record, cores=5, entries=2)
    executors = [Executor(system, number=n, run_s=lambda _: 3.0) for n in range(8)]
    try:
        await prepare(system, executors)
        return await disturb(system, executors, record)
    finally:
        await system.stop()


async def disturb(system: System, executors: list[Executor], record: Record) -> bool:
    """Send the heartbeat, then ask for an accepted job and count processes that end.

    The rule is broken if processes end by themselves three times on half of the core.
    """
    job = make_job_id()
    step = {"count": 4, "cpu": 1000, "mem_mb": 256, "estimate_ms": 3000}
    if not await system.submit(job, {"spec": "text", "steps": [step]}):
        raise UnableError("the job was not accepted")
    await asyncio.sleep(1.0)
    beat = {
        "service": "unnamed",
        "address": executors[0].address,
        "zone": "zone-a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_remaining_ms": 0,
        "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
        "labels": ["a", "r1-3"],
        "clock_ms": 482113,
        "sequence": 4,
    }
    writer_id = UNREADABLE_ID if is_troubled() else "i-7f3a91c2"
    status, answer = await system.call_control("POST", f"/Instances.Heartbeat/{writer_id}", beat)
    record.write(f"heartbeat of {writer_id} -> {status} {answer}")
    answers = []
    for _ in range(int(WATCH_S / 4)):
        await asyncio.sleep(1.0)
        status, answer = await system.call_client("GET", job)
        answers.append(answer["state"] if status == 200 else None)
    record.write(f"answers about the job: {answers}")
    for program in system.cores:
        record.write(f"{program.name} ended by itself {len(program.exits)} times")
        lines = [line for line in program.read_log().splitlines() if "Error" in line]
        record.write(f"{program.name}: {lines[-1:]}")
    ended = [program for program in system.cores if len(program.exits) >= MIN_ENDS]
    return 2 * len(ended) < len(system.cores)


if __name__ == "__main__":
    run_case(FOLDER, play, seconds=115)
