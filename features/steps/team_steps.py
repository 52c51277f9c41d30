from unittest import mock

from behave import given, then, when

from dewspindle._internal.exceptions import NotLeaderError
from dewspindle._internal.models.resources import NO_RESOURCES
from dewspindle._internal.scheduling.admission import Backlog
from dewspindle._internal.schema import jobs_pb2, peers_pb2, resources_pb2
from dewspindle._internal.utils.key_digests import compute_key_digest
from features.lib.job_cell import HOST, PREFIX
from features.lib.stepping import advance
from features.steps.job_request_steps import put_table, start
from features.steps.job_steps import allocate_job_id, make_plan, make_step

CALLS = {
    "read": peers_pb2.JOB_READ,
    "cancel": peers_pb2.JOB_CANCEL,
    "submit": peers_pb2.JOB_SUBMIT,
}
WEIGHT = 1000.0  # Admission has a feature of its own.
TEAM_BY_KEY = {"r1": "red", "r2": "red", "b1": "blue"}


def digest(key):
    return compute_key_digest(key) if key else b""


@given('the teams "red" with the keys "r1,r2" and "blue" with the key "b1"')
def given_teams(context):
    def add_teams(table):
        table.requires_keys = True
        for name, keys in (("red", ("r1", "r2")), ("blue", ("b1",))):
            table.teams.add(name=name, key_digests=map(digest, keys), weight=WEIGHT)

    put_table(context, add_teams)


@given('the cap of "{team}" is {processors:d} millicores')
@when('the cap of "{team}" changes to {processors:d} millicores as they run')
def given_cap(context, team, processors):
    def set_cap(table):
        found = next(entry for entry in table.teams if entry.name == team)
        found.cap.CopyFrom(resources_pb2.Resources(processors=processors))

    put_table(context, set_cap)
    context.cell.fleet.caps[team] = processors


@when("all teams are removed as they run")
def when_removed(context):
    def remove_teams(table):
        del table.teams[:]

    context.cell.fleet.caps.clear()  # The table may take effect before its acknowledgement.
    put_table(context, remove_teams)


@given("the queue is public")
def given_public(context):
    def set_public(table):
        table.queues[0].is_public = True

    put_table(context, set_public)


def relay(context, call, job_id, key, *, count=1):
    """Send the same request at once several times, and return the answers."""
    request = peers_pb2.JobRequest(
        call=call, host=HOST, path=PREFIX + job_id, key_digest=digest(key)
    )
    if call == peers_pb2.JOB_SUBMIT:
        request.spec.CopyFrom(context.cell.fleet.plans[job_id].spec)
    answers = []

    async def send():
        services = context.cell.leader.job_leader_services
        answer = await services._relay_jobs(peers_pb2.RelayJobsRequest(requests=[request]))
        answers.extend(answer.answers)

    for _ in range(count):
        context.run(start(context, send))
    advance(context, 0.5)
    return answers


def submit(context, key, plan, *, count=1):
    job_id = allocate_job_id(context)
    fleet = context.cell.fleet
    fleet.plans[job_id] = plan
    if key in TEAM_BY_KEY:
        fleet.teams[job_id] = TEAM_BY_KEY[key]
    answers = relay(context, peers_pb2.JOB_SUBMIT, job_id, key, count=count)
    if all(answer.status == 200 for answer in answers):
        fleet.accepted.add(job_id)
    context.answer = answers[-1]
    return answers


@given('a job that the key "{key}" submitted')
def given_job(context, key):
    submit(context, key, make_plan(make_step(1), run_s=20.0))


@given('a job of {count:d} tasks that the key "{key}" submitted')
def given_wide_job(context, key, count):
    submit(context, key, make_plan(make_step(count), run_s=3.0))


@when('the key "{key}" submits a job of {count:d} tasks and {seconds:g} seconds pass')
def when_submitted(context, key, count, seconds):
    submit(context, key, make_plan(make_step(count)))
    advance(context, seconds)


@when('the key "{key}" is used to {call} it')
def when_used(context, key, call):
    context.answer = relay(context, CALLS[call], context.last_job, key)[0]


@when('the key "" is used to {call} it')
def when_used_without(context, call):
    when_used(context, "", call)


@when('the key "" is used to submit a job')
def when_submitted_without(context):
    submit(context, "", make_plan(make_step(1)))


@when('the key "{key}" is used to submit a gang of {count:d} tasks')
def when_gang(context, key, count):
    submit(context, key, make_plan(make_step(count, gang=True)))


@when("the workers that run it are cut off, the leader is lost, and 1 second passes")
def when_cut_off(context):
    for worker in context.cell.fleet.workers:
        worker.is_cut_off = bool(worker.runs)
    context.run(kill_leader(context))
    advance(context, 1)
    assert any(worker.runs for worker in context.cell.fleet.workers)


@when('the key "{key}" submits the same job in {count:d} requests at once')
def when_doubled(context, key, count):
    def limit_rate(table):
        table.teams[0].weight = 0.1

    put_table(context, limit_rate)
    # Leaves one token and no spare capacity, so that only the first request may be accepted anew.
    admission = context.cell.leader.job_leader_services.dispatcher.admission
    admission.update_backlog(Backlog(spare=NO_RESOURCES, waits_s=((0, 5.0),)))
    with mock.patch.object(admission, "update_backlog"):
        for _ in range(2):
            submit(context, key, make_plan(make_step(1)))
        context.answers = submit(context, key, make_plan(make_step(1)), count=count)


@then("each of them is answered with 200")
def then_all_accepted(context):
    assert [answer.status for answer in context.answers] == [200] * 8, context.answers


@when('the key "{key}" is {change}, and the {leader} leader is asked with it to read the job')
def when_changed(context, key, change, leader):
    def withdraw(table):
        table.teams[0].key_digests.remove(digest(key))

    def add(table):
        table.teams[0].key_digests.append(digest(key))

    put_table(context, withdraw)
    if change == "added":
        put_table(context, add)
    if leader == "next":
        context.run(kill_leader(context))
        advance(context, 4)
    context.answer = relay(context, peers_pb2.JOB_READ, context.last_job, key)[0]


@when('the key "{old}" is withdrawn, and the same leader is asked with "{key}" to submit the job')
def when_sent_again(context, old, key):
    when_changed(context, old, "withdrawn", "same")
    context.answer = relay(context, peers_pb2.JOB_SUBMIT, context.last_job, key)[0]


async def kill_leader(context):
    context.cell.leader.kill()


@when(
    'the leader is paused, the key "{key}" is withdrawn, and the leader is asked with it as it '
    "resumes"
)
def when_paused(context, key):
    paused = context.cell.leader

    def withdraw(table):
        table.teams[0].key_digests.remove(digest(key))

    async def pause():
        paused.timers.pause()

    async def resume_and_ask():
        paused.timers.resume()
        request = peers_pb2.JobRequest(
            call=peers_pb2.JOB_READ,
            host=HOST,
            path=PREFIX + context.last_job,
            key_digest=digest(key),
        )
        try:
            await paused.job_leader_services._relay_jobs(
                peers_pb2.RelayJobsRequest(requests=[request])
            )
        except NotLeaderError as error:
            context.error = error

    context.run(pause())
    advance(context, 4)
    assert context.cell.leader is not paused
    put_table(context, withdraw)
    context.error = None
    context.run(resume_and_ask())


@then("the paused leader refused to answer")
def then_refused(context):
    assert context.error is not None


@then('"{team}" used {processors:d} millicores at most, and no less')
def then_used(context, team, processors):
    assert context.cell.fleet.most_used[team] == processors


@then("the last job succeeded")
def then_last_succeeded(context):
    assert context.cell.get_state(context.last_job) == jobs_pb2.JOB_SUCCEEDED
