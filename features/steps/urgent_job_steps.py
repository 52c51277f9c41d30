from behave import given, then

from dewspindle._internal.models.resources import Amounts
from features.lib.waiting_steps import CAPACITY, Behavior

URGENT_AMOUNTS = Amounts(processors=5000, memory_mb=14_000)
URGENT_RUN_S = 0.6


@given('a backlog of {jobs:d} jobs of {count:d} tasks of {cores:d} cores of team "{team}"')
def given_backlog(context, jobs, count, cores, team):
    for _ in range(jobs):
        context.model.submit(
            count=count,
            amounts=Amounts(processors=cores * 1000, memory_mb=cores * 1024),
            behavior=Behavior(run_s=4.0),
            gang=False,
            queue=("usual", 1, "pool"),
            team=team,
        )


@given(
    "{per_s:d} urgent {kind} of {count:d} tasks a second arrive from second {begins:d} to {ends:d}"
)
def given_urgent_jobs(context, per_s, kind, count, begins, ends):
    model = context.model
    context.accepted_at = {}

    async def arrive():
        await model.timers.sleep(begins)
        while model.now < ends:
            run = model.submit(
                count=count,
                amounts=URGENT_AMOUNTS,
                behavior=Behavior(run_s=URGENT_RUN_S),
                gang=kind == "gangs",
                queue=("fast", 0, "pool"),
            )
            context.accepted_at[run.stored.id] = model.now
            await model.timers.sleep(1 / per_s)

    model.run_beside(arrive)


@then("9 of 10 urgent jobs start within {seconds:g} seconds")
def then_started_in_time(context, seconds):
    started_at = {}
    for at, job in context.model.started:
        started_at[job] = at  # Of the last task.
    waits = sorted(
        started_at.get(job, float("inf")) - at for job, at in context.accepted_at.items()
    )
    wait_s = waits[len(waits) * 9 // 10]
    assert wait_s <= seconds, f"{len(waits)} jobs, 9 of 10 within {wait_s} s"


@given(
    "{per_s:d} urgent tasks that fill a worker and need no advice arrive a second from second "
    "{begins:g} to {ends:g}"
)
def given_filling_tasks(context, per_s, begins, ends):
    model = context.model
    context.filling = []

    async def arrive():
        await model.timers.sleep(begins)
        while model.now < ends:
            run = model.submit(
                count=1,
                amounts=CAPACITY,
                behavior=Behavior(run_s=URGENT_RUN_S),
                gang=False,
                queue=("none", 0, "pool"),
            )
            context.filling.append(run.stored.id)
            await model.timers.sleep(1 / per_s)

    model.run_beside(arrive)


@given("worker {number:d} is full until its task ends between two rounds")
def given_ending_task(context, number):
    model = context.model
    worker = model.fleet.get(f"w{number}")
    model.occupy(worker.id, CAPACITY, 60.0, estimate_s=0.5)

    async def end():
        await model.timers.sleep(0.5)
        while model.loop.is_busy_until > model.clock.now:  # With a round.
            await model.timers.sleep(0.005)
        for placement in list(worker.placements.values()):
            worker.release(placement)

    model.run_beside(end)


@then("the first of them starts first")
def then_first_starts_first(context):
    started = [job for _, job in context.model.started if job in context.filling]
    assert started[:1] == context.filling[:1], started[:3]
