"""`dewspindle dev`: a demonstration cell in one process."""

import sys
import tempfile
from functools import partial
from typing import Annotated, Any

import anyio
import typer

from ..cli.output import print_table
from ..network.json_client import JsonClient
from ..settings.loading import load_settings
from ..standins.backend import StandInBackend
from ..standins.worker import StandInWorker
from ..utils.local_ports import reserve_address
from ..utils.logs import LogFormat, configure_logs
from ..utils.timers import SystemTimerService
from .dev_examples import EXAMPLES, WORKER_CAPACITY, WORKER_COUNT, ZONES

TOKEN = "dev"
STEP_TIMEOUT_S = 10.0  # For the start, each example record and the example call.
POLL_INTERVAL_S = 0.05
RECORD_COLUMNS = ("id", "name", "kind", "written_under", "state", "where", "why")


def dev(
    keep: Annotated[bool, typer.Option("--keep", help="Keep running until interrupted.")] = False,
) -> None:
    """Run a cell of one instance with stand-ins, and show how example records and a call run."""
    configure_logs(log_format=LogFormat.CONSOLE, level="warning", instance="dev", zone="dev")
    with tempfile.TemporaryDirectory(prefix="dewspindle-") as folder:
        anyio.run(partial(_run, folder, keep=keep))


async def _run(folder: str, *, keep: bool) -> None:
    from ..instance import Instance

    peer_address = reserve_address()
    http_address = reserve_address()
    operator_address = reserve_address()
    settings = load_settings(
        {
            "instance_id": "dev",
            "availability_zone": ZONES[0],
            "http_address": http_address,
            "operator_address": operator_address,
            "peer_address": peer_address,
            "peers": f"dev@{peer_address}",
            "data_dir": folder,
            "operator_token": TOKEN,
            "ready_delay_ms": "0",
        },
        environment={},
    )
    instance = Instance(settings)
    operator = JsonClient(operator_address, token=TOKEN)
    async with anyio.create_task_group() as instance_group:
        instance_group.start_soon(instance.run)
        await _wait_until_ready(operator)
        print(f"instance dev: callers {http_address}, operators {operator_address}, token {TOKEN}")
        async with anyio.create_task_group() as group:
            _start_stand_ins(group, http_address)
            await _submit_examples(operator)
            await _call_example_service(http_address)
            if keep:
                print("running until interrupted")
                await anyio.sleep_forever()
            group.cancel_scope.cancel()
        instance.begin_shutdown()


async def _wait_until_ready(operator: JsonClient) -> None:
    with anyio.fail_after(STEP_TIMEOUT_S):
        while True:
            try:
                response = await operator.request("GET", "/readyz")
            except Exception:
                response = None
            if response is not None and response.status == 200:
                return
            await anyio.sleep(POLL_INTERVAL_S)


def _start_stand_ins(group: Any, http_address: str) -> None:
    timers = SystemTimerService()
    # One connection for the held poll of each worker, and four for the backend server's
    # announcements.
    client = JsonClient(http_address, max_connections=WORKER_COUNT + 4)
    for number in range(WORKER_COUNT):
        worker = StandInWorker(
            worker=f"worker-{number}",
            zone=ZONES[number % len(ZONES)],
            rack=f"rack-{number % len(ZONES)}",
            capacity=WORKER_CAPACITY,
            client=client,
            timers=timers,
        )
        group.start_soon(worker.run)
    backend = StandInBackend(
        backend="backend-0",
        service="listing",
        zone=ZONES[0],
        address=reserve_address(),
        slots=8,
        connections=60,
        client=client,
        timers=timers,
    )
    group.start_soon(backend.serve)
    group.start_soon(backend.announce_periodically)


async def _wait_for_workers(operator: JsonClient) -> None:
    with anyio.fail_after(STEP_TIMEOUT_S):
        while True:
            response = await operator.request("GET", "/v1/workers")
            if len(response.body["workers"]) == WORKER_COUNT:
                return
            await anyio.sleep(POLL_INTERVAL_S)


async def _submit_examples(operator: JsonClient) -> None:
    await _wait_for_workers(operator)
    ids = []
    for number, document in enumerate(EXAMPLES):
        response = await operator.request(
            "POST", "/v1/records", body=document, headers={"Idempotency-Key": f"dev-{number}"}
        )
        if response.status == 201:
            ids.append(response.body["id"])
            print(f"accepted {document['name']} as {response.body['id']}")
        else:
            print(
                f"refused  {document['name']}: {response.body['code']}: {response.body['detail']}"
            )
    rows = [await _wait_for_record(operator, record_id) for record_id in ids]
    print()
    print_table(rows, RECORD_COLUMNS)


async def _wait_for_record(operator: JsonClient, record_id: str) -> dict[str, Any]:
    """Return an output row for a record once it is a running service or has ended."""
    with anyio.move_on_after(STEP_TIMEOUT_S):
        while True:
            record = (await operator.request("GET", f"/v1/records/{record_id}")).body
            states = {task["state"] for task in record["tasks"]}
            is_service = record["kind"] == "service"
            if is_service and states == {"running"}:
                break
            if not is_service and record["ended_ms"]:
                break
            await anyio.sleep(POLL_INTERVAL_S)
    explanation = (await operator.request("GET", f"/v1/records/{record_id}/explain")).body
    placed = [d["why"] for d in explanation["decisions"] if " placed on " in d["what"]]
    workers = sorted({task["worker"] for task in record["tasks"]})
    return {
        **record,
        "where": ", ".join(workers),
        "why": record["reason"] or (placed[-1] if placed else explanation["waits"]),
    }


async def _call_example_service(http_address: str) -> None:
    caller = JsonClient(http_address)
    with anyio.move_on_after(STEP_TIMEOUT_S):
        while True:
            response = await caller.request("GET", "/call/listing/prices/42")
            if response.status == 200:
                break
            await anyio.sleep(POLL_INTERVAL_S)
    print()
    print(
        f"call /call/listing/prices/42: status {response.status}, "
        f"executed: {response.headers['dewspindle-ran']}"
    )
    print(f"  {response.body}", file=sys.stdout)


def register(app: typer.Typer) -> None:
    """Register the command."""
    app.command("dev")(dev)
