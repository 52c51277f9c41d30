from behave import given, then

from dewspindle._internal.jobs.fleet_worker import SuspensionCause
from dewspindle._internal.jobs.placements import PlacementPhase
from dewspindle._internal.models.resources import Amounts
from features.lib.busy_loop import BusyLoop
from features.lib.waiting_steps import CAPACITY, ROUND_S, Behavior

ARRIVAL_S = 0.1  # Between two arrivals of several tasks.
# Advisor, cores and run time in seconds of urgent tasks.
URGENT_TASKS = {"need no advice": ("none", 2, 1.0), "ask a fast advisor": ("fast", 1, 0.5)}


@given(
    "an event loop that takes {look_ms:g} ms for a step in a round and carries {rate:d} starts "
    "a second"
)
def given_busy_loop(context, look_ms, rate):
    context.model.loop = BusyLoop(
        look_s=look_ms / 1000, starts_per_s=rate, now=context.model.clock.now
    )


@given("{jobs:d} jobs of {count:d} tasks of {cores:d} cores become ready at second {second:d}")
def given_jobs(context, jobs, count, cores, second):
    def submit():
        for _ in range(jobs):
            submit_tasks(context, count=count, cores=cores, queue=("usual", 1, "pool"), run_s=2.0)

    context.model.after(second, submit)


def submit_tasks(context, *, count, cores, queue, run_s, waited_s=0.0, gang=False, team=""):
    return context.model.submit(
        count=count,
        amounts=Amounts(processors=cores * 1000, memory_mb=cores * 1024),
        behavior=Behavior(run_s=run_s),
        gang=gang,
        queue=queue,
        waited_s=waited_s,
        team=team,
    )


def submit_later(context, second, **task):
    """Submit at a given second the job that the scenario is about."""

    def submit():
        context.job = submit_tasks(context, **task)

    context.submitted_at = second
    context.model.after(second, submit)


def arrive(context, *, per_s, begins_s, ends_s, **task):
    """Let jobs of one task arrive, several at a time."""

    def submit():
        if context.model.now >= ends_s:
            return
        for _ in range(round(per_s * ARRIVAL_S)):
            submit_tasks(context, count=1, **task)
        context.model.after(ARRIVAL_S, submit)

    context.model.after(begins_s, submit)


@given(
    "another leader plans from second {second:d} on, whose event loop stalls for {stall:g} seconds"
)
def given_other_leader(context, second, stall):
    model = context.model

    def change():
        model.change_leader()
        model.loop = model.loop.restart(now=model.clock.now)
        model.loop.block(stall, now=model.clock.now)

    model.after(second, change)


@given("{per_s:d} urgent tasks a second that {need} arrive from second {begins:d} to {ends:d}")
def given_urgent_arrivals(context, per_s, need, begins, ends):
    advisor, cores, run_s = URGENT_TASKS[need]
    arrive(
        context,
        per_s=per_s,
        begins_s=begins,
        ends_s=ends,
        cores=cores,
        queue=(advisor, 0, "pool"),
        run_s=run_s,
    )


@given(
    "an overdue job of {count:d} tasks of {cores:d} cores that asks a slow advisor and becomes "
    "ready at second {second:d}"
)
def given_overdue_job(context, count, cores, second):
    submit_later(
        context,
        second,
        count=count,
        cores=cores,
        queue=("slow", 2, "pool"),
        run_s=2.0,
        waited_s=60.0,
    )


@then("the overdue job starts within {seconds:d} seconds")
def then_overdue_job_started(context, seconds):
    waits = list_waits(context)
    assert waits and min(waits) <= seconds, waits


@then("all tasks of the overdue job start within {seconds:d} seconds")
def then_all_started(context, seconds):
    waits = list_waits(context)
    assert len(waits) == context.job.steps[0, 0].message.count, len(waits)
    assert max(waits) <= seconds, waits


def list_waits(context):
    """Return after how many seconds each task or gang of the job started."""
    return [
        started_at - context.submitted_at
        for started_at, job in context.model.started
        if job == context.job.stored.id
    ]


@given('a team "{team}" with a cap of {cores:d} cores')
def given_team(context, team, cores):
    context.model.add_team(team, cap=Amounts(processors=cores * 1000))


@given(
    '{per_s:d} tasks of {cores:d} cores of team "{team}" a second run for {run_s:g} seconds each '
    "from second {begins:d} to {ends:d}"
)
def given_arrivals_of_team(context, per_s, cores, team, run_s, begins, ends):
    arrive(
        context,
        per_s=per_s,
        begins_s=begins,
        ends_s=ends,
        cores=cores,
        queue=("none", 0, "pool"),
        run_s=run_s,
        team=team,
    )


@given(
    'a gang of {count:d} tasks of {cores:d} cores of team "{team}" that becomes ready at '
    "second {second:d}"
)
def given_gang_of_team(context, count, cores, team, second):
    submit_later(
        context,
        second,
        count=count,
        cores=cores,
        queue=("usual", 1, "pool"),
        run_s=2.0,
        gang=True,
        team=team,
    )


@given(
    'a gang of {count:d} tasks of {cores:d} cores of team "{team}" for workers {first:d} to '
    "{last:d} that becomes ready at second {second:d}"
)
def given_gang_for_workers(context, count, cores, team, first, last, second):
    approved = frozenset(f"w{number}" for number in range(first, last + 1))
    context.model.after(
        second,
        lambda: context.model.submit(
            count=count,
            amounts=Amounts(processors=cores * 1000, memory_mb=1024),
            behavior=Behavior(run_s=2.0, approved=approved),
            gang=True,
            queue=("usual", 1, "pool"),
            team=team,
        ),
    )


@given(
    'an overdue job of {count:d} tasks of {cores:d} cores of team "{team}" that becomes ready '
    "at second {second:d}"
)
def given_overdue_job_of_team(context, count, cores, team, second):
    submit_later(
        context,
        second,
        count=count,
        cores=cores,
        queue=("none", 2, "pool"),
        run_s=5.0,
        waited_s=60.0,
        team=team,
    )


@then("the gang starts within {seconds:d} seconds")
def then_gang_started(context, seconds):
    waits = list_waits(context)
    assert waits and min(waits) <= seconds, waits


@given("{count:d} tasks of {cores:d} cores wait in the other pool")
def given_other_tasks(context, count, cores):
    for _ in range(count):
        submit_tasks(context, count=1, cores=cores, queue=("none", 0, "other"), run_s=2.0)


@given("{count:d} urgent tasks for worker {number:d}")
def given_tasks_for_worker(context, count, number):
    for _ in range(count):
        context.model.submit(
            count=1,
            amounts=Amounts(processors=2000, memory_mb=2048),
            behavior=Behavior(run_s=2.0, approved=frozenset({f"w{number}"})),
            gang=False,
            queue=("fast", 0, "pool"),
        )


@then("workers are set aside in each round of the next {seconds:d} seconds")
def then_set_aside(context, seconds):
    counts = []
    for _ in range(round(seconds / ROUND_S)):
        context.run(context.model.run(ROUND_S))
        counts.append(context.model.planner.measure_load()["reserved_workers"])
    assert all(counts), counts


@given("the advisor's answers are incomplete until second {second:d}")
def given_incomplete_answers(context, second):
    context.model.answers_are_incomplete = True
    context.model.after(second, setattr, context.model, "answers_are_incomplete", False)


@given("each worker runs a task that lasts and is suspended for {seconds:d} seconds")
def given_suspended_workers(context, seconds):
    model = context.model
    for worker in list(model.fleet):
        model.occupy(worker.id, Amounts(processors=2000, memory_mb=2048), 1000.0)
        worker.suspend(model.clock.now, SuspensionCause.TASKS_FAILED)
        assert worker.suspended_until == model.clock.now + seconds
        assert all(p.phase is PlacementPhase.RUNNING for p in worker.placements.values())


def suspend_often(context, workers, seconds):
    now = context.model.clock.now
    for worker in workers:
        while worker.suspended_until < now + seconds:
            worker.suspend(now, SuspensionCause.TASKS_FAILED)


@given("each worker is suspended for {seconds:d} seconds after its tasks failed again and again")
def given_all_suspended(context, seconds):
    suspend_often(context, list(context.model.fleet), seconds)


@given(
    "worker {number:d} is suspended for {seconds:d} seconds after its tasks failed again and again"
)
def given_one_suspended(context, number, seconds):
    suspend_often(context, [context.model.fleet.get(f"w{number}")], seconds)


@then("a task waits for placement")
def then_task_waits(context):
    assert any(step.waiting for run in context.model.runs for step in run.steps.values())


@given("a task that fails on worker {number:d}")
def given_failing_task(context, number):
    context.model.submit(
        count=1,
        amounts=Amounts(processors=2000, memory_mb=2048),
        behavior=Behavior(run_s=1.0, failing_index=0),
        gang=False,
        queue=("none", 1, "pool"),
    )


@given("room on workers on which a task ended badly is counted")
def given_avoided_counted(context):
    context.model.check.counts_avoided_workers = True


@given("{count:d} tasks of {cores:d} cores ask a slow advisor")
def given_slow_requests(context, count, cores):
    for _ in range(count):
        submit_tasks(context, count=1, cores=cores, queue=("slow", 1, "pool"), run_s=4.0)


@given("workers {first:d} to {last:d} become full for {seconds:g} seconds at second {second:g}")
def given_full_later(context, first, last, seconds, second):
    def occupy():
        for number in range(first, last + 1):
            worker = context.model.fleet.get(f"w{number}")
            context.model.occupy(worker.id, worker.free, seconds)

    context.model.after(second, occupy)


@given(
    "worker {number:d} is full for {seconds:d} seconds, and its task was expected to take "
    "{estimate:g}"
)
def given_overrunning_task(context, number, seconds, estimate):
    context.model.occupy(f"w{number}", CAPACITY, seconds, estimate_s=estimate)


@given(
    "tasks of {cores:d} cores for workers {first:d} to {last:d} become ready at seconds 3, 4, 5 "
    "and 6"
)
def given_tasks_of_workers(context, cores, first, last):
    approved = frozenset(f"w{number}" for number in range(first, last + 1))
    for second in (3, 4, 5, 6):
        context.model.after(
            second,
            lambda: context.model.submit(
                count=1,
                amounts=Amounts(processors=cores * 1000, memory_mb=cores * 1024),
                behavior=Behavior(run_s=5.0, approved=approved),
                gang=False,
                queue=("usual", 1, "pool"),
            ),
        )
