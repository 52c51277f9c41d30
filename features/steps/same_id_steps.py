from behave import given, when

from dewspindle._internal.jobs.gateway import ActiveTask, StartOrder
from dewspindle._internal.models.ids import JobId
from dewspindle._internal.models.jobs import TaskRef
from features.lib.stepping import advance
from features.steps.job_steps import make_plan, make_step, start_in_background, submit_job


@given("crashed workers that keep their ids")
def given_kept_ids(context):
    context.cell.fleet.keeps_ids = True


@when("all workers start again under their ids")
def when_all_restart(context):
    fleet = context.cell.fleet

    async def restart():
        for worker in list(fleet.workers):
            fleet.replace(worker, keeps_id=True)

    context.run(restart())


@when("a worker whose answers are lost is named at the address of another by a late heartbeat")
def when_named_elsewhere(context):
    fleet = context.cell.fleet
    worker, other = fleet.workers
    assert worker.runs and other.runs
    worker.loses_answers = True
    worker.sends_heartbeats = False
    heartbeat = fleet.make_heartbeat(worker)
    heartbeat.worker.address = other.address
    heartbeat.worker.born_ms -= 60_000
    start_in_background(context, fleet.send_to_leader, heartbeat)
    advance(context, 4)
    worker.loses_answers = False
    worker.sends_heartbeats = True


@when("{count:d} jobs of {tasks:d} tasks are submitted and {seconds:d} seconds pass")
def when_jobs_submitted(context, count, tasks, seconds):
    for _ in range(count):
        submit_job(context, make_plan(make_step(tasks)))
    advance(context, seconds)


@when("a task that waits is started late on a worker, {lead:d} ms before there is room for it")
def when_started_late(context, lead):
    cell = context.cell
    submit_job(context, make_plan(make_step(1), run_s=3.0))
    task = TaskRef(JobId(context.last_job), 0, 0, 0)

    async def start_late():
        worker, other = cell.fleet.workers
        assert await cell.clock.advance_until(lambda: len(other.runs) == 8, seconds=2)
        ends_at = next(iter(other.runs.values())).ends_at
        await cell.clock.advance(ends_at - cell.clock.now - lead / 1000)
        # Makes room on the first worker, so that only the run itself is at stake.
        worker.runs.pop(next(iter(worker.runs)))
        token = worker.token
        worker.start(StartOrder(task, 1, "payload", worker.clock_ms + 9000, token, "", ""))
        dispatcher = cell.leader.job_leader_services.dispatcher
        known = dispatcher._fleet.get(worker.id)
        dispatcher._events.adopt_or_stop(known, ActiveTask(task, 1, "", 100, None))

    context.run(start_late())
