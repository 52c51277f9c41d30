from behave import given, when

from features.lib.stepping import advance
from features.steps.job_steps import make_plan, make_step, submit_job


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


@when("{count:d} jobs of {tasks:d} tasks are submitted and {seconds:d} seconds pass")
def when_jobs_submitted(context, count, tasks, seconds):
    for _ in range(count):
        submit_job(context, make_plan(make_step(tasks)))
    advance(context, seconds)
