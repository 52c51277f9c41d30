"""A cancelling is acknowledged with 200, and the job runs on to its end."""

import asyncio
import json
import sys
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.case import main
from standins.system import CLIENT_DEADLINE_S, System, make_config, make_route

EXECUTORS = 24
CLIENTS_PER_S = 27.7  # The rate of the site, all kinds of requests together.
LEAVING_SHARE = 0.35  # Of the clients, as on the site's day `scale-1`.
TARGET_MS = 250  # `target_latency_ms`, as of `price-check`.
PATIENCE_S = TARGET_MS / 1000 / 2  # Half the objective: a client without an answer then leaves.
KILLED_AT_S = (1.0, 6.0)
DOWN_S = 1.0  # The killed replica starts again after this time.
SENDING_S = 9.0
STEP_S = 10.0
CANCEL_S = 3.0  # `cancel_ms`
CONTACT_S = 3.0  # `contact_timeout_ms`
PREFIX = "/pule252/"


@dataclass
class Sent:
    """One client's job."""

    id: str
    accepted: bool = False
    cancelled_at: float | None = None  # When a DELETE was answered with 200.


def make_job() -> dict[str, object]:
    """Return a job of two steps, one after the other."""
    task = {"cpu": 1000, "mem_mb": 512, "count": 1, "estimate_ms": int(STEP_S * 1000)}
    return {"spec": json.dumps({"run_s": STEP_S}), "steps": [task, {**task, "depends_on": [0]}]}


async def act_as_client(system: System, sent: Sent, *, is_leaving: bool) -> None:
    """Hand a job in; a client that leaves cancels it after its answer or its patience."""
    path = PREFIX + sent.id
    # The platform chooses the node by a hash of the client, so both requests reach the same one.
    entry = system.rng.randrange(len(system.entries))
    patience_s = PATIENCE_S if is_leaving else CLIENT_DEADLINE_S
    status, _ = await system.request(
        "POST", path, body=make_job(), entry=entry, timeout_s=patience_s
    )
    sent.accepted = status == 200
    if not is_leaving:
        return
    for _ in range(20):
        status, _ = await system.request("DELETE", path, entry=entry)
        if status in (200, 410):
            sent.cancelled_at = system.record.now if status == 200 else None
            return
        await asyncio.sleep(0.2)


async def kill_leaders(system: System) -> None:
    """Kill the replica that leads, more than once, and start it again."""
    began_at = system.record.now
    for at in KILLED_AT_S:
        await asyncio.sleep(began_at + at - system.record.now)
        leader = system.find_leader()
        system.record.write(f"{leader.name}, which leads, is killed")
        leader.kill()
        await asyncio.sleep(DOWN_S)
        system.record.write(f"{leader.name} starts again")
        leader.start()


async def play(system: System, has_trouble: bool) -> list[str]:
    """Play the case and return the breaks of the rule."""
    routes = [make_route("r-price", PREFIX, attempts=3, priority=0, target_ms=TARGET_MS)]
    await system.start(executors=EXECUTORS, config=make_config(7, routes))
    jobs: list[Sent] = []
    began_at = system.record.now
    async with asyncio.TaskGroup() as group:
        if has_trouble:
            group.create_task(kill_leaders(system))
        while system.record.now < began_at + SENDING_S:
            jobs.append(Sent(system.make_job_id()))
            is_leaving = system.rng.random() < LEAVING_SHARE
            group.create_task(act_as_client(system, jobs[-1], is_leaving=is_leaving))
            await asyncio.sleep(1 / CLIENTS_PER_S)
    stable_at = began_at + KILLED_AT_S[-1] + DOWN_S + CONTACT_S + 0.2
    await asyncio.sleep(2 * STEP_S + 3)
    breaks = []
    for sent in jobs:
        if sent.cancelled_at is None:
            continue
        after = max(sent.cancelled_at + CANCEL_S, stable_at)
        late = [
            f"{start.task} at {start.at:.3f}"
            for start in system.fleet_log.starts
            if start.task.startswith(sent.id) and start.at > after
        ]
        if late:
            state = await system.get_state(PREFIX + sent.id)
            breaks.append(
                f"UNASKED: the cancelling of {sent.id} was acknowledged with 200 at "
                f"{sent.cancelled_at:.3f}; tasks start later than {CANCEL_S} s after it, in "
                f"steady state: {', '.join(late)}; the job is shown as {state}"
            )
    acknowledged = sum(sent.cancelled_at is not None for sent in jobs)
    system.record.conclude(
        f"{len(jobs)} jobs, {sum(sent.accepted for sent in jobs)} answered with 200; "
        f"{acknowledged} cancels answered with 200; {len(breaks)} of these jobs ran on"
    )
    return breaks


if __name__ == "__main__":
    main(__file__, play)
