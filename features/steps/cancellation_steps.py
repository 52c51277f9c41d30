from behave import given, then, when

from dewspindle._internal.cell.state import CellState
from dewspindle._internal.exceptions import NotLeaderError, OutcomeUnknownError
from dewspindle._internal.schema import cell_pb2, jobs_pb2, peers_pb2
from dewspindle._internal.utils.key_digests import compute_key_digest
from features.lib.job_cell import HOST, PREFIX
from features.lib.stepping import advance
from features.steps.job_request_steps import JOB_ID, OTHER_PREFIX, put_table, start
from features.steps.job_steps import make_plan, make_step
from features.steps.replication_steps import FAULTS, when_all_restart

RUN_S = 30.0  # Longer than any scenario, so that a job that is not cancelled is seen to run.


def make_request(context, call, *, prefix=PREFIX, key=""):
    """Return a request for the job of the scenario."""
    request = peers_pb2.JobRequest(call=call, host=HOST, path=prefix + JOB_ID)
    request.key_digest = compute_key_digest(key) if key else b""
    if call == peers_pb2.JOB_SUBMIT:
        plan = context.cell.fleet.plans.setdefault(JOB_ID, make_plan(make_step(1), run_s=RUN_S))
        request.spec.CopyFrom(plan.spec)
    return request


def count_starts(context):
    return sum(map(len, context.cell.fleet.starts.values()))


def send_batch(context, *requests):
    """Send requests to the leader as one batch; their answers are added to `context.answers`."""
    cell = context.cell

    async def relay():
        relayed = peers_pb2.RelayJobsRequest(requests=list(requests))
        answer = await cell.leader.job_leader_services._relay_jobs(relayed)
        for request, single in zip(requests, answer.answers, strict=True):
            context.answers[request.call] = single
            if request.call == peers_pb2.JOB_CANCEL:
                context.starts_before = count_starts(context)

    context.run(start(context, relay))


def lose_leader(context):
    async def lose():
        FAULTS["kill"](context.cell, context.cell.leader)

    context.run(lose())


@when("a job is submitted and cancelled, and the cancellation arrives {moment}")
def when_submitted_and_cancelled(context, moment):
    submit = make_request(context, peers_pb2.JOB_SUBMIT)
    cancel = make_request(context, peers_pb2.JOB_CANCEL)
    context.answers = {}
    if moment.startswith("in the same batch"):
        batch = (cancel, submit) if moment.endswith("first") else (submit, cancel)
        send_batch(context, *batch)
    elif moment == "while the submission is committed":
        send_batch(context, submit)
        send_batch(context, cancel)
    else:
        send_batch(context, cancel)
        advance(context, 0.5)
        if moment.endswith("next leader"):
            lose_leader(context)
            advance(context, 3)
        elif moment.endswith("restart"):
            when_all_restart(context)
            advance(context, 3)
        send_batch(context, submit)
    advance(context, 0.5)


@when("the job is submitted again")
def when_submitted_again(context):
    send_batch(context, make_request(context, peers_pb2.JOB_SUBMIT))
    advance(context, 0.5)


@when("a job of the first queue is cancelled in the second one, and then submitted")
def when_cancelled_elsewhere(context):
    context.answers = {}
    send_batch(context, make_request(context, peers_pb2.JOB_CANCEL, prefix=OTHER_PREFIX))
    advance(context, 0.5)
    context.cell.fleet.plans[JOB_ID] = make_plan(make_step(1))
    send_batch(context, make_request(context, peers_pb2.JOB_SUBMIT))


@given("teams a and b with a key each")
def given_teams(context):
    def add_teams(table):
        table.requires_keys = True
        for name in ("a", "b"):
            table.teams.add(name=name, key_digests=[compute_key_digest(name)], weight=1000.0)

    put_table(context, add_teams)


@when("a job of team a is cancelled by team b while its submission is committed")
def when_cancelled_by_other(context):
    context.answers = {}
    context.cell.fleet.plans[JOB_ID] = make_plan(make_step(1))
    send_batch(context, make_request(context, peers_pb2.JOB_SUBMIT, key="a"))
    send_batch(context, make_request(context, peers_pb2.JOB_CANCEL, key="b"))


@when("a batch submits a job and cancels another, and the leader is deposed after one commit")
def when_deposed_after_commit(context):
    cell = context.cell
    replica = cell.leader.replica
    cancel = make_request(context, peers_pb2.JOB_CANCEL)
    cancel.path = PREFIX + context.last_job
    batch = peers_pb2.RelayJobsRequest(
        requests=[make_request(context, peers_pb2.JOB_SUBMIT), cancel]
    )
    propose, committed = replica.propose, []

    async def propose_once(command):
        if command.WhichOneof("body") != "report_ends" and committed:
            raise NotLeaderError("this replica is not the leader any more")
        committed.append(command)
        return await propose(command)

    async def relay():
        replica.propose = propose_once
        try:
            context.outcome = await cell.leader.job_leader_services._relay_jobs(batch)
        except (NotLeaderError, OutcomeUnknownError) as error:
            context.outcome = error
        finally:
            replica.propose = propose

    context.outcome = None
    advance(context, 1)
    context.run(start(context, relay))
    advance(context, 1)


@then("either the batch is answered or its job is not stored")
def then_consistent(context):
    assert context.outcome is not None
    is_without_effect = isinstance(context.outcome, NotLeaderError)
    assert not (is_without_effect and context.cell.get_state(JOB_ID) is not None), context.outcome


@when("a job that was never submitted is cancelled")
def when_unknown_cancelled(context):
    context.answers = {}
    send_batch(context, make_request(context, peers_pb2.JOB_CANCEL))
    advance(context, 0.5)
    assert context.answers[peers_pb2.JOB_CANCEL].status == 410
    # The table is part of a snapshot.
    state = context.cell.leader.replica.context.view.state
    restored = CellState()
    restored.restore(cell_pb2.CellSnapshot.FromString(state.serialize()))
    assert len(restored.job_store.cancelled_ids) == len(state.job_store.cancelled_ids) == 1


@then("the cancellation was answered with {status:d}")
def then_cancellation_answered(context, status):
    assert context.answers[peers_pb2.JOB_CANCEL].status == status, context.answers


@then("the submission was answered with {status:d}")
def then_submission_answered(context, status):
    assert context.answers[peers_pb2.JOB_SUBMIT].status == status, context.answers


@then("no task of the job has started since, none runs, and it is shown as cancelled")
def then_nothing_started(context):
    assert count_starts(context) == context.starts_before, context.cell.fleet.starts
    assert not any(worker.runs for worker in context.cell.fleet.workers)
    assert context.cell.get_state(JOB_ID) == jobs_pb2.JOB_CANCELLED


@then("no cancelled id is remembered")
def then_forgotten(context):
    assert not len(context.cell.leader.replica.context.view.state.job_store.cancelled_ids)
