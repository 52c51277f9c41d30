import random

from behave import given, then, when

from dewspindle._internal.cell.jobs import JobStore
from dewspindle._internal.jobs.gateway import OrderOutcome, RenewalAnswer
from dewspindle._internal.jobs.runs import ATTEMPTS_PER_TERM
from dewspindle._internal.schema import cell_pb2, jobs_pb2, peers_pb2
from features.lib.job_cell import HOST, PREFIX
from features.lib.stepping import advance
from features.steps.job_steps import make_plan, make_step

OTHER_PREFIX = "/other/"
JOB_ID = "00000000000000aa"


def send(context, call, path, *, body_bytes=0, key_digest=b""):
    """Send a request to the leader and return its answer."""
    plan = context.cell.fleet.plans.setdefault(path.rpartition("/")[2], make_plan(make_step(1)))
    request = peers_pb2.JobRequest(
        call=call, host=HOST, path=path, body_bytes=body_bytes, key_digest=key_digest
    )
    if call == peers_pb2.JOB_SUBMIT:
        request.spec.CopyFrom(plan.spec)
    answers = []

    async def relay():
        relayed = peers_pb2.RelayJobsRequest(requests=[request])
        services = context.cell.leader.job_leader_services
        answers.extend((await services._relay_jobs(relayed)).answers)

    context.run(start(context, relay))
    advance(context, 1)
    return answers[0]


async def start(context, call):
    context.cell.start_soon(call)


def put_table(context, change):
    """Commit a newer queue table, changed by a function."""
    leader = context.cell.leader
    table = jobs_pb2.QueueTable()
    table.CopyFrom(leader.replica.context.view.state.job_store.queue_table)
    table.version += 1
    change(table)

    async def propose():
        await leader.replica.propose(cell_pb2.Command(queue_table=table))

    context.run(start(context, propose))
    advance(context, 1)


@given("a second queue")
def given_second_queue(context):
    def add_queue(table):
        queue = table.queues.add()
        queue.CopyFrom(table.queues[0])
        queue.name, queue.path_prefix = "other", OTHER_PREFIX

    put_table(context, add_queue)


@given("a queue table that allows {limit:d} bytes a submission")
def given_limit(context, limit):
    def set_limit(table):
        table.max_body_bytes = limit

    put_table(context, set_limit)


@when("a job is submitted with the id {job_id}")
def when_id_submitted(context, job_id):
    context.answer = send(context, peers_pb2.JOB_SUBMIT, PREFIX + job_id)
    advance(context, 3)


@when("a job is submitted with a body of {size:d} bytes")
def when_body_submitted(context, size):
    context.answer = send(context, peers_pb2.JOB_SUBMIT, PREFIX + JOB_ID, body_bytes=size)


@when("a job is submitted to each of the two queues with the same id")
def when_both_submitted(context):
    context.answers = [
        send(context, peers_pb2.JOB_SUBMIT, prefix + JOB_ID) for prefix in (PREFIX, OTHER_PREFIX)
    ]


@then("the answer is {status:d} with the code {code}")
def then_answer(context, status, code):
    expected = (status, "" if code == "none" else code)
    assert (context.answer.status, context.answer.code) == expected, context.answer


@then("no task was started")
def then_none_started(context):
    assert not context.cell.fleet.starts, context.cell.fleet.starts


@then("the first submission is answered with 200, the second with 409 and the code {code}")
def then_answers(context, code):
    assert [(a.status, a.code) for a in context.answers] == [(200, ""), (409, code)]


@then("the second queue has no job of this id to read or to cancel")
def then_not_in_second(context):
    for call in (peers_pb2.JOB_READ, peers_pb2.JOB_CANCEL):
        answer = send(context, call, OTHER_PREFIX + JOB_ID)
        assert (answer.status, answer.code) == (410, "no-such-job"), answer


@then("the job of the first queue succeeds")
def then_first_succeeds(context):
    advance(context, 5)
    assert context.cell.get_state(JOB_ID) == jobs_pb2.JOB_SUCCEEDED


@when("the leader has used all attempt numbers of its term but one")
def when_attempts_used(context):
    advance(context, 0.2)  # Until the job is accepted.
    dispatcher = context.cell.leader.job_leader_services.dispatcher
    assert len(dispatcher.jobs)
    context.first_term = dispatcher._term
    for run in dispatcher.jobs:
        for unit in run.list_units():
            unit.attempt = ATTEMPTS_PER_TERM - 1


@then("the attempts of each term lie in the range of that term")
def then_in_range(context):
    attempts = [n for items in context.cell.fleet.starts.values() for _, n in items]
    assert attempts, "no task was started"
    assert context.cell.leader.job_leader_services.dispatcher._term > context.first_term
    for attempt in attempts:
        assert attempt > ATTEMPTS_PER_TERM, attempts


@when("one worker with tasks rejects each lease renewal")
def when_renewals_rejected(context):
    worker = next(w for w in context.cell.fleet.workers if w.runs)

    async def reject(order):
        worker.tick()
        return RenewalAnswer(OrderOutcome.UNHEALTHY, worker.clock_ms, [], [], is_incomplete=True)

    worker.renew_lease = reject
    for run in worker.runs.values():
        run.ends_at = float("inf")


@given("a queue table of {count:d} queues on {hosts:d} hosts, some with prefixes of others")
def given_large_table(context, count, hosts):
    rng = random.Random(1)
    table = jobs_pb2.QueueTable(version=1)
    for number in range(count):
        # A small alphabet makes many prefixes begin with others.
        prefix = "/" + "".join(rng.choice("ab/") for _ in range(rng.randrange(1, 12)))
        table.queues.add(name=f"q{number}", host=f"host-{rng.randrange(hosts)}", path_prefix=prefix)
    context.store = JobStore()
    context.store.queue_table = table
    context.paths = [
        (f"host-{rng.randrange(hosts + 1)}", "/" + "".join(rng.choice("ab/") for _ in range(14)))
        for _ in range(300)
    ]


@then("each path leads to the queue with the longest prefix, or to none")
def then_longest(context):
    found = 0
    for host, path in context.paths:
        matching = [
            queue.path_prefix
            for queue in context.store.queue_table.queues
            if queue.host == host and path.startswith(queue.path_prefix)
        ]
        queue = context.store.find_queue(host, path)
        assert (queue.path_prefix if queue else "") == max(matching, key=len, default="")
        found += queue is not None
    assert 0 < found < len(context.paths)
