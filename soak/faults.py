"""The kinds of faults, each injected from outside the programs and taken back."""

import random
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any

import anyio

if TYPE_CHECKING:
    from .runs import SoakRun

Fault = Callable[["SoakRun", random.Random], Coroutine[Any, Any, None]]
FAULTS: dict[str, Fault] = {}


def injects(name: str) -> Callable[[Fault], Fault]:
    """Register a kind of fault."""

    def register(fault: Fault) -> Fault:
        FAULTS[name] = fault
        return fault

    return register


@injects("replica-kill")
async def kill_replica(run: "SoakRun", chance: random.Random) -> None:
    """Kill a replica and start it again."""
    async with run.lose_replica(chance) as program:
        if program is not None:
            await program.kill()
            await anyio.sleep(chance.uniform(0.0, 3.0))
            await program.start()


@injects("replica-wipe")
async def wipe_replica(run: "SoakRun", chance: random.Random) -> None:
    """Kill a replica and start it again with an empty disk."""
    async with run.lose_replica(chance) as program:
        if program is not None:
            await program.kill(wipes=True)
            await program.start()
            # Until it has caught up, no other replica may be lost.
            await anyio.sleep(6.0)


@injects("replica-pause")
async def pause_replica(run: "SoakRun", chance: random.Random) -> None:
    """Stop a replica's process for a while."""
    async with run.lose_replica(chance) as program:
        if program is not None:
            program.pause()
            await anyio.sleep(chance.uniform(0.2, 4.0))
            program.resume()


@injects("replica-terminate")
async def terminate_replica(run: "SoakRun", chance: random.Random) -> None:
    """Ask a replica to stop, and start it again."""
    async with run.lose_replica(chance) as program:
        if program is not None:
            await program.terminate()
            await program.start()


@injects("cell-kill")
async def kill_cell(run: "SoakRun", chance: random.Random) -> None:
    """Kill every replica at once and start them again."""
    async with run.lose_all_replicas() as programs:
        for program in programs:
            await program.kill()
        await anyio.sleep(chance.uniform(0.0, 2.0))
        for program in programs:
            await program.start()


@injects("entry-kill")
async def kill_entry(run: "SoakRun", chance: random.Random) -> None:
    """Kill an entry and start it again."""
    program = chance.choice(run.entries)
    if program.is_up and not program.is_paused:
        await program.kill()
        await program.start()


@injects("entry-pause")
async def pause_entry(run: "SoakRun", chance: random.Random) -> None:
    """Stop an entry's process for a while."""
    program = chance.choice(run.entries)
    if program.is_up and not program.is_paused:
        program.pause()
        await anyio.sleep(chance.uniform(0.2, 3.0))
        program.resume()


@injects("settings-change")
async def change_settings(run: "SoakRun", chance: random.Random) -> None:
    """Write other seeds into the settings files, with and without a signal."""
    for program in [*run.replicas, *run.entries]:
        seeds = [replica.ip for replica in chance.sample(run.replicas, 2)]
        program.write_settings(seed_nodes=run.format_seeds(seeds))
        if chance.random() < 0.5:
            program.reload()


@injects("links-reset")
async def reset_links(run: "SoakRun", chance: random.Random) -> None:
    """Reset the connections of callers, workers and the advisor."""
    for proxy in run.proxies:
        if chance.random() < 0.5:
            await proxy.reset()


@injects("links-delayed")
async def delay_links(run: "SoakRun", chance: random.Random) -> None:
    """Delay what goes to some workers and from some callers."""
    chosen = chance.sample(run.proxies, 3)
    for proxy in chosen:
        proxy.link.delay_s = chance.uniform(0.05, 0.4)
    await anyio.sleep(chance.uniform(0.5, 3.0))
    for proxy in chosen:
        await proxy.heal()


@injects("caller-cut")
async def cut_callers(run: "SoakRun", chance: random.Random) -> None:
    """Lose the answers of an entry on their way to callers."""
    proxy = chance.choice(run.caller_proxies)
    proxy.link.drops_answers = True
    await anyio.sleep(chance.uniform(0.5, 2.0))
    await proxy.heal()


@injects("worker-cut")
async def cut_worker(run: "SoakRun", chance: random.Random) -> None:
    """Cut a worker off, one way or both, while it runs on."""
    proxy = chance.choice(run.fleet.places).proxy
    proxy.link.drops_answers = True
    proxy.link.drops_requests = chance.random() < 0.7
    await anyio.sleep(chance.uniform(0.5, 9.0))
    await proxy.heal()


@injects("worker-crash")
async def crash_worker(run: "SoakRun", chance: random.Random) -> None:
    """Crash a worker; another incarnation comes at its address."""
    place = chance.choice(run.fleet.places)
    place.proxy.link.is_refused = True
    await place.proxy.reset()
    run.fleet.replace(place.worker)
    await anyio.sleep(chance.uniform(0.0, 3.0))
    await place.proxy.heal()


@injects("worker-late")
async def delay_orders(run: "SoakRun", chance: random.Random) -> None:
    """Let workers leave some orders unanswered and carry them out late."""
    for place in run.fleet.places:
        place.late_share = 0.1
    await anyio.sleep(chance.uniform(1.0, 4.0))
    for place in run.fleet.places:
        place.late_share = 0.0


@injects("worker-drain")
async def drain_worker(run: "SoakRun", chance: random.Random) -> None:
    """Drain a worker, then put another incarnation in its place."""
    worker = chance.choice(run.fleet.workers)
    worker.is_draining = True
    await anyio.sleep(4.0)
    if worker in run.fleet.workers:
        run.fleet.replace(worker)


@injects("advisor-cut")
async def cut_advisor(run: "SoakRun", chance: random.Random) -> None:
    """Cut the advisor off."""
    run.advisor.proxy.link.drops_answers = True
    await anyio.sleep(chance.uniform(0.5, 2.0))
    await run.advisor.proxy.heal()


@injects("configuration")
async def change_configuration(run: "SoakRun", chance: random.Random) -> None:
    """Put some configurations in quick succession."""
    for _ in range(chance.randint(1, 4)):
        run.start_soon(run.operator.put)
        await anyio.sleep(chance.uniform(0.0, 0.4))
    await run.operator.check()
