"""One run of the soak test: programs, simulated workers and callers, faults and violations."""

import os
import random
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import TaskGroup

from dewspindle._internal.models.resources import Amounts
from features.lib.called_fleet import CAPACITY

from .callers import Callers, Operator
from .faults import FAULTS, let_worker_leave
from .programs import CLIENT_PORT, CONTROL_PORT, Program
from .proxy import Proxy
from .strangers import send_heartbeats
from .teams import CAPS, WITHDRAWAL_LIMIT_S, Teams
from .workers import HttpAdvisor, HttpFleet, RealClock

# Until the first queue table is written; allows for a busy machine.
FORMATION_TIMEOUT_S = 30.0
SETTLE_TIMEOUT_S = 60.0  # For accepted jobs to complete after the last fault.
RESIZE_INTERVAL_S = (0.5, 2.0)
LEAVE_INTERVAL_S = (2.0, 6.0)
FAULT_INTERVAL_S = (0.3, 2.5)  # Between the starts of two faults, which may overlap.
JOB_INTERVAL_S = (0.02, 0.25)
WITHDRAWAL_INTERVAL_S = (0.2, 1.5)  # From the addition of a key to the next withdrawal.
REFUSAL_S = (1.0, 3.0)  # How long a withdrawn key must be refused before it is added again.


class SoakRun:
    """Soak run whose faults and jobs are drawn from one random seed."""

    def __init__(
        self,
        directory: Path,
        *,
        seed: int,
        seconds: float,
        replicas: int,
        entries: int,
        workers: int,
    ) -> None:
        self._seconds = seconds
        self._rng = random.Random(seed)
        # Leave the other draws as they are.
        self._resize_rng = random.Random(f"{seed}-resize")
        self._key_rng = random.Random(f"{seed}-keys")
        self._leave_rng = random.Random(f"{seed}-leave")
        self._stranger_rng = random.Random(f"{seed}-strangers")
        self._group: TaskGroup | None = None
        self._replica_lock = anyio.Lock()
        self.clock = RealClock()
        self.fault_counts: Counter[str] = Counter()
        self.advisor = HttpAdvisor()
        # Each process uses its own loopback network, so that several can run at the same time.
        network = f"127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 256}"
        ips = [f"{network}.{number}" for number in range(1, 1 + replicas + entries)]
        seed_nodes_setting = self.format_seed_nodes(ips[: min(3, replicas)])
        shared = {"seed_nodes": seed_nodes_setting, "advisor": self.advisor.proxy.address}
        fault_tolerance = {"fault_tolerance.machines": str((replicas - 1) // 2)}
        self.replicas = [
            Program("cell", f"cell-{number}", ip, directory, **shared, **fault_tolerance)
            for number, ip in enumerate(ips[:replicas])
        ]
        self.entries = [
            Program("entry", f"entry-{number}", ip, directory, **shared)
            for number, ip in enumerate(ips[replicas:])
        ]
        self.control_addresses = [f"{program.ip}:{CONTROL_PORT}" for program in self.replicas]
        self.fleet = HttpFleet(self, size=workers, seed=seed)
        self.caller_proxies = [
            Proxy(lambda ip=program.ip: f"{ip}:{CLIENT_PORT}")  # type: ignore[misc]
            for program in self.entries
        ]
        self.teams = Teams(self.clock)
        self.fleet.caps = {team: cap for team, cap in CAPS.items() if cap}
        self.callers = Callers(self.fleet, self.caller_proxies, self.teams, seed=seed)
        self.operator = Operator(self.control_addresses, self.teams, seed=seed)

    @property
    def proxies(self) -> list[Proxy]:
        """Return every proxy."""
        return [
            *self.caller_proxies,
            self.advisor.proxy,
            *(host.proxy for host in self.fleet.hosts),
        ]

    @staticmethod
    def format_seed_nodes(ips: list[str]) -> str:
        """Return the value of `seed_nodes`, of which the programs use only the hosts."""
        return ",".join(f"{ip}:{CONTROL_PORT}" for ip in ips)

    def start_soon(self, call: Any, *args: Any) -> None:
        """Start a call in the task group of the run."""
        assert self._group is not None
        self._group.start_soon(call, *args)

    @asynccontextmanager
    async def reserve_replica(self, rng: random.Random) -> AsyncIterator[Program | None]:
        """Reserve a random replica for a fault; yield None while another fault holds one."""
        if self._replica_lock.locked():
            yield None
            return
        async with self._replica_lock:
            yield rng.choice(self.replicas)
            # Time to recover before the next fault of a replica.
            await anyio.sleep(2.0)

    @asynccontextmanager
    async def reserve_all_replicas(self) -> AsyncIterator[list[Program]]:
        """Reserve all replicas for a fault, once no other fault holds one."""
        async with self._replica_lock:
            yield self.replicas
            # Time to recover before the next fault of a replica.
            await anyio.sleep(3.0)

    async def run(self) -> list[str]:
        """Inject faults, wait for the accepted jobs to complete, and return the violations."""
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self.fleet.run, group)
            group.start_soon(self.advisor.run, group)
            for proxy in self.caller_proxies:
                group.start_soon(proxy.run, group)
            try:
                for program in [*self.replicas, *self.entries]:
                    await program.start()
                with anyio.fail_after(FORMATION_TIMEOUT_S):
                    await self.operator.put()
                await self._inject_faults()
                await self.callers.wait_for_completion(seconds=SETTLE_TIMEOUT_S)
                await self.operator.check(seconds=SETTLE_TIMEOUT_S)
                self._check_programs()
            finally:
                with anyio.CancelScope(shield=True):
                    for program in [*self.replicas, *self.entries]:
                        await program.kill()
            group.cancel_scope.cancel()
        return self._list_violations()

    async def _inject_faults(self) -> None:
        """Inject faults while callers submit jobs, then wait until they have been reverted."""
        ends_at = self.clock.now + self._seconds
        async with anyio.create_task_group() as group:
            group.start_soon(self._submit_jobs, ends_at)
            group.start_soon(self._resize_workers, ends_at)
            group.start_soon(self._withdraw_keys, ends_at)
            group.start_soon(self._remove_workers, ends_at)
            group.start_soon(self._send_strange_heartbeats, ends_at)
            while self.clock.now < ends_at:
                name = self._rng.choice(sorted(FAULTS))
                rng = random.Random(self._rng.getrandbits(32))
                self.fault_counts[name] += 1
                group.start_soon(FAULTS[name], self, rng)
                await anyio.sleep(self._rng.uniform(*FAULT_INTERVAL_S))
                self._check_programs()

    async def _resize_workers(self, ends_at: float) -> None:
        """Shrink workers for a while, each by a random amount."""
        while self.clock.now < ends_at:
            worker = self._resize_rng.choice(self.fleet.workers)
            millicores = int(CAPACITY.processors * self._resize_rng.uniform(0.2, 1.0))
            worker.resize(Amounts(processors=millicores, memory_mb=CAPACITY.memory_mb))
            self.fault_counts["worker-resize"] += 1
            await anyio.sleep(self._resize_rng.uniform(*RESIZE_INTERVAL_S))
        for worker in self.fleet.workers:
            worker.resize(CAPACITY)

    async def _remove_workers(self, ends_at: float) -> None:
        """Let one worker after another leave."""
        while self.clock.now < ends_at:
            await anyio.sleep(self._leave_rng.uniform(*LEAVE_INTERVAL_S))
            self.fault_counts["worker-leave"] += 1
            await let_worker_leave(self, self._leave_rng)

    async def _send_strange_heartbeats(self, ends_at: float) -> None:
        """Send what other writers may send, from which no worker is to be used."""
        addresses = [host.proxy.address for host in self.fleet.hosts]
        with anyio.move_on_after(ends_at - self.clock.now):
            await send_heartbeats(self.control_addresses, addresses, self._stranger_rng)

    async def _withdraw_keys(self, ends_at: float) -> None:
        """Withdraw one key after another, each for longer than requests may still succeed."""
        while self.clock.now < ends_at:
            await anyio.sleep(self._key_rng.uniform(*WITHDRAWAL_INTERVAL_S))
            seconds = WITHDRAWAL_LIMIT_S + self._key_rng.uniform(*REFUSAL_S)
            self.fault_counts["key-withdrawal"] += 1
            await self.operator.withdraw_key(self.teams.choose_key(self._key_rng), seconds=seconds)

    async def _submit_jobs(self, ends_at: float) -> None:
        while self.clock.now < ends_at:
            self.start_soon(self.callers.run_job)
            await anyio.sleep(self._rng.uniform(*JOB_INTERVAL_S))

    def _check_programs(self) -> None:
        for program in [*self.replicas, *self.entries]:
            program.check()

    def _list_violations(self) -> list[str]:
        programs = [*self.replicas, *self.entries]
        exit_errors = [s for p in programs for s in (*p.exit_errors, *p.list_late_imports())]
        broken_rules = list(dict.fromkeys(self.fleet.broken.rules))
        return [
            *broken_rules,
            *self.callers.violations,
            *self.callers.key_checks.violations,
            *self.operator.violations,
            *exit_errors,
        ]
