"""Kinds of faults, each injected from outside the programs and then reverted."""

import random
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any

import anyio

from features.lib.called_fleet import RESTART_S

if TYPE_CHECKING:
    from .runs import SoakRun

KEPT_ID_FRACTION = 0.5  # Of the crashed workers.

Fault = Callable[["SoakRun", random.Random], Coroutine[Any, Any, None]]
FAULTS: dict[str, Fault] = {}


def register_fault(name: str) -> Callable[[Fault], Fault]:
    """Register a kind of fault."""

    def register(fault: Fault) -> Fault:
        FAULTS[name] = fault
        return fault

    return register


@register_fault("replica-kill")
async def kill_replica(run: "SoakRun", rng: random.Random) -> None:
    """Kill and restart a replica."""
    async with run.reserve_replica(rng) as program:
        if program is not None:
            await program.kill()
            await anyio.sleep(rng.uniform(0.0, 3.0))
            await program.start()


@register_fault("replica-wipe")
async def wipe_replica(run: "SoakRun", rng: random.Random) -> None:
    """Kill a replica and restart it with an empty data folder."""
    async with run.reserve_replica(rng) as program:
        if program is not None:
            await program.kill(wipe_data=True)
            await program.start()
            # No other replica may fail until this one has caught up.
            await anyio.sleep(6.0)


@register_fault("replica-pause")
async def pause_replica(run: "SoakRun", rng: random.Random) -> None:
    """Suspend a replica's process for a while."""
    async with run.reserve_replica(rng) as program:
        if program is not None:
            program.pause()
            await anyio.sleep(rng.uniform(0.2, 4.0))
            program.resume()


@register_fault("replica-terminate")
async def terminate_replica(run: "SoakRun", rng: random.Random) -> None:
    """Stop a replica gracefully and restart it."""
    async with run.reserve_replica(rng) as program:
        if program is not None:
            await program.terminate()
            await program.start()


@register_fault("cell-kill")
async def kill_cell(run: "SoakRun", rng: random.Random) -> None:
    """Kill all replicas, then restart them."""
    async with run.reserve_all_replicas() as programs:
        for program in programs:
            await program.kill()
        await anyio.sleep(rng.uniform(0.0, 2.0))
        for program in programs:
            await program.start()


@register_fault("entry-kill")
async def kill_entry(run: "SoakRun", rng: random.Random) -> None:
    """Kill and restart an entry instance."""
    program = rng.choice(run.entries)
    if program.is_running and not program.is_paused:
        await program.kill()
        await program.start()


@register_fault("entry-pause")
async def pause_entry(run: "SoakRun", rng: random.Random) -> None:
    """Suspend an entry instance's process for a while."""
    program = rng.choice(run.entries)
    if program.is_running and not program.is_paused:
        program.pause()
        await anyio.sleep(rng.uniform(0.2, 3.0))
        program.resume()


@register_fault("settings-change")
async def change_settings(run: "SoakRun", rng: random.Random) -> None:
    """Change the seed nodes in the settings files; send a reload signal to some programs."""
    for program in [*run.replicas, *run.entries]:
        seed_ips = [replica.ip for replica in rng.sample(run.replicas, 2)]
        program.write_settings(seed_nodes=run.format_seed_nodes(seed_ips))
        if rng.random() < 0.5:
            program.reload()


@register_fault("links-reset")
async def reset_links(run: "SoakRun", rng: random.Random) -> None:
    """Reset the connections of randomly chosen links."""
    for proxy in run.proxies:
        if rng.random() < 0.5:
            await proxy.reset()


@register_fault("links-delayed")
async def delay_links(run: "SoakRun", rng: random.Random) -> None:
    """Delay the traffic of three random links."""
    chosen = rng.sample(run.proxies, 3)
    for proxy in chosen:
        proxy.link.delay_s = rng.uniform(0.05, 0.4)
    await anyio.sleep(rng.uniform(0.5, 3.0))
    for proxy in chosen:
        await proxy.restore()


@register_fault("caller-cut")
async def cut_callers(run: "SoakRun", rng: random.Random) -> None:
    """Drop the answers of an entry instance to its callers."""
    proxy = rng.choice(run.caller_proxies)
    proxy.link.drops_answers = True
    await anyio.sleep(rng.uniform(0.5, 2.0))
    await proxy.restore()


@register_fault("worker-cut")
async def cut_worker(run: "SoakRun", rng: random.Random) -> None:
    """Drop a running worker's answers, and in most cases also the requests to it."""
    proxy = rng.choice(run.fleet.hosts).proxy
    proxy.link.drops_answers = True
    proxy.link.drops_requests = rng.random() < 0.7
    await anyio.sleep(rng.uniform(0.5, 9.0))
    await proxy.restore()


@register_fault("worker-crash")
async def crash_worker(run: "SoakRun", rng: random.Random) -> None:
    """Crash a worker and start it again at its address, under a new id or the one it had."""
    host = rng.choice(run.fleet.hosts)
    host.proxy.link.refuses_connections = True
    await host.proxy.reset()
    down_s = rng.uniform(0.0, 3.0)
    keeps_id = rng.random() < KEPT_ID_FRACTION
    run.fleet.replace(host.worker, keeps_id=keeps_id)
    await anyio.sleep(down_s + (RESTART_S if keeps_id else 0.0))
    await host.proxy.restore()


@register_fault("worker-late")
async def delay_orders(run: "SoakRun", rng: random.Random) -> None:
    """Make workers leave some orders unanswered and execute them late."""
    for host in run.fleet.hosts:
        host.late_call_fraction = 0.1
    await anyio.sleep(rng.uniform(1.0, 4.0))
    for host in run.fleet.hosts:
        host.late_call_fraction = 0.0


@register_fault("worker-drain")
async def drain_worker(run: "SoakRun", rng: random.Random) -> None:
    """Drain a worker, then replace it by a new incarnation."""
    worker = rng.choice(run.fleet.workers)
    worker.is_draining = True
    await anyio.sleep(4.0)
    if worker in run.fleet.workers:
        run.fleet.replace(worker)


@register_fault("advisor-cut")
async def cut_advisor(run: "SoakRun", rng: random.Random) -> None:
    """Drop the answers of the advisor."""
    run.advisor.proxy.link.drops_answers = True
    await anyio.sleep(rng.uniform(0.5, 2.0))
    await run.advisor.proxy.restore()


@register_fault("configuration")
async def replace_queue_table(run: "SoakRun", rng: random.Random) -> None:
    """Write one to four queue tables in quick succession, then read one back."""
    for _ in range(rng.randint(1, 4)):
        run.start_soon(run.operator.put)
        await anyio.sleep(rng.uniform(0.0, 0.4))
    await run.operator.check()


async def let_worker_leave(run: "SoakRun", rng: random.Random) -> None:
    """Deregister a worker, which mostly gets no answer and runs on, then replace it."""
    host = rng.choice(run.fleet.hosts)
    worker = host.worker
    worker.gets_no_acknowledgements = rng.random() < 0.7
    host.proxy.link.drops_requests = worker.gets_no_acknowledgements
    await run.fleet.leave(worker)
    if worker in run.fleet.workers:
        run.fleet.replace(worker)
    await host.proxy.restore()
