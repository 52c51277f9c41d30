from unittest import mock

from behave import given, then, when

from bench.job_model import JobModel, play
from dewspindle._internal.jobs import early_gangs
from dewspindle._internal.jobs.placements import Placement, PlacementPhase
from dewspindle._internal.jobs.runs import JobRun
from dewspindle._internal.models.ids import JobId
from dewspindle._internal.models.jobs import TaskRef
from dewspindle._internal.models.resources import Amounts
from dewspindle._internal.scheduling import job_advice
from dewspindle._internal.scheduling.gang_workers import (
    Release,
    WorkerOutlook,
    choose_earliest_workers,
)
from dewspindle._internal.schema import jobs_pb2, resources_pb2

USUAL_LOAD_PERCENT = 88  # Of the model's arrivals, in percent of the cores of its workers.
TASK = Amounts(processors=10_000, memory_mb=1)


@given(
    "a planner of jobs over {count:d} workers of 32 cores, "
    "of which {full:d} are full for {seconds:d} seconds"
)
def given_planner(context, count, full, seconds):
    context.model = JobModel(workers=count, load=0.0, seed=1, kinds=())
    context.requests = []
    context.model.advisor.ask = context.requests.append
    context.jobs = 0
    context.is_lasting = False
    for worker in list(context.model.fleet)[:full]:
        worker.add(
            Placement(
                key=(JobId("other"), 0),
                task=TaskRef(JobId("other"), 0, 0, 0),
                attempt=1,
                amounts=worker.capacity,
                worker=worker,
                phase=PlacementPhase.RUNNING,
                placed_at=0.0,
                estimate_s=seconds,
            )
        )
    context.advisor = None


@given("an advisor whose requests may list {listed:d} workers, of which it approves one in two")
@given("an advisor whose requests may list {listed:d} workers, of which it approves one in one")
def given_advisor(context, listed):
    per_worker_ms = 500 * job_advice.DECISION_TIME_FRACTION / listed
    context.advisor = jobs_pb2.Advisor(decision_ms=500, per_worker_ms=per_worker_ms)


def submit(context, count, *, processors, estimate_s, gang, priority):
    queue = jobs_pb2.Queue(name=f"q{priority}", pool="pool", priority=priority, slack_factor=4)
    if context.advisor is not None:
        queue.advisor.CopyFrom(context.advisor)
    spec = jobs_pb2.JobSpec()
    spec.steps.add(
        count=count,
        resources=resources_pb2.Resources(processors=processors),
        estimate_ms=int(estimate_s * 1000),
        gang=gang,
        long_running=context.is_lasting,
    )
    context.jobs += 1
    message = jobs_pb2.Job(id=f"{context.jobs:016x}", queue=queue, spec=spec)
    stored = context.model.store.add(message)
    run = JobRun(stored, queue=queue, accepted_at=0.0, is_inherited=False)
    context.model.planner.add(run)
    return stored.id


def plan(context):
    return context.model.planner.plan(workers_reconciled=True, early_ms=0)


@when("a gang of {count:d} tasks of {cores:d} cores waits")
def when_gang_waits(context, count, cores):
    submit(context, count, processors=cores * 1000, estimate_s=4, gang=True, priority=1)
    assert not plan(context)


@then(
    "the requests for advice list more than {count:d} workers, each once, "
    "and at most {most:d} a request"
)
def then_listed(context, count, most):
    listed = [worker for request in context.requests for worker in request.workers]
    assert len(listed) > count, listed
    assert len(listed) == len(set(listed)), listed
    assert max(len(request.workers) for request in context.requests) <= most


@then("full workers are among them")
def then_full_listed(context):
    listed = {worker for request in context.requests for worker in request.workers}
    assert any(context.model.fleet.get(worker).placements for worker in listed)


@when("its requests for advice are answered")
def when_answered(context):
    for request in context.requests:
        advice = context.model.advisor.get(request.key)
        advice.record_decision(
            request.workers, dict.fromkeys(request.workers, "t"), expires_at=100.0
        )
    context.requests.clear()


@when("the advisor refuses the workers that were set aside for it")
def when_refused(context):
    plan(context)
    context.refused = context.model.planner._set_aside_before
    assert context.refused
    for advice in context.model.advisor._steps.values():
        advice.record_decision(context.refused, {}, expires_at=100.0)


@then("none of these workers is set aside for it")
def then_others_set_aside(context):
    plan(context)
    now = context.model.planner._set_aside_before
    assert now and now.isdisjoint(context.refused), now & context.refused


@then("no more advice is requested for it")
def then_no_request(context):
    plan(context)
    assert not context.requests, context.requests


@then("it is reported to lack {reason}")
def then_reported(context, reason):
    assert context.model.planner.measure_load()["wait_reasons"] == {reason: 1}


@given("workers that have room for tasks of the gang as follows")
def given_outlooks(context):
    context.outlooks = []
    for row in context.table:
        now, soon, late = (int(row[name]) for name in ("now", "after 1 s", "after 3 s"))
        context.outlooks.append(
            WorkerOutlook(
                row["worker"],
                TASK * now,
                [Release(1.0, TASK * (soon - now)), Release(3.0, TASK * (late - soon))],
            )
        )


@then("a gang of {size:d} has {names} set aside for {seconds:d} second")
@then("a gang of {size:d} has {names} set aside for {seconds:d} seconds")
def then_set_aside(context, size, names, seconds):
    chosen = choose_earliest_workers(TASK, size, context.outlooks, now=0.0)
    assert sorted(chosen.workers) == names.replace(" and ", ", ").split(", "), chosen
    assert chosen.ready_at == seconds


@then("a gang of {size:d} has nothing set aside")
def then_none_set_aside(context, size):
    assert choose_earliest_workers(TASK, size, context.outlooks, now=0.0) is None


@given("a gang that needs all workers at once waits")
def given_gang_of_all(context):
    with mock.patch.object(early_gangs, "MAX_SET_ASIDE_FRACTION", 1.0):
        submit(context, 4, processors=32_000, estimate_s=4, gang=True, priority=1)
        assert not plan(context)


@given("the tasks that fill them run until they are stopped")
def given_lasting(context):
    for worker in context.model.fleet:
        for placement in worker.placements.values():
            placement.is_lasting = True


@when("a task of lower priority that runs until it is stopped arrives")
def when_lasting_arrives(context):
    context.is_lasting = True
    when_task_arrives(context, 0)


@when("a task of {seconds:d} seconds and of lower priority arrives")
def when_task_arrives(context, seconds):
    context.task = submit(context, 1, processors=1000, estimate_s=seconds, gang=False, priority=2)
    with mock.patch.object(early_gangs, "MAX_SET_ASIDE_FRACTION", 1.0):
        context.started = {start.unit.step.run.stored.id for start in plan(context)}


@then("it starts")
def then_starts(context):
    assert context.task in context.started


@then("it waits")
def then_waits(context):
    assert context.task not in context.started


@when(
    "{percent:d} percent of the cores of {workers:d} workers are asked for, "
    "with and without the rules for gangs"
)
def when_played(context, percent, workers):
    options = {"workers": workers, "load": percent / USUAL_LOAD_PERCENT, "seconds": 15, "seed": 1}
    context.with_rules = play(**options)["worth_by_kind"]
    with (
        mock.patch.object(early_gangs, "MAX_WAITING_GANGS", 0),
        mock.patch.object(job_advice, "GANG_CHOICE_FACTOR", 1.0),
        mock.patch.object(job_advice, "GANG_ROOM_FACTOR", 0.0),
    ):
        context.without = play(**options)["worth_by_kind"]


@then("gangs earn at least {worth:g} with the rules, and {more:g} more than without")
def then_gangs_earn(context, worth, more):
    gained = (context.without["report"], context.with_rules["report"])
    assert gained[1] >= worth, gained
    assert gained[1] >= gained[0] + more, gained


@then("jobs of the other kinds earn at least {worth:g}")
def then_others_earn(context, worth):
    others = {name: x for name, x in context.with_rules.items() if name != "report"}
    assert min(others.values()) >= worth, others
