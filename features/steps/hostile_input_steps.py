import asyncio
import json
import math
from unittest import mock

from behave import given, then, when
from hypothesis import HealthCheck, settings, strategies
from hypothesis import given as generate

from dewspindle._internal.exceptions import DewspindleError
from dewspindle._internal.jobs import session_manager
from dewspindle._internal.jobs.advice_helper import AdviceHelper
from dewspindle._internal.jobs.gateway import (
    ActiveTask,
    EndedTask,
    NoDefiniteAnswerError,
    RenewalOrder,
    WorkerEndpoint,
)
from dewspindle._internal.jobs.session import WorkerSession
from dewspindle._internal.models.ids import JobId
from dewspindle._internal.models.jobs import TaskRef
from dewspindle._internal.network.json_sender import JsonResponse, make_response
from dewspindle._internal.platform.advisor_client import decode_advice
from dewspindle._internal.platform.heartbeats import decode_heartbeat
from dewspindle._internal.platform.worker_client import decode_order, decode_renewal
from dewspindle._internal.schema import cell_pb2, jobs_pb2, peers_pb2, resources_pb2
from features.steps.platform_steps import HEARTBEAT, get_error_code, run_job, start_http_worker

GOOD_NAME = "5c0e7a21d94b36f8.0.1.17"
GOOD_TASK = TaskRef(JobId("5c0e7a21d94b36f8"), 0, 1, 17)
GOOD_ACTIVE = [GOOD_NAME, 2, "", 100, 480]
GOOD_ENDED = [1, GOOD_NAME, 1, "failed", ""]
IMPOSSIBLE_ATTEMPT = 2**52
EXAMPLES = 400


@when('a heartbeat with the id "{worker_id}" is decoded')
def when_heartbeat_decoded(context, worker_id):
    text = worker_id.encode().decode("unicode_escape") if "\\" in worker_id else worker_id
    context.code = get_error_code(lambda: decode_heartbeat(text, json.dumps(HEARTBEAT).encode()))


@when('a heartbeat with the id "" is decoded')
def when_empty_id(context):
    context.code = get_error_code(lambda: decode_heartbeat("", json.dumps(HEARTBEAT).encode()))


RECORDED_WORKERS = {
    "whose id has a zero byte": ("i-7f3a\x000091c2", ""),
    "whose id has a line feed": ("i-7f3a\n0091c2", ""),
    "whose address has a broken scope": ("i-7f3a0091c2", "[fe80::1%\x00]:1"),
}


@when("a worker {what} is recorded, and a job is run from submission to completion")
def when_recorded(context, what):
    worker_id, address = RECORDED_WORKERS[what]
    worker = jobs_pb2.CalledWorker(
        id=worker_id,
        pool="unnamed",
        address=address or context.stub_worker.address,
        capacity=resources_pb2.Resources(processors=8000, memory_mb=8000),
    )
    command = cell_pb2.Command(enlist_workers=jobs_pb2.EnlistWorkers(workers=[worker]))
    replica = context.instances[0]
    heartbeat = peers_pb2.WorkerBeat(worker=worker, sequence=1)

    async def record():
        leader = replica.leader
        await leader.propose(command, timeout_s=10, is_idempotent=True)
        await replica.leader_services.dispatcher.handle_heartbeat(heartbeat)
        job = asyncio.ensure_future(run_job(context))
        try:
            await asyncio.wait([job, *context.running], return_when=asyncio.FIRST_COMPLETED)
            assert job.done(), context.running
        finally:
            job.cancel()

    context.run(record())


@then("both instances are still running")
def then_running(context):
    assert not any(task.done() for task in context.running)


ROWS = {
    "an infinite number of an end": {"finished": [math.inf, GOOD_NAME, 1, "done", ""]},
    "an infinite attempt of an end": {"finished": [2, GOOD_NAME, math.inf, "done", ""]},
    "an infinite attempt of a running task": {"active": [GOOD_NAME, math.inf, "", 100, 1]},
    "an infinite share of a running task": {"active": [GOOD_NAME, 3, "", math.inf, 1]},
    "a processor use that is not a number": {"active": [GOOD_NAME, 3, "", 100, math.nan]},
    "a negative attempt": {"finished": [2, GOOD_NAME, -1, "done", ""]},
    "an attempt of 5000 digits in a name": {"active": ["a.0.0." + "9" * 5000, 1, "", 100]},
    "digits of another script in a name": {"active": ["a.0.0.\u0661", 1, "", 100]},
    "a kind of end that is a list": {"finished": [2, GOOD_NAME, 1, ["done"], ""]},
    "an object as a row": {"active": {"task": GOOD_NAME}},
    "a negative clock": {"clock_ms": -5},
    "a clock beyond any number of seconds": {"clock_ms": 10**400},
}


def serve_lists(context, *, active=None, finished=None, clock_ms=5):
    start_http_worker(context)
    context.stub_worker.responses["/hold"] = (
        200,
        {
            "clock_ms": clock_ms,
            "active": [GOOD_ACTIVE, *([active] if active else [])],
            "finished": [GOOD_ENDED, *([finished] if finished else [])],
        },
    )


@given("an HTTP worker that lists a valid row of each kind and {what}")
def given_rows(context, what):
    serve_lists(context, **ROWS[what])


@then("the valid rows are read")
def then_valid_read(context):
    lists = context.lists
    assert [(row.task, row.attempt) for row in lists.active] == [(GOOD_TASK, 2)], lists
    assert [(row.number, row.task) for row in lists.ended] == [(1, GOOD_TASK)], lists
    assert lists.clock_ms in (None, 5)


CHECKPOINTS = {"an unpaired surrogate": "\ud800", "null": None, "longer than 65536": "c" * 65537}


@given("an HTTP worker that lists an end whose checkpoint is {what}")
def given_checkpoint(context, what):
    serve_lists(context, finished=[2, GOOD_NAME, 2, "stopped", CHECKPOINTS[what]])


@then("the end is read with an empty checkpoint")
def then_empty_checkpoint(context):
    assert [(row.number, row.checkpoint) for row in context.lists.ended] == [(1, ""), (2, "")]


LARGE = b'"' + b"x" * (16 * 1024 * 1024) + b'"'
RESPONSES = {
    "nested 100000 deep": (b"[" * 100_000, 100_000),
    "larger than 16 MB": (LARGE, len(LARGE)),
    "larger than 16 MB in chunks": (LARGE, None),
    "cut off": (b'{"active":[', 100),
}


@given("an HTTP worker whose response is {what}")
def given_response(context, what):
    start_http_worker(context)
    context.stub_worker.raw_response = RESPONSES[what]


@then("there is no definite answer to a lease renewal")
def then_no_answer(context):
    endpoint = WorkerEndpoint("i-1", context.stub_worker.address)
    order = RenewalOrder(fencing_token=7, acknowledged_through=0, deadline_ms=None, wait_ms=0)

    async def renew():
        try:
            await context.worker_client.renew_lease(endpoint, order, timeout_s=5)
        except NoDefiniteAnswerError:
            return True
        return False

    assert context.run(renew())


@when("the advisor answers with ids and tickets that cannot be encoded and a valid one")
def when_bad_advice(context):
    rows = [["i-1", "c81e"], ["i-\ud800", "c81f"], ["i-2", "\ud800"], ["i-3", 7], ["\n", "c820"]]
    context.advice = decode_advice({"approved": rows, "validity_ms": 1500})


@given("an advisor whose calls fail with an unexpected error")
def given_failing_advisor(context):
    advisor = mock.Mock()
    advisor.advise = mock.AsyncMock(side_effect=OverflowError("value out of range"))
    context.advice_helper = AdviceHelper(advisor)


@then("a request for advice fails as {code}")
def then_advice_fails(context, code):
    async def ask():
        try:
            await context.advice_helper.answer(peers_pb2.AdviseRequest(job="a", workers=["i-1"]))
        except DewspindleError as error:
            return error.code
        return ""

    assert context.run(ask()) == code


def patch_renewals(context, change):
    """Change each answer of the first worker to a lease renewal."""
    worker = context.cell.fleet.workers[0]
    renew = worker.renew_lease

    async def renew_and_change(order):
        answer = await renew(order)
        change(answer)
        return answer

    worker.renew_lease = renew_and_change


def remember_leader(context):
    context.first_leader = context.cell.leader
    context.first_term = context.first_leader.replica.context.term


@when("a worker lists an end and a running task with attempts that no leader can have started")
def when_impossible(context):
    def add_rows(answer):
        jobs = list(context.cell.fleet.accepted)
        for task in [TaskRef(JobId(job), 0, 0, index) for job in jobs for index in (0, 1)]:
            answer.active.append(ActiveTask(task, IMPOSSIBLE_ATTEMPT, "", 100, None))
            answer.ended.append(
                EndedTask(IMPOSSIBLE_ATTEMPT, task, IMPOSSIBLE_ATTEMPT, jobs_pb2.END_FAILED, "")
            )

    patch_renewals(context, add_rows)
    remember_leader(context)


@when("each {call} of one worker fails with an unexpected error")
def when_call_fails(context, call):
    worker = context.cell.fleet.workers[0]
    remember_leader(context)

    def fail(*_):
        raise OverflowError("cannot convert float infinity to integer")

    setattr(worker, {"start": "start", "stop": "stop", "renewal": "renew_lease"}[call], fail)


@when("the {part} of one worker cannot be handled")
def when_part_fails(context, part):
    worker_id = context.cell.fleet.workers[0].id
    remember_leader(context)
    name = {"running tasks": "_process_running", "ended tasks": "_make_end"}[part]
    handle = getattr(WorkerSession, name)

    def fail_for_one(session, row):
        if session._worker.id == worker_id:
            raise ValueError("value out of range")
        return handle(session, row)

    setattr(WorkerSession, name, fail_for_one)
    context.closers.append(lambda: setattr(WorkerSession, name, handle))


@when("the departure of one worker cannot be handled, and it crashes")
def when_departure_fails(context):
    worker = context.cell.fleet.workers[0]
    remember_leader(context)
    report = WorkerSession._report_gone

    async def fail_for_one(session):
        if session._worker.id == worker.id:
            raise KeyError("job")
        await report(session)

    WorkerSession._report_gone = fail_for_one
    context.closers.append(lambda: setattr(WorkerSession, "_report_gone", report))

    async def crash():
        context.cell.fleet.replace(worker)

    context.run(crash())


@then("the same replica has led all the time")
def then_same_leader(context):
    leader = context.cell.leader
    assert leader is context.first_leader, context.cell.describe()
    assert all(node.failure is None for node in context.cell.nodes), context.cell.describe()
    assert leader.replica.context.term == context.first_term


@given("a limit of {count:d} workers")
def given_limit(context, count):
    patched = mock.patch.object(session_manager, "MAX_WORKERS", count)
    patched.start()
    context.closers.append(patched.stop)


@when("another writer sends heartbeats of {count:d} new workers")
def when_many_heartbeats(context, count):
    dispatcher = context.cell.leader.job_leader_services.dispatcher
    context.codes = []

    async def send(number):
        worker = jobs_pb2.CalledWorker(id=f"x{number}", pool="unnamed", address="10.9.9.9:80")
        try:
            await dispatcher.handle_heartbeat(peers_pb2.WorkerBeat(worker=worker, sequence=1))
        except DewspindleError as error:
            context.codes.append(error.code)

    async def send_all():
        for number in range(count):
            context.cell.start_soon(send, number)
        await context.cell.clock.advance(1.0)

    context.run(send_all())


@then("at most {count:d} workers are recorded, and the others are refused as {code}")
def then_bounded(context, count, code):
    recorded = context.cell.leader.replica.context.view.state.job_store.workers
    assert len(recorded) == count, len(recorded)
    assert set(context.codes) == {code}


TEXT = strategies.text(strategies.characters(exclude_categories=()), max_size=12)
NUMBERS = strategies.one_of(
    strategies.integers(),
    strategies.integers(min_value=2**31, max_value=2**70),
    strategies.floats(),
    strategies.just(10**400),
)
SCALARS = strategies.one_of(strategies.none(), strategies.booleans(), NUMBERS, TEXT)
ANYTHING = strategies.recursive(
    SCALARS,
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=5), strategies.dictionaries(TEXT, inner, max_size=4)
    ),
    max_leaves=8,
)
NAMES = strategies.one_of(
    strategies.just(GOOD_NAME), strategies.from_regex(r"[a-z0-9]{0,3}(\.[^.]{0,3}){0,4}"), SCALARS
)
KINDS = strategies.one_of(strategies.sampled_from(["done", "failed", "stopped"]), ANYTHING)
ACTIVE_ROWS = strategies.one_of(
    strategies.tuples(NAMES, SCALARS, SCALARS, SCALARS, SCALARS), ANYTHING
)
ENDED_ROWS = strategies.one_of(strategies.tuples(SCALARS, NAMES, SCALARS, KINDS, SCALARS), ANYTHING)


def search(strategy, check):
    """Check generated values; the seed is fixed."""
    bounds = settings(
        max_examples=EXAMPLES,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    bounds(generate(strategy)(check))()


def send_json(value):
    """Return a value as it arrives in a response, so that only JSON is left."""
    content = json.dumps(value, default=list).encode()
    headers = [("content-type", "application/json")]
    return make_response("worker", status=200, headers=headers, content=content)


@then("any JSON as a worker's task lists gives ends that can be committed, or no definite answer")
def then_any_lists(context):
    lists = strategies.fixed_dictionaries(
        {
            "active": strategies.one_of(strategies.lists(ACTIVE_ROWS, max_size=3), ANYTHING),
            "finished": strategies.one_of(strategies.lists(ENDED_ROWS, max_size=3), ANYTHING),
        },
        optional={"clock_ms": ANYTHING, "born": ANYTHING},
    )

    def check(body):
        response = send_json(body)
        try:
            answer = decode_renewal(response)
        except NoDefiniteAnswerError:
            return
        ends = [
            jobs_pb2.TaskEnd(
                job=end.task.job,
                attempt=end.attempt,
                kind=end.kind,
                checkpoint=end.checkpoint,
            )
            for end in answer.ended
        ]
        jobs_pb2.ReportEnds(ends=ends).SerializeToString()
        for task in answer.active:
            task.checkpoint.encode()
            assert task.processors is None or math.isfinite(task.processors)
            assert 0 <= task.attempt < 2**63
        assert answer.clock_ms is None or 0 <= answer.clock_ms < 2**63
        for status in (200, 409, 429, 500):
            try:
                decode_order(JsonResponse(status, {}, body))
            except NoDefiniteAnswerError:
                continue

    search(strategies.one_of(lists, ANYTHING), check)


@then("any id and JSON as a heartbeat gives a worker that can be called, or is refused")
def then_any_heartbeat(context):
    fields = strategies.fixed_dictionaries(
        {},
        optional={
            name: strategies.one_of(strategies.just(value), ANYTHING)
            for name, value in BEAT.items()
        },
    )
    ids = strategies.one_of(strategies.just("i-1"), TEXT)

    def check(pair):
        worker_id, body = pair
        try:
            heartbeat = decode_heartbeat(worker_id, json.dumps({**BEAT, **body}).encode())
        except DewspindleError:
            return
        heartbeat.SerializeToString()
        assert heartbeat.worker.id.isascii()
        assert heartbeat.worker.id.isprintable()

    search(strategies.tuples(ids, fields), check)


BEAT = {**HEARTBEAT, "address": "10.0.0.1:80", "born": 5, "remaining_ms": 3}


@then("any JSON as an advice gives approvals that can be sent on, or no definite answer")
def then_any_advice(context):
    rows = strategies.one_of(strategies.tuples(SCALARS, SCALARS), ANYTHING)
    advice = strategies.fixed_dictionaries(
        {
            "approved": strategies.one_of(strategies.lists(rows, max_size=4), ANYTHING),
            "validity_ms": NUMBERS,
        }
    )

    def check(body):
        try:
            decoded = decode_advice(send_json(body).body)
        except NoDefiniteAnswerError:
            return
        answer = peers_pb2.AdviseAnswer(validity_ms=int(decoded.validity_s * 1000))
        for worker, ticket in decoded.tickets.items():
            answer.approvals.add(worker=worker, ticket=ticket)
        answer.SerializeToString()

    search(advice, check)
