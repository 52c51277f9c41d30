from behave import given, then, when

from dewspindle._internal.schema import jobs_pb2
from features.lib.stepping import advance
from features.steps.job_steps import (
    allocate_job_id,
    make_plan,
    make_step,
    start_in_background,
    submit_job,
)

DISCOVERY_S = 20.0  # Longest time from a crash to the next start of the task.


def submit_deadly_job(context, step):
    plan = make_plan(step)
    plan.deadly_indexes = frozenset({0})
    submit_job(context, plan)


@given("a job whose only task crashes its worker")
def given_deadly_job(context):
    submit_deadly_job(context, make_step(1))


@given("a gang of {count:d} tasks, one of which crashes its worker")
def given_deadly_gang(context, count):
    submit_deadly_job(context, make_step(count, gang=True))


@given("crashed workers that return after {seconds:d} seconds")
def given_late_return(context, seconds):
    context.cell.fleet.return_s = float(seconds)


@given("deadly tasks that crash their workers after {milliseconds:d} ms")
def given_deadly_after(context, milliseconds):
    context.cell.fleet.deadly_after_s = milliseconds / 1000


@given("{count:d} jobs over {seconds:d} seconds, of which each {nth:d}th has a deadly task")
def given_many_deadly_jobs(context, count, seconds, nth):
    async def submit_all():
        for number in range(count):
            plan = make_plan(make_step(2), run_s=1.0)
            if number % nth == 0:
                plan.deadly_indexes = frozenset({0})
            context.cell.start_soon(context.cell.submit, allocate_job_id(context), plan)
            await context.cell.fleet.timers.sleep(seconds / count)

    start_in_background(context, submit_all)


@then("just the jobs with a deadly task failed, and all others succeeded")
def then_just_deadly_failed(context):
    cell = context.cell
    wrong = {}
    for job in sorted(cell.fleet.accepted):
        is_deadly = bool(cell.fleet.plans[job].deadly_indexes)
        expected = jobs_pb2.JOB_FAILED if is_deadly else jobs_pb2.JOB_SUCCEEDED
        if cell.get_state(job) != expected:
            wrong[job] = cell.get_state(job)
    assert not wrong, (len(cell.fleet.accepted), wrong)


def count_crashes(context):
    """Return how many workers crashed under the first task of the first job."""
    fleet = context.cell.fleet
    job = min(fleet.plans)
    return max((count for task, count in fleet.crashes.items() if task.job == job), default=0)


async def wait_for_crashes(context, count):
    found = await context.cell.clock.advance_until(
        lambda: count_crashes(context) >= count, seconds=DISCOVERY_S
    )
    assert found, f"{count_crashes(context)} crashes"


async def lose_leader(context):
    """Lose the leader, and restart it once there is another one."""
    cell = context.cell
    lost = cell.leader
    lost.kill()
    await cell.wait_for_leader()
    cell.heal()


@when("the leader is lost right after each of the first {count:d} crashes")
def when_leader_lost_after_crashes(context, count):
    async def lose_leaders():
        for number in range(1, count + 1):
            await wait_for_crashes(context, number)
            await lose_leader(context)

    context.run(lose_leaders())


@when("the leader is lost once the next attempt of the deadly task runs")
def when_leader_lost_between(context):
    fleet = context.cell.fleet
    job = min(fleet.plans)

    def runs_again():
        tasks = [task for worker in fleet.workers for task in worker.runs]
        return count_crashes(context) == 1 and any(task.job == job for task in tasks)

    async def lose():
        assert await context.cell.clock.advance_until(runs_again, seconds=DISCOVERY_S)
        await lose_leader(context)

    context.run(lose())


@when("the worker of the task is cut off for {seconds:d} seconds, {count:d} times")
def when_cut_off_again(context, seconds, count):
    fleet = context.cell.fleet

    async def cut_off():
        for _ in range(count):
            assert await context.cell.clock.advance_until(
                lambda: any(worker.runs for worker in fleet.workers), seconds=DISCOVERY_S
            )
            worker = next(worker for worker in fleet.workers if worker.runs)
            worker.is_cut_off = True
            await context.cell.clock.advance(seconds)
            worker.is_cut_off = False

    context.run(cut_off())


@when("the worker of the task gets no calls for {seconds:d} seconds and then crashes")
def when_unreachable(context, seconds):
    fleet = context.cell.fleet

    def has_started():
        return any(worker.runs for worker in fleet.workers)

    context.run(context.cell.clock.advance_until(has_started, seconds=DISCOVERY_S))
    worker = next(worker for worker in fleet.workers if worker.runs)
    worker.gets_no_calls = True
    advance(context, seconds)

    async def crash():
        fleet.replace(worker)

    context.run(crash())


@then("no replica has ended")
def then_none_ended(context):
    assert all(node.failure is None for node in context.cell.nodes), context.cell.describe()
    assert context.cell.leader is not None


@when("{count:d} workers crash every {seconds:d} seconds, {times:d} times")
def when_workers_crash(context, count, seconds, times):
    fleet = context.cell.fleet

    async def crash():
        for number in range(times):
            size = len(fleet.workers)
            for worker in sorted(fleet.workers, key=lambda worker: worker.number)[
                count * number % size : count * number % size + count
            ]:
                fleet.replace(worker)
            await context.cell.clock.advance(seconds)

    context.run(crash())


@then("the job of the deadly task failed after at most {count:d} crashes")
def then_deadly_failed(context, count):
    cell = context.cell
    job = min(cell.fleet.plans)
    crashes = count_crashes(context)
    assert cell.get_state(job) == jobs_pb2.JOB_FAILED, (cell.get_state(job), crashes)
    assert 1 < crashes <= count, crashes


@when(
    "a worker is down for {seconds:d} seconds, and {count:d} single tasks are submitted meanwhile"
)
def when_down_while_submitted(context, seconds, count):
    fleet = context.cell.fleet
    worker = fleet.workers[0]

    async def stay_down():
        worker.crash()
        await context.cell.clock.advance(seconds)
        fleet.replace(worker)

    for _ in range(count):
        submit_job(context, make_plan(make_step(1)))
    context.run(stay_down())


@then("no crash is counted for any task")
def then_no_crash(context):
    jobs = context.cell.leader.replica.context.view.state.job_store.jobs.values()
    counted = {job.id: job.count_crashes(0) for job in jobs if job.count_crashes(0)}
    assert not counted, counted


@when("the leader is lost while they run, and all workers crash {seconds:d} seconds later")
def when_leader_lost_and_all_crash(context, seconds):
    fleet = context.cell.fleet

    async def lose_and_crash():
        await context.cell.clock.advance(1.0)
        await lose_leader(context)
        await context.cell.clock.advance(seconds)
        for worker in list(fleet.workers):
            fleet.replace(worker)
        await context.cell.clock.advance(2.0)

    context.run(lose_and_crash())


@then("one crash is counted for each of the {count:d} tasks, and none as the newest task")
def then_crashes_without_newest(context, count):
    jobs = context.cell.leader.replica.context.view.state.job_store.jobs
    job = jobs[context.last_job]
    crashes = [job.count_crashes(position) for position in range(count)]
    newest = [job.count_crashes_as_newest(position) for position in range(count)]
    assert crashes == [1] * count, crashes
    assert newest == [0] * count, newest
