"""Stand-in workers and backend servers that run in the measuring process."""

from typing import Any

import anyio

from dewspindle._internal.models.resources import Amounts
from dewspindle._internal.network.json_client import JsonClient
from dewspindle._internal.standins.backend import StandInBackend
from dewspindle._internal.standins.worker import StandInWorker
from dewspindle._internal.utils.local_ports import reserve_address
from dewspindle._internal.utils.timers import SystemTimerService

from .processes import ProcessCell

WORKER_CAPACITY = Amounts(processors=32_000, memory_mb=131_072)
WORKERS_PER_RACK = 8


def start_workers(group: Any, cell: ProcessCell, *, count: int, zones: int) -> list[StandInWorker]:
    """Start workers, distributed evenly over the instances."""
    timers = SystemTimerService()
    workers = []
    for number in range(count):
        instance = cell.instances[number % len(cell.instances)]
        rack = number // WORKERS_PER_RACK
        worker = StandInWorker(
            worker=f"w{number}",
            zone=f"zone-{rack % zones}",
            rack=f"rack-{rack}",
            capacity=WORKER_CAPACITY,
            # One client per worker: the cost of a client's pool grows with its connections.
            client=JsonClient(instance.http_address, max_connections=1),
            timers=timers,
        )
        workers.append(worker)
        group.start_soon(worker.run)
    return workers


async def wait_for_workers(cell: ProcessCell, count: int) -> None:
    """Wait until the cell knows at least `count` workers."""
    operator = cell.instances[0].operator
    while True:
        answer = await operator.request("GET", "/v1/status")
        if answer.body["workers"] >= count:
            return
        await anyio.sleep(0.1)


async def start_backends(
    group: Any, cell: ProcessCell, *, count: int, slots: int, service_time_s: float
) -> list[StandInBackend]:
    """Start backend servers of the service `bench`; return when every instance knows them."""
    timers = SystemTimerService()
    backends = []
    for number in range(count):
        instance = cell.instances[number % len(cell.instances)]
        backend = StandInBackend(
            backend=f"b{number}",
            service="bench",
            zone=f"zone-{number % 3}",
            address=reserve_address(),
            slots=slots,
            connections=60,
            client=JsonClient(instance.http_address, max_connections=1),
            timers=timers,
            service_time_s=service_time_s,
        )
        backends.append(backend)
        group.start_soon(backend.serve)
        group.start_soon(backend.announce_periodically)
    for instance in cell.instances:
        while True:
            answer = await instance.operator.request("GET", "/v1/backends")
            if len(answer.body["backends"]) == count:
                break
            await anyio.sleep(0.05)
    return backends
