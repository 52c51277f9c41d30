import asyncio
import contextlib
import json
import os
import random
import runpy
import signal
import socket
import subprocess
import sys
from unittest import mock

import anyio.lowlevel
from behave import given, then, when

from dewspindle._internal.exceptions import DewspindleError, InvalidSettingError
from dewspindle._internal.http.server import HttpServer
from dewspindle._internal.jobs.gateway import (
    NoDefiniteAnswerError,
    OrderOutcome,
    RenewalOrder,
    StartOrder,
    WorkerEndpoint,
    WorkerReplacedError,
)
from dewspindle._internal.models.ids import JobId
from dewspindle._internal.models.jobs import TaskRef
from dewspindle._internal.network.json_client import JsonClient
from dewspindle._internal.network.json_sender import JsonResponse
from dewspindle._internal.network.pooled_client import PooledJsonClient
from dewspindle._internal.platform.advisor_client import decode_advice
from dewspindle._internal.platform.cell_program import make_replica
from dewspindle._internal.platform.entry_program import make_entry_instance
from dewspindle._internal.platform.heartbeats import decode_born_ms, decode_heartbeat
from dewspindle._internal.platform.job_bodies import decode_job
from dewspindle._internal.platform.queue_table import decode_queue_table
from dewspindle._internal.platform.settings_file import FILE_VARIABLE, decode_platform_settings
from dewspindle._internal.platform.worker_client import WorkerClient, decode_renewal
from dewspindle._internal.utils.local_ports import reserve_address
from dewspindle._internal.utils.metrics import Metrics
from features.lib.stub_worker import StubWorkerServer

HEARTBEAT = {
    "service": "pool",
    "address": "10.0.0.9:8080",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clock_ms": 482113,
    "sequence": 4,
}
QUEUE_TABLE = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "jobs.example",
            "path_prefix": "/q/",
            "kind": "non_idempotent",
            "timeout_ms": 3000,
            "target_latency_ms": 250,
            "priority": 0,
            "service": "pool",
            "max_attempts": 3,
            "slack_factor": 1.5,
        }
    ],
    "services": [{"name": "pool", "health_path": "/healthz", "enforce_capacity": False}],
    "limits": {"max_body_bytes": 262144},
}
JOB = {"spec": "text", "steps": [{"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 900}]}
TASK = TaskRef(JobId("5c0e7a21d94b36f8"), 0, 1, 17)
SETTINGS = """
node_name=core-a-1
zone=zone-a
ip=10.1.0.16
bind_addrs.admin=10.1.0.16:8166
internal_ports=7720,7735
seed_nodes=10.1.0.16:8166,10.2.0.32:8166
bootstrap=true
data_dir=/data/core
fault_tolerance.machines=2
policy_limits.max_hold_ms=6000
policy_limits.grace_period_s=6
policy_limits.something_new=7
"""


def encode_with_changes(base, **changes):
    fields = json.loads(json.dumps(base))
    for name, value in changes.items():
        if value is None:
            del fields[name]
        else:
            fields[name] = value
    return json.dumps(fields).encode()


def get_error_code(call):
    try:
        call()
    except DewspindleError as error:
        return error.code
    return ""


@when("a worker sends a heartbeat with {fault}")
def when_heartbeat(context, fault):
    body = {
        "no fault": json.dumps(HEARTBEAT).encode(),
        "undecodable bytes": b"\xff\xfe{",
        "a list instead of fields": b"[]",
        "no address": encode_with_changes(HEARTBEAT, address=None),
        "an address without a port": encode_with_changes(HEARTBEAT, address="10.0.0.9"),
        "an unknown state": encode_with_changes(HEARTBEAT, state="resting"),
        "a negative sequence": encode_with_changes(HEARTBEAT, sequence=-1),
        "a capacity that is text": encode_with_changes(HEARTBEAT, capacity="large"),
        "labels that are numbers": encode_with_changes(HEARTBEAT, labels=[1, 2]),
        "a sequence above 64 bits": encode_with_changes(HEARTBEAT, sequence=2**70),
        "an unpaired surrogate": encode_with_changes(HEARTBEAT, service="\ud800"),
        "an overlong drain": encode_with_changes(HEARTBEAT, state="draining", remaining_ms=2**40),
    }[fault]

    def decode():
        context.heartbeat = decode_heartbeat("i-1", body)

    context.code = get_error_code(decode)


@then("the heartbeat is refused as {code}")
@then("the queue table is refused as {code}")
@then("the job is refused as {code}")
def then_refused(context, code):
    assert context.code == code, context.code


@then("its pool, capacity, rack, clock and state are decoded")
def then_decoded(context):
    worker = context.heartbeat.worker
    assert context.code == ""
    assert (worker.id, worker.pool, worker.rack) == ("i-1", "pool", "r1-3")
    assert worker.capacity.processors == 16000
    assert (context.heartbeat.clock_ms, context.heartbeat.draining) == (482113, False)


@when("the operator sends a queue table with {fault}")
def when_queue_table(context, fault):
    route = QUEUE_TABLE["routes"][0]
    body = {
        "a truncated body": json.dumps(QUEUE_TABLE).encode()[:90],
        "an unknown service": encode_with_changes(QUEUE_TABLE, services=[]),
        "two routes for one path": encode_with_changes(
            QUEUE_TABLE, routes=[route, {**route, "name": "other"}]
        ),
        "a zero time-out": encode_with_changes(QUEUE_TABLE, routes=[{**route, "timeout_ms": 0}]),
        "no version": encode_with_changes(QUEUE_TABLE, version=None),
        "an overlong time-out": encode_with_changes(
            QUEUE_TABLE, routes=[{**route, "timeout_ms": 2**40}]
        ),
    }[fault]
    context.code = get_error_code(lambda: decode_queue_table(body))


@when("a caller submits a job with {fault}")
def when_job(context, fault):
    step = JOB["steps"][0]
    body = {
        "undecodable bytes": b"\x00",
        "no steps": encode_with_changes(JOB, steps=[]),
        "a step of no tasks": encode_with_changes(JOB, steps=[{**step, "count": 0}]),
        "a step that depends on itself": encode_with_changes(
            JOB, steps=[{**step, "depends_on": [0]}]
        ),
        "a spec of 5000 bytes": encode_with_changes(JOB, spec="x" * 5000),
        "too many tasks": encode_with_changes(JOB, steps=[{**step, "count": 10**6}]),
    }[fault]
    context.code = get_error_code(lambda: decode_job(body))


@when("the advisor answers with malformed rows and a valid one")
def when_advisor_answers(context):
    rows = [["i-1", "c81e"], ["i-2"], 7, [None, "c81f"]]
    context.advice = decode_advice({"approved": rows, "validity_ms": 1500})


@then("only the valid row approves a worker")
def then_valid_row_approved(context):
    assert context.advice.tickets == {"i-1": "c81e"}
    assert context.advice.is_incomplete
    assert context.advice.validity_s == 1.5


@given("the platform's settings of a replica")
def given_settings(context):
    context.settings_text = SETTINGS


@then("its seeds, peer port and limits are decoded")
def then_settings_decoded(context):
    settings = decode_platform_settings(context.settings_text)
    assert settings.seed_hosts == ["10.1.0.16", "10.2.0.32"]
    assert (settings.peer_port, settings.max_task_lease_ms, settings.tolerated_failures) == (
        7720,
        6000,
        2,
    )
    assert settings.may_form


@then('without "{name}" they are refused as {code}')
def then_missing_refused(context, name, code):
    lines = [line for line in context.settings_text.splitlines() if not line.startswith(name)]
    assert get_error_code(lambda: decode_platform_settings("\n".join(lines))) == code


@then('with "{line}" they are refused as {code}')
def then_invalid_refused(context, line, code):
    text = context.settings_text + line + "\n"
    assert (
        get_error_code(lambda: decode_platform_settings(text)) == InvalidSettingError.code == code
    )


def start_http_worker(context):
    async def begin():
        context.stub_worker = StubWorkerServer()
        context.serving = asyncio.ensure_future(context.stub_worker.server.run())
        context.worker_client = WorkerClient(PooledJsonClient(connections_per_address=8))

    async def end():
        await context.worker_client.close()
        context.stub_worker.server.stop()
        await context.serving

    context.run(begin())
    context.closers.append(lambda: context.run(end()))


@given("an HTTP worker that answers {status:d} with {body}")
def given_http_worker(context, status, body):
    start_http_worker(context)
    context.stub_worker.responses["/run-start"] = (status, json.loads(body))


@when("a task is started on it")
def when_started(context):
    endpoint = WorkerEndpoint("i-1", context.stub_worker.address)
    order = StartOrder(TASK, 2, "text", 486000, 7, checkpoint="00ab", ticket="c81e")

    async def start():
        try:
            answer = await context.worker_client.start(endpoint, order, timeout_s=5)
        except WorkerReplacedError:
            return "came to another incarnation"
        except NoDefiniteAnswerError:
            return "may have run"
        return f"was {answer.outcome.value}"

    context.outcome = context.run(start())
    path, headers, fields = context.stub_worker.requests[0]
    assert (path, headers["x-dewspindle-expected-instance"]) == ("/run-start", "i-1")
    assert fields == {
        "task": "5c0e7a21d94b36f8.0.1.17",
        "attempt": 2,
        "spec": "text",
        "deadline_ms": 486000,
        "fencing_token": 7,
        "checkpoint": "00ab",
        "ticket": "c81e",
    }


@then("the start order {outcome}")
def then_outcome(context, outcome):
    assert context.outcome == outcome, context.outcome


@given("an HTTP worker whose task lists contain malformed rows")
def given_malformed_rows(context):
    start_http_worker(context)
    good = "5c0e7a21d94b36f8.0.1.17"
    context.stub_worker.responses["/hold"] = (
        200,
        {
            "clock_ms": 5,
            "active": [[good, 2, "", 100, 480], ["nonsense", 1, "", 0], 7],
            "finished": [[1, good, 1, "failed", ""], [2, good, 1, "vanished", ""], []],
        },
    )


@when("its task lists are read")
def when_lists_read(context):
    endpoint = WorkerEndpoint("i-1", context.stub_worker.address)
    order = RenewalOrder(fencing_token=7, acknowledged_through=0, deadline_ms=None, wait_ms=0)
    context.lists = context.run(context.worker_client.renew_lease(endpoint, order, timeout_s=5))


@then("the valid rows are kept and the lists are marked as incomplete")
def then_valid_rows(context):
    lists = context.lists
    assert lists.outcome is OrderOutcome.ACCEPTED
    assert [(row.task, row.processors) for row in lists.active] == [(TASK, 480.0)]
    assert [(row.number, row.task) for row in lists.ended] == [(1, TASK)]
    assert lists.is_incomplete


@given("a replica and an entry instance on the platform's interfaces, with one HTTP worker")
def given_platform(context):
    start_http_worker(context)
    ports = {name: reserve_address() for name in ("admin", "client", "ready")}
    peer = reserve_address()
    port = peer.rpartition(":")[2]
    common = [
        "zone=z",
        f"internal_ports={port},{port}",
        f"seed_nodes={peer}",
        "bootstrap=true",
        "fault_tolerance.machines=0",
    ]
    cell = [
        "node_name=cell-1",
        "ip=127.0.0.1",
        f"bind_addrs.admin={ports['admin']}",
        f"data_dir={context.folder}",
    ]
    entry = [
        "node_name=entry-1",
        "ip=127.0.0.2",
        f"bind_addrs.client_addr={ports['client']}",
        f"bind_addrs.readiness={ports['ready']}",
    ]

    # Each instance serves its metrics on its own IP number.
    context.metrics_addresses = [
        reserve_address().replace("127.0.0.1", ip) for ip in ("127.0.0.1", "127.0.0.2")
    ]

    async def begin():
        metrics = Metrics(instance="i", zone="z")
        random.seed(1)
        programs = [
            make(
                decode_platform_settings("\n".join([*common, *lines])),
                metrics,
                metrics_port=int(address.rpartition(":")[2]),
            )
            for make, lines, address in zip(
                (make_replica, make_entry_instance),
                (cell, entry),
                context.metrics_addresses,
                strict=True,
            )
        ]
        context.instances = [instance for instance, _ in programs]
        context.running = [asyncio.ensure_future(i.run()) for i in context.instances]
        context.control_address = ports["admin"]
        context.control = JsonClient(ports["admin"])
        context.client = JsonClient(ports["client"])

    async def end():
        await context.control.close()
        await context.client.close()
        for task in context.running:
            task.cancel()
        await asyncio.gather(*context.running, return_exceptions=True)

    context.run(begin())
    context.closers.append(lambda: context.run(end()))


async def request_until(client, method, path, *, body=None, headers=None, wanted=200):
    """Repeat a request until its answer has the wanted status; the step's time limit bounds it."""
    while True:
        try:
            answer = await client.request(method, path, body=body, headers=headers, timeout_s=5)
        except DewspindleError:
            await anyio.lowlevel.checkpoint()
            continue
        if answer.status == wanted:
            return answer


async def run_job(context):
    """Configure the platform's programs, and submit a job that completes on the stub worker."""
    path = "/q/5c0e7a21d94b36f8"
    headers = {"Host": "jobs.example"}
    await request_until(context.control, "POST", "/Config.Replace", body=QUEUE_TABLE)
    read = await request_until(context.control, "GET", "/Config.Read")
    assert read.body == QUEUE_TABLE, read.body
    heartbeat = {**HEARTBEAT, "address": context.stub_worker.address}
    await request_until(context.control, "POST", "/Instances.Heartbeat/i-1", body=heartbeat)
    await request_until(context.client, "POST", path, body=JOB, headers=headers)
    while True:
        answer = await request_until(context.client, "GET", path, headers=headers)
        if answer.body["state"] == "completed":
            return


@when("the operator sends a queue table, the worker a heartbeat and a caller a job that completes")
def when_job_runs(context):
    context.run(run_job(context))


@then("the worker received a start order for each task, with its payload and a fencing token")
def then_all_tasks_ordered(context):
    starts = [fields for path, _, fields in context.stub_worker.requests if path == "/run-start"]
    assert {fields["task"] for fields in starts} == {
        "5c0e7a21d94b36f8.0.0.0",
        "5c0e7a21d94b36f8.0.0.1",
    }
    assert all(fields["fencing_token"] >= 1 and fields["spec"] == "text" for fields in starts)


@when("the launcher runs until it imports the program")
def when_launched(context):
    before = signal.getsignal(signal.SIGHUP)
    context.closers.append(lambda: signal.signal(signal.SIGHUP, before))
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    # The program's modules take long to import, and the signal may arrive meanwhile. Here their
    # import fails, so that the launcher ends at that point.
    missing = {"dewspindle._internal.platform.programs": None}
    with mock.patch.dict("sys.modules", missing), contextlib.suppress(ImportError):
        runpy.run_path("deploy/start.py", run_name="loaded")["start"]()


def name_settings_file(context, path):
    variable = mock.patch.dict("os.environ", {FILE_VARIABLE: str(path)})
    variable.start()
    context.closers.append(variable.stop)


@given("a settings file that names an address for callers")
def given_caller_address(context):
    context.address = reserve_address()
    path = context.folder / "settings"
    fields = {
        "node_name": "edge-1",
        "zone": "z",
        "ip": "127.0.0.1",
        "internal_ports": "7000,7001",
        "bind_addrs.client_addr": context.address,
    }
    path.write_text("".join(f"{name}={value}\n" for name, value in fields.items()))
    name_settings_file(context, path)


@given("a settings file that cannot be read")
def given_unreadable(context):
    name_settings_file(context, context.folder / "absent")


@when("a caller sends a request before a server exists")
def when_sent_early(context):
    host, _, port = context.address.partition(":")
    context.caller = socket.create_connection((host, int(port)))
    context.closers.append(context.caller.close)
    context.caller.sendall(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")


@then("a server on that address answers the request")
def then_answered_early(context):
    async def app(scope, receive, send):
        await send({"type": "http.response.start", "status": 204, "headers": []})
        await send({"type": "http.response.body", "body": b""})

    async def serve():
        server = HttpServer(app, address=context.address)
        context.caller.setblocking(False)
        async with anyio.create_task_group() as group:
            group.start_soon(server.run)
            answer = await asyncio.get_running_loop().sock_recv(context.caller, 100)
            server.stop()
        return answer

    assert b" 204 " in context.run(serve())


@then("SIGHUP is ignored")
def then_ignored(context):
    assert signal.getsignal(signal.SIGHUP) == signal.SIG_IGN


def start_program(context, role, ip):
    data_dir = context.folder / role
    data_dir.mkdir()
    settings = {
        "node_name": role,
        "zone": "zone",
        "ip": ip,
        "internal_ports": "7720,7730",
        "bootstrap": "true",
        "seed_nodes": f"{context.replica_ip}:8166",
    }
    if role == "cell":
        settings |= {"data_dir": data_dir, "bind_addrs.admin": f"{ip}:8166"}
    else:
        settings |= {
            "bind_addrs.client_addr": f"{ip}:8161",
            "bind_addrs.readiness": f"{ip}:8167",
        }
    file = context.folder / f"{role}.conf"
    file.write_text("".join(f"{name}={value}\n" for name, value in settings.items()))
    process = subprocess.Popen(
        [sys.executable, "deploy/start.py", role],
        env={**os.environ, FILE_VARIABLE: str(file)},
        stdout=subprocess.PIPE,
        text=True,
    )
    context.closers.append(process.kill)
    return process


def read_until(process, event):
    """Return the lines of a program up to the one of an event."""
    lines = []
    for line in process.stdout:
        lines.append(line)
        if f'"event": "{event}"' in line:
            return lines
    raise AssertionError(f"the program ended without {event!r}: {lines[-3:]}")


@given("a replica and an entry instance of a new cell as processes")
def given_programs(context):
    network = f"127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 256}"
    context.replica_ip = f"{network}.101"
    context.programs = [
        start_program(context, "cell", context.replica_ip),
        start_program(context, "entry", f"{network}.102"),
    ]


@when("the replica has dispatched jobs and both are stopped")
def when_dispatched(context):
    replica, entry = context.programs
    context.lines = read_until(replica, "inherited work is known") + read_until(entry, "starting")
    for process in context.programs:
        process.send_signal(signal.SIGTERM)
        context.lines += process.communicate()[0].splitlines(keepends=True)
        assert process.returncode == 0, context.lines[-5:]


@then("neither imported a module after its start")
def then_no_imports(context):
    late = [line for line in context.lines if "module imported after the start" in line]
    assert not late, late


@given("metrics with a counter of 3 and a value of 0.25 before the first scrape")
def given_early_metrics(context):
    context.metrics = Metrics(instance="i", zone="z")
    context.metrics.count("jobs", 1, state="done")
    context.metrics.count("jobs", 2, state="done")
    context.metrics.record("wait_seconds", 0.25, queue="q")


@when("they are scraped and the counter rises by 2 before the next scrape")
def when_scraped(context):
    context.scrapes = [context.metrics.render().decode()]
    context.metrics.count("jobs", 2, state="done")
    context.scrapes.append(context.metrics.render().decode())


@then("the scrapes show a counter of 3 and of 5, and the value once")
def then_scraped(context):
    for scrape, total in zip(context.scrapes, (3, 5), strict=True):
        line = next(x for x in scrape.splitlines() if x.startswith("jobs_total{"))
        assert 'state="done"' in line
        assert line.endswith(f" {total}.0"), line
        assert sum("wait_seconds_sum{" in x and x.endswith(" 0.25") for x in scrape.splitlines())


BORN_READERS = {
    "a heartbeat": lambda fields: (
        decode_heartbeat("i-1", json.dumps({**HEARTBEAT, **fields}).encode()).worker.born_ms
    ),
    "a list of runs": lambda fields: (
        decode_renewal(
            JsonResponse(200, {}, {"clock_ms": 5, "active": [], "finished": [], **fields})
        ).born_ms
    ),
    "a deregistration": lambda fields: decode_born_ms(json.dumps(fields).encode()),
}


@when("{what} of a worker that started at {value:d} ms is decoded")
def when_born_decoded(context, what, value):
    context.born_ms = BORN_READERS[what]({"born": value})


@when('{what} of a worker that started at "{value}" is decoded')
def when_invalid_born_decoded(context, what, value):
    values = {"true": True, "1.5": 1.5}
    context.born_ms = BORN_READERS[what]({"born": values.get(value, value)})


@then("it tells that the worker started at {value:d} ms")
def then_born(context, value):
    assert context.born_ms == value, context.born_ms


@then("it tells no start")
def then_no_born(context):
    assert context.born_ms == 0, context.born_ms
