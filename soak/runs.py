"""One run of the soak: programs, stand-ins, faults and the verdict."""

import os
import random
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import TaskGroup

from .callers import Callers, Operator
from .faults import FAULTS
from .programs import CLIENT_PORT, CONTROL_PORT, Program
from .proxy import Proxy
from .workers import RealClock, WireAdvisor, WireFleet

FORM_S = 30.0  # For the cell to form and to take the first configuration, on a busy machine.
SETTLE_S = 60.0  # For accepted jobs to complete once the faults are over.
STRIKE_PAUSE_S = (0.3, 2.5)  # Between two faults; each lasts on, so that they overlap.
JOB_PAUSE_S = (0.02, 0.25)  # Between two jobs.


class SoakRun:
    """Runs one seed."""

    def __init__(
        self, folder: Path, *, seed: int, seconds: float, replicas: int, entries: int, workers: int
    ) -> None:
        self._seconds = seconds
        self._random = random.Random(seed)
        self._group: TaskGroup | None = None
        self._replica_lock = anyio.Lock()
        self.clock = RealClock()
        self.counts: Counter[str] = Counter()
        self.advisor = WireAdvisor()
        # A network of its own, so that several runs may go on at the same time.
        network = f"127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 256}"
        ips = [f"{network}.{number}" for number in range(1, 1 + replicas + entries)]
        seeds = self.format_seeds(ips[: min(3, replicas)])
        shared = {"seed_nodes": seeds, "advisor": self.advisor.proxy.address}
        lost_at_once = {"fault_tolerance.machines": str((replicas - 1) // 2)}
        self.replicas = [
            Program("cell", f"cell-{number}", ip, folder, **shared, **lost_at_once)
            for number, ip in enumerate(ips[:replicas])
        ]
        self.entries = [
            Program("entry", f"entry-{number}", ip, folder, **shared)
            for number, ip in enumerate(ips[replicas:])
        ]
        self.control_addresses = [f"{program.ip}:{CONTROL_PORT}" for program in self.replicas]
        self.fleet = WireFleet(self, size=workers, seed=seed)
        self.caller_proxies = [
            Proxy(lambda ip=program.ip: f"{ip}:{CLIENT_PORT}")  # type: ignore[misc]
            for program in self.entries
        ]
        self.callers = Callers(self.fleet, self.caller_proxies, seed=seed)
        self.operator = Operator(self.control_addresses, seed=seed)

    @property
    def proxies(self) -> list[Proxy]:
        """Return every proxy."""
        return [
            *self.caller_proxies,
            self.advisor.proxy,
            *(place.proxy for place in self.fleet.places),
        ]

    @staticmethod
    def format_seeds(ips: list[str]) -> str:
        """Return the value of the setting that names seeds."""
        return ",".join(f"{ip}:{CONTROL_PORT}" for ip in ips)

    def start_soon(self, call: Any, *args: Any) -> None:
        """Run a call beside everything else."""
        assert self._group is not None
        self._group.start_soon(call, *args)

    @asynccontextmanager
    async def lose_replica(self, chance: random.Random) -> AsyncIterator[Program | None]:
        """Give a replica to a fault where none is lost already, or None."""
        if self._replica_lock.locked():
            yield None
            return
        async with self._replica_lock:
            yield chance.choice(self.replicas)
            await anyio.sleep(2.0)

    @asynccontextmanager
    async def lose_all_replicas(self) -> AsyncIterator[list[Program]]:
        """Give every replica to a fault, once no other has one."""
        async with self._replica_lock:
            yield self.replicas
            await anyio.sleep(3.0)

    async def run(self) -> list[str]:
        """Run the seed, and return what was broken."""
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self.fleet.run, group)
            group.start_soon(self.advisor.run, group)
            for proxy in self.caller_proxies:
                group.start_soon(proxy.run, group)
            try:
                for program in [*self.replicas, *self.entries]:
                    await program.start()
                with anyio.fail_after(FORM_S):
                    await self.operator.put()
                await self._strike()
                await self.callers.finish(seconds=SETTLE_S)
                await self.operator.check(seconds=SETTLE_S)
                self._check_programs()
            finally:
                with anyio.CancelScope(shield=True):
                    for program in [*self.replicas, *self.entries]:
                        await program.kill()
            group.cancel_scope.cancel()
        return self._list_broken()

    async def _strike(self) -> None:
        """Inject faults while callers hand jobs in, then let all faults end."""
        ends_at = self.clock.now + self._seconds
        async with anyio.create_task_group() as group:
            group.start_soon(self._hand_in, ends_at)
            while self.clock.now < ends_at:
                name = self._random.choice(sorted(FAULTS))
                chance = random.Random(self._random.getrandbits(32))
                self.counts[name] += 1
                group.start_soon(FAULTS[name], self, chance)
                await anyio.sleep(self._random.uniform(*STRIKE_PAUSE_S))
                self._check_programs()

    async def _hand_in(self, ends_at: float) -> None:
        while self.clock.now < ends_at:
            self.start_soon(self.callers.run_job)
            await anyio.sleep(self._random.uniform(*JOB_PAUSE_S))

    def _check_programs(self) -> None:
        for program in [*self.replicas, *self.entries]:
            program.check()

    def _list_broken(self) -> list[str]:
        surprises = [s for p in [*self.replicas, *self.entries] for s in p.surprises]
        rules = list(dict.fromkeys(self.fleet.broken.rules))
        return [*rules, *self.callers.broken, *self.operator.broken, *surprises]
