"""Calls lost or executed twice while the instances of a loaded cell restart in turn.

Usage: python -m bench.rolling_restart
"""

import itertools
import time
from collections import Counter

import anyio

from dewspindle._internal.exceptions import ServerUnreachableError
from dewspindle._internal.network.json_client import JsonClient
from dewspindle._internal.standins.backend import StandInBackend
from dewspindle._internal.utils.logs import LogFormat, configure_logs

from .processes import ProcessCell, ProcessInstance
from .results import print_measurement, summarize_ms
from .standins import start_backends

INSTANCES = 8
REPLICAS = 3
BACKENDS = 4
SLOTS = 8
SERVICE_TIME_S = 0.02
CALLERS = 12
CALL_PAUSE_S = 0.05
READINESS_INTERVAL_S = 0.1
MAX_SENDS = 20


class Balancer:
    """Stand-in for the platform's load balancer: chooses among the instances last seen ready."""

    def __init__(self, cell: ProcessCell) -> None:
        self._cell = cell
        self._ready = list(cell.instances)
        self._turns = itertools.count()

    async def run(self) -> None:
        """Poll the readiness of the instances until cancelled."""
        while True:
            ready = [i for i in self._cell.instances if await self._cell.is_ready(i)]
            self._ready = ready or self._ready
            await anyio.sleep(READINESS_INTERVAL_S)

    def choose(self) -> ProcessInstance:
        """Return the next ready instance."""
        return self._ready[next(self._turns) % len(self._ready)]


class LoadGenerator:
    """Callers that send sequential calls, each with a path of its own."""

    def __init__(self, balancer: Balancer) -> None:
        self._balancer = balancer
        self._call_numbers = itertools.count()
        self.outcomes: Counter[str] = Counter()
        # Whether each call ran, by path, as reported to its caller: `yes`, `no` or `unknown`.
        self.reported: dict[str, str] = {}
        self.durations: list[float] = []
        self.is_stopped = False

    async def run_caller(self) -> None:
        """Send calls until `is_stopped` is set."""
        clients: dict[str, JsonClient] = {}
        while not self.is_stopped:
            await self._call(clients)
            await anyio.sleep(CALL_PAUSE_S)
        for client in clients.values():
            await client.close()

    async def _call(self, clients: dict[str, JsonClient]) -> None:
        path = f"/n{next(self._call_numbers)}"
        started = time.perf_counter()
        for _ in range(MAX_SENDS):
            address = self._balancer.choose().http_address
            client = clients.setdefault(address, JsonClient(address, max_connections=1))
            try:
                answer = await client.request("POST", f"/call/bench{path}")
            except ServerUnreachableError:
                self.outcomes["connection lost"] += 1
                self.reported[path] = "unknown"
                return
            ran = answer.headers.get("dewspindle-ran", "")
            if ran == "no":
                # The call was certainly not executed, so that it is safe to send it again.
                self.outcomes[f"resent after {answer.body['code']}"] += 1
                await anyio.sleep(CALL_PAUSE_S)
                continue
            self.reported[path] = ran
            self.outcomes["answered" if answer.status == 200 else f"failed, ran {ran}"] += 1
            self.durations.append(time.perf_counter() - started)
            return
        self.outcomes["given up, never run"] += 1
        self.reported[path] = "no"


def compare_reports(load: LoadGenerator, backends: list[StandInBackend]) -> dict[str, int]:
    """Count the calls that ran more than once and those that were reported wrongly."""
    ran: Counter[str] = Counter()
    for backend in backends:
        ran.update(backend.ran)
    return {
        "doubled": sum(count > 1 for count in ran.values()),
        "said yes but did not run": sum(
            reported == "yes" and ran[path] == 0 for path, reported in load.reported.items()
        ),
        "said no but ran": sum(
            reported == "no" and ran[path] > 0 for path, reported in load.reported.items()
        ),
    }


async def main() -> None:
    """Print the results."""
    configure_logs(log_format=LogFormat.JSON, level="error", instance="bench", zone="bench")
    cell_flags = {"ready-delay-ms": "500"}
    async with (
        ProcessCell(size=INSTANCES, replicas=REPLICAS, flags=cell_flags) as cell,
        anyio.create_task_group() as group,
    ):
        backends = await start_backends(
            group, cell, count=BACKENDS, slots=SLOTS, service_time_s=SERVICE_TIME_S
        )
        balancer = Balancer(cell)
        load = LoadGenerator(balancer)
        group.start_soon(balancer.run)
        await anyio.sleep(1.0)
        async with anyio.create_task_group() as callers:
            for _ in range(CALLERS):
                callers.start_soon(load.run_caller)
            await anyio.sleep(2.0)
            started = time.perf_counter()
            for instance in cell.instances:
                await instance.terminate()
                await instance.start()
                await cell.wait_until_ready()
            elapsed_s = time.perf_counter() - started
            await anyio.sleep(1.0)
            load.is_stopped = True
        print_measurement(
            "rolling_restart",
            {
                "instances": INSTANCES,
                "seconds": round(elapsed_s, 1),
                "calls": len(load.reported),
                "outcomes": dict(load.outcomes),
                "compared": compare_reports(load, backends),
                "most_in_flight": max(backend.most_in_flight for backend in backends),
                "slots": SLOTS,
                **summarize_ms(load.durations),
            },
        )
        group.cancel_scope.cancel()


if __name__ == "__main__":
    anyio.run(main)
