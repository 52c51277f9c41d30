from unittest import mock

import anyio.lowlevel
from behave import given, then, when

from dewspindle._internal.jobs.fleet import Fleet
from dewspindle._internal.jobs.fleet_worker import SuspensionCause
from dewspindle._internal.jobs.gateway import OrderOutcome, StartOrder
from dewspindle._internal.jobs.placements import Placement, PlacementPhase
from dewspindle._internal.models.ids import JobId
from dewspindle._internal.models.jobs import TaskRef
from dewspindle._internal.models.resources import Amounts
from dewspindle._internal.schema import jobs_pb2, peers_pb2, resources_pb2
from features.lib.called_fleet import CAPACITY, CalledWorker, Plan
from features.lib.job_cell import JobCell
from features.lib.stepping import advance
from features.steps.replication_steps import FAULTS, host_cell, start_cell

FLAGS = {"election_timeout_ms": "500", "leader_lease_ms": "400", "heartbeat_interval_ms": "100"}
ADVISOR = jobs_pb2.Advisor(decision_ms=50, per_worker_ms=1, validity_ms=2000)
STARTUP_S = 3.0  # Enough to record the queue table and all workers.


def make_step(count, *, processors=1000, **fields):
    resources = resources_pb2.Resources(processors=processors, memory_mb=1024)
    return jobs_pb2.JobStep(count=count, resources=resources, estimate_ms=1000, **fields)


def make_plan(*steps, run_s=1.0, failures=0):
    spec = jobs_pb2.JobSpec(payload="payload", steps=steps)
    return Plan(spec, run_s=run_s, failures=failures)


def start_in_background(context, call, *args):
    """Start a coroutine in the task group of the cell."""

    async def start():
        context.cell.start_soon(call, *args)

    context.run(start())


def allocate_job_id(context):
    context.jobs += 1
    context.last_job = f"{context.jobs:016x}"
    return context.last_job


def submit_job(context, plan):
    start_in_background(context, context.cell.submit, allocate_job_id(context), plan)


@given("a cell of {replicas:d} replicas whose leader sends orders to {workers:d} workers")
def given_cell(context, replicas, workers, advisor=None, *, avoids_interference=False, **flags):
    flags = {**FLAGS, **flags}
    cell = JobCell(context.folder, size=replicas, seed=1, workers=workers, **flags)
    cell.advisor = advisor
    cell.avoids_interference = avoids_interference
    host_cell(context, cell)
    context.jobs = 0

    async def prepare():
        await start_cell(cell)
        cell.fleet.start()
        cell.start_soon(cell.configure)
        await cell.clock.advance(STARTUP_S)

    context.run(prepare())


@given("a cell of {replicas:d} replicas that learns from the run times on {workers:d} workers")
def given_learning_cell(context, replicas, workers):
    given_cell(context, replicas, workers, avoids_interference=True)


@given("jobs with dependent steps, a gang, checkpointing tasks and tasks that fail once")
def given_jobs(context):
    submit_job(context, make_plan(make_step(4), make_step(3, depends_on=[0])))
    submit_job(context, make_plan(make_step(6, gang=True), run_s=1.5))
    submit_job(context, make_plan(make_step(8, checkpointing=True), run_s=2.5))
    submit_job(context, make_plan(make_step(2), failures=1))


@given("a job whose task fails {count:d} times")
def given_failing_job(context, count):
    submit_job(context, make_plan(make_step(1), failures=count, run_s=0.2))


@given("a job of {count:d} tasks of {seconds:d} seconds")
def given_job(context, count, seconds):
    submit_job(context, make_plan(make_step(count), run_s=seconds))


@given("a gang of {count:d} tasks of {seconds:d} seconds")
def given_gang(context, count, seconds):
    submit_job(context, make_plan(make_step(count, gang=True), run_s=seconds))


@given("a gang of {count:d} tasks of {seconds:d} seconds, one of which finishes its part at once")
def given_uneven_gang(context, count, seconds):
    plan = make_plan(make_step(count, gang=True), run_s=seconds)
    plan.idle_index = 0
    submit_job(context, plan)


@given("a gang that needs the full capacity of every worker")
def given_gang_of_all_workers(context):
    size = len(context.cell.fleet.workers)
    submit_job(context, make_plan(make_step(size, gang=True, processors=8000), run_s=2.0))


@given("a gang of {count:d} tasks that each need the full capacity of a worker")
def given_oversized_gang(context, count):
    submit_job(context, make_plan(make_step(count, gang=True, processors=8000)))


@then("every accepted job but the first succeeded")
def then_others_succeeded(context):
    cell = context.cell
    others = sorted(cell.fleet.accepted)[1:]
    states = {job: cell.get_state(job) for job in others}
    wrong = {job: s for job, s in states.items() if s != jobs_pb2.JOB_SUCCEEDED}
    assert others and not wrong, wrong


@given("a stream of {count:d} small jobs over {seconds:d} seconds")
def given_small_jobs(context, count, seconds):
    start_in_background(context, submit_over, context, count, 2, seconds)


@given("{count:d} workers on which no task makes progress")
def given_hanging_workers(context, count):
    for worker in context.cell.fleet.workers[:count]:
        worker.hangs_everything = True


@given(
    "workers that leave {percent:d} percent of calls unanswered and execute starts and stops late"
)
def given_late_calls(context, percent):
    context.most_suspended = 0

    def count_suspended():
        leader = context.cell.leader
        dispatcher = leader.job_leader_services.dispatcher if leader is not None else None
        workers = dispatcher._fleet if dispatcher is not None else ()
        suspended = sum(w.suspended_until > context.cell.clock.now for w in workers)
        context.most_suspended = max(context.most_suspended, suspended)

    context.cell.clock.add_check(count_suspended)
    for worker in context.cell.fleet.workers:
        worker.late_call_fraction = percent / 100


@then("at least {percent:d} percent of the jobs succeeded")
def then_most_succeeded(context, percent):
    cell = context.cell
    states = [cell.get_state(job) for job in cell.fleet.accepted]
    fraction = states.count(jobs_pb2.JOB_SUCCEEDED) / len(states)
    assert fraction >= percent / 100, fraction


@given("{count:d} worker that fails every task")
def given_failing_workers(context, count):
    for worker in context.cell.fleet.workers[:count]:
        worker.fails_everything = True


@given("{count:d} jobs of {tasks:d} tasks over {seconds:d} seconds")
def given_jobs_over(context, count, tasks, seconds):
    start_in_background(context, submit_over, context, count, tasks, seconds)


async def submit_over(context, count, tasks, seconds):
    """Submit jobs at equal intervals over a period."""
    for _ in range(count):
        plan = make_plan(make_step(tasks), run_s=1.0)
        context.cell.start_soon(context.cell.submit, allocate_job_id(context), plan)
        await context.cell.fleet.timers.sleep(seconds / count)


@then("at most {count:d} task attempts failed")
def then_few_failed(context, count):
    failed = sum(context.cell.fleet.failed.values())
    assert failed <= count, failed


@given("an advisor that approves {count:d} workers")
def given_advisor(context, count):
    context.cell.approved = {f"w{number}" for number in range(count)}
    set_advisor(context, ADVISOR)


def set_advisor(context, advisor):
    async def put():
        leader = context.cell.leader
        # Changes the leader's copy only, so it is lost if another replica becomes leader.
        table = leader.replica.context.view.state.job_store.queue_table
        for queue in table.queues:
            queue.advisor.CopyFrom(advisor)

    context.run(put())


@given(
    "a cell of {replicas:d} replicas and {workers:d} workers, {approved:d} approved by an advisor"
)
def given_advised_cell(context, replicas, workers, approved):
    given_cell(context, replicas, workers, advisor=ADVISOR)
    context.cell.approved = {f"w{number}" for number in range(approved)}


@given("answers of the advisor that are partly malformed")
def given_incomplete_advice(context):
    context.cell.advisor_answers_incompletely = True


@given("the advisor is down")
def given_advisor_down(context):
    context.cell.advisor_fails = True


@when("the advisor is available again")
def when_advisor_back(context):
    context.cell.advisor_fails = False


def inject_worker_fault(context, fault, worker):
    """Inject a fault of a worker, or "leader " and a fault of the leader's replica."""
    if fault == "crash":
        context.cell.fleet.replace(worker)
    elif fault == "restart under the same id":
        context.cell.fleet.replace(worker, keeps_id=True)
    elif fault == "cut off":
        worker.is_cut_off = True
    elif fault == "freeze":
        worker.timers.pause()
    elif fault == "lost answers":
        worker.loses_answers = True
    elif fault == "late orders":
        worker.delays_orders = True
    elif fault == "drain":
        worker.is_draining = True
        context.cell.start_soon(context.cell.fleet.send_heartbeat, worker)
    elif fault == "failing":
        worker.fails_everything = True
    elif fault == "hanging":
        worker.hangs_everything = True
    elif fault.startswith("leader "):
        FAULTS[fault.removeprefix("leader ")](context.cell, context.cell.leader)
    else:
        raise AssertionError(fault)


@when("{fault} affects the {victim} at the {moment} of a task")
def when_fault_occurs(context, fault, victim, moment):
    context.faulted_workers = []
    cell = context.cell

    def inject(worker):
        if victim == "leader":
            FAULTS[fault](cell, cell.leader)
            return
        for part in fault.split(", "):
            inject_worker_fault(context, part, worker)

    def observe(event, worker, task):
        if event == moment and not context.faulted_workers:
            context.faulted_workers.append(worker.id)
            # The worker is still executing the call or ending the task.
            cell.start_soon(inject_later, worker)

    async def inject_later(worker):
        inject(worker)

    cell.fleet.hooks.append(observe)
    advance(context, 3)
    assert context.faulted_workers, "no task reached the moment of the fault"


@when("the faults end after {first:d} seconds and the cell runs for {second:d} more")
def when_faults_end(context, first, second):
    advance(context, first)
    context.run(heal_all(context.cell))
    advance(context, second)


async def heal_all(cell):
    """End all faults, except that drains go on and crashed workers stay replaced."""
    for worker in cell.fleet.workers:
        worker.is_cut_off = worker.loses_answers = worker.delays_orders = False
        worker.fails_everything = worker.hangs_everything = False
        if worker.timers.is_paused:
            worker.timers.resume()
    cell.heal()


@when("the cell runs for {seconds:d} seconds")
def when_seconds_pass(context, seconds):
    advance(context, seconds)


@when("the leader's disk hangs")
def when_disk_hangs(context):
    context.cell.leader.disk.delay_s = 60.0


@when("a job is submitted and {seconds:d} seconds pass")
def when_submitted(context, seconds):
    submit_job(context, make_plan(make_step(3)))
    advance(context, seconds)


@when("the job is cancelled and {seconds:d} seconds pass")
def when_cancelled(context, seconds):
    start_in_background(context, context.cell.cancel, context.last_job)
    context.run(context.cell.clock.advance(seconds))


@when("the first job is cancelled, and the leader is lost before a stop order arrives")
def when_cancelled_and_lost(context):
    cell = context.cell
    job = min(cell.fleet.plans)

    async def cancel_and_lose():
        await cell.clock.advance(1.0)
        assert sum(len(worker.runs) for worker in cell.fleet.workers) == 16
        for worker in cell.fleet.workers:
            worker.is_cut_off = True
        cell.start_soon(cell.cancel, job)
        assert await cell.clock.advance_until(
            lambda: cell.get_state(job) == jobs_pb2.JOB_CANCELLED, seconds=1.0
        )
        cell.leader.kill()
        for worker in cell.fleet.workers:
            worker.is_cut_off = False
        await cell.wait_for_leader()

    context.run(cancel_and_lose())


def start_unknown_tasks(context, count):
    """Start tasks of a job that the cell does not know on the first worker."""
    fleet = context.cell.fleet
    worker = fleet.workers[0]
    job = JobId("unknown")
    fleet.plans[job] = make_plan(make_step(count), run_s=30.0)
    for index in range(count):
        order = StartOrder(
            task=TaskRef(job, 0, 0, index),
            attempt=1,
            payload="payload",
            deadline_ms=worker.clock_ms + 4000,
            fencing_token=worker.token,
        )
        assert worker.start(order).outcome is OrderOutcome.ACCEPTED


@when("a worker runs {count:d} tasks of a job that the cell does not know as the leader is lost")
def when_unknown_tasks_run(context, count):
    async def start_and_lose():
        start_unknown_tasks(context, count)
        context.cell.leader.kill()

    context.run(start_and_lose())


@when("a worker is cut off until the leader has removed it")
def when_removed(context):
    cell = context.cell
    worker = cell.fleet.workers[0]
    dispatcher = cell.leader.job_leader_services.dispatcher

    async def cut_off():
        worker.is_cut_off = True
        assert await cell.clock.advance_until(
            lambda: dispatcher._fleet.get(worker.id) is None, seconds=40.0
        )

    context.run(cut_off())


@when("it runs {count:d} tasks of a job that the cell does not know as it comes back")
def when_back_with_tasks(context, count):
    cell = context.cell
    worker = cell.fleet.workers[0]
    dispatcher = cell.leader.job_leader_services.dispatcher

    async def come_back():
        start_unknown_tasks(context, count)
        worker.is_cut_off = False
        assert await cell.clock.advance_until(
            lambda: dispatcher._fleet.get(worker.id) is not None, seconds=2.0
        )

    context.run(come_back())


@when("a job of {count:d} tasks is submitted, and {seconds:d} seconds pass")
def when_job_submitted(context, count, seconds):
    submit_job(context, make_plan(make_step(count)))
    advance(context, seconds)


@given("a worker with two attempts of a task of {processors:d} millicores")
def given_two_attempts(context, processors):
    message = jobs_pb2.CalledWorker(id="w", capacity=CAPACITY.to_message())
    context.worker = Fleet().add(message)
    context.attempts = [
        Placement(
            key=(JobId("job"), 0),
            task=TaskRef(JobId("job"), 0, 0, 0),
            attempt=attempt,
            amounts=Amounts(processors=processors),
            worker=context.worker,
            phase=PlacementPhase.RUNNING,
            placed_at=0.0,
        )
        for attempt in (1, 2)
    ]
    for placement in context.attempts:
        context.worker.add(placement)


@when("the {first_or_second} attempt has ended")
def when_attempt_ended(context, first_or_second):
    context.worker.release(context.attempts[["first", "second"].index(first_or_second)])


@then("{free:d} of its {capacity:d} millicores are free")
def then_free(context, free, capacity):
    assert context.worker.capacity.processors == capacity
    assert context.worker.free.processors == free, context.worker.free


@when("the job is submitted {count:d} more times")
def when_submitted_again(context, count):
    cell = context.cell
    plan = cell.fleet.plans[context.last_job]
    for _ in range(count):
        start_in_background(context, cell.submit, context.last_job, plan)
    context.run(cell.clock.advance(0.5))


@then("every accepted job succeeded")
def then_all_succeeded(context):
    cell = context.cell
    assert cell.fleet.accepted, "no job was accepted"
    assert not cell.unknown, f"never answered: {cell.unknown}"
    states = {job: cell.get_state(job) for job in cell.fleet.accepted}
    wrong = {job: s for job, s in states.items() if s != jobs_pb2.JOB_SUCCEEDED}
    assert not wrong, wrong


@then("the job failed after {count:d} attempts")
def then_failed(context, count):
    assert context.cell.get_state(context.last_job) == jobs_pb2.JOB_FAILED
    starts = list(context.cell.fleet.starts.values())
    assert [len(items) for items in starts] == [count], starts


@then("no task of the job runs and its state is cancelled")
def then_cancelled(context):
    cell = context.cell
    assert cell.get_state(context.last_job) == jobs_pb2.JOB_CANCELLED
    running = [task for worker in cell.fleet.workers for task in worker.runs]
    assert not running, running


@then("only the approved workers ran tasks")
def then_only_approved(context):
    used = {
        worker.partition("-")[0]
        for items in context.cell.fleet.starts.values()
        for worker, _ in items
    }
    assert used <= context.cell.approved, used


@then("each task started once")
def then_started_once(context):
    counts = {task: len(items) for task, items in context.cell.fleet.starts.items()}
    assert set(counts.values()) == {1}, counts


@given("workers that leave {percent:d} percent of calls unanswered and count leases from arrival")
def given_leases_from_arrival(context, percent):
    given_late_calls(context, percent)
    for worker in context.cell.fleet.workers:
        worker.counts_lease_from_arrival = True


@when("{count:d} workers are cut off")
def when_cut_off(context, count):
    for worker in context.cell.fleet.workers[:count]:
        worker.is_cut_off = True


@then("no scheduling rule was broken")
def then_no_rule_broken(context):
    assert not context.cell.fleet.broken.rules, context.cell.fleet.broken.rules


@given("workers that have seen {count:d} attempts of the next job's tasks")
def given_seen_attempts(context, count):
    job = f"{context.jobs + 1:016x}"
    for worker in context.cell.fleet.workers:
        worker.highest_attempts.update({TaskRef(job, 0, 0, index): count for index in range(10)})


@when("its worker reports an older attempt as {how}")
def when_old_attempt_reported(context, how):
    worker, task = next((w, t) for w in context.cell.fleet.workers for t in w.runs)
    kind = {"stopped": jobs_pb2.END_STOPPED, "done": jobs_pb2.END_DONE}[how]
    worker.report_end(task, worker.runs[task].attempt - 1, kind)


@then("{count:d} task runs")
def then_runs(context, count):
    running = [task for worker in context.cell.fleet.workers for task in worker.runs]
    assert len(running) == count, running


@when("a worker sends its first heartbeat and at once another one that says it drains")
def when_drains_at_once(context):
    fleet = context.cell.fleet
    context.worker = CalledWorker(fleet, 7)

    async def send_heartbeats():
        context.cell.start_soon(fleet.send_heartbeat, context.worker)
        await anyio.lowlevel.checkpoint()
        context.worker.is_draining = True
        context.cell.start_soon(fleet.send_heartbeat, context.worker)
        await context.cell.clock.advance(0.5)

    context.run(send_heartbeats())


@then("the leader knows it as draining")
def then_drains(context):
    dispatcher = context.cell.leader.job_leader_services.dispatcher
    assert dispatcher._fleet.get(context.worker.id).is_draining


@given("an advisor that approves every third worker and is slow for each listed worker")
def given_slow_advisor(context):
    context.cell.approved = {f"w{number}" for number in range(0, 100, 3)}
    set_advisor(context, jobs_pb2.Advisor(decision_ms=8, per_worker_ms=4, validity_ms=2000))


@given("a job of {count:d} tasks that each need the full capacity of a worker")
def given_whole_worker_job(context, count):
    submit_job(context, make_plan(make_step(count, processors=8000), run_s=20.0))


@then("{count:d} tasks of the job are running")
def then_job_runs(context, count):
    running = [
        task
        for worker in context.cell.fleet.workers
        for task in worker.runs
        if task.job == context.last_job
    ]
    assert len(running) == count, len(running)


@given("a job of {tasks:d} tasks that always fail")
def given_hopeless_job(context, tasks):
    context.suspended = set()

    def observe(event, worker, task):
        dispatcher = context.cell.leader.job_leader_services.dispatcher
        context.suspended |= {w.id for w in dispatcher._fleet if w.consecutive_suspensions}

    context.cell.fleet.hooks.append(observe)
    submit_job(context, make_plan(make_step(tasks), run_s=0.2, failures=10))


@then("no worker was ever suspended")
def then_none_suspended(context):
    assert not context.suspended, context.suspended


@when("the leader is paused for {seconds:d} seconds in the middle of its work")
def when_leader_paused(context, seconds):
    cell = context.cell
    calls = context.calls_after_pause = []

    async def pause():
        await cell.clock.advance(0.5)
        paused = cell.leader
        paused.timers.pause()
        await cell.clock.advance(seconds)
        record_calls(context, paused, calls)
        paused.timers.resume()
        await cell.clock.advance(5.0)

    context.run(pause())


def record_calls(context, node, calls):
    """Record the names of the calls that a node begins to send to workers from now on."""
    gateway = node.job_leader_services._gateway
    for name in ("start", "stop", "renew_lease"):
        original = getattr(gateway, name)

        async def record(*args, name=name, original=original, **fields):
            calls.append(name)
            return await original(*args, **fields)

        patch = mock.patch.object(gateway, name, record)
        patch.start()
        context.closers.append(patch.stop)


@then("it called no worker after the pause")
def then_not_called(context):
    assert not context.calls_after_pause, context.calls_after_pause


@when("a job is planned just before the leader lease lapses for a moment")
def when_lapsed(context):
    cell = context.cell
    replica = cell.leader.replica
    context.calls_while_lapsed = []
    record_calls(context, cell.leader, context.calls_while_lapsed)
    dispatcher = cell.leader.job_leader_services.dispatcher
    planner = dispatcher._planner

    def lapse_after(plan):
        def plan_then_lapse(**fields):
            starts = plan(**fields)
            if starts and not context.lapse.is_started:
                context.lapse.start()
            return starts

        return plan_then_lapse

    context.lapse = LeaseLapse(type(replica))
    with (
        mock.patch.object(planner, "plan", lapse_after(planner.plan)),
        mock.patch.object(planner, "plan_urgent", lapse_after(planner.plan_urgent)),
    ):
        submit_job(context, make_plan(make_step(1)))
        context.run(cell.clock.advance(0.2))
    context.starts_while_lapsed = context.calls_while_lapsed.count("start")
    context.lapse.stop()


class LeaseLapse:
    """A moment in which no replica may act as the leader."""

    def __init__(self, replica_class):
        self._patch = mock.patch.object(replica_class, "may_act_as_leader", False)
        self.is_started = False

    def start(self):
        self.is_started = True
        self._patch.start()

    def stop(self):
        self._patch.stop()


@then("no start order left the leader during that moment")
def then_no_start(context):
    assert context.lapse.is_started, "the job was not planned"
    assert context.starts_while_lapsed == 0


@then("the job succeeds within {seconds:d} seconds")
def then_job_succeeds(context, seconds):
    context.run(context.cell.clock.advance(seconds))
    then_all_succeeded(context)


@when("a worker that the advisor {verdict} is cut off as the leader of {what} is lost")
def when_lost_with_worker(context, verdict, what):
    cell = context.cell
    number = 0 if verdict == "approves" else len(cell.approved)

    async def lose():
        if what == "a job that has just been accepted":
            assert await cell.clock.advance_until(
                lambda: context.last_job in cell.fleet.accepted, seconds=1.0
            )
        else:
            await cell.clock.advance(0.5)
        cell.fleet.workers[number].is_cut_off = True
        cell.leader.kill()
        await cell.wait_for_leader()

    submit_job(context, make_plan(*WAITING_JOBS[what]))
    context.run(lose())


WAITING_JOBS = {
    "a job that has just been accepted": [make_step(1)],
    "a job in its first step": [make_step(1), make_step(1, depends_on=[0])],
}


@then("the job succeeds within {seconds:d} seconds of the next leader")
def then_succeeds_soon(context, seconds):
    then_job_succeeds(context, seconds)


@then("no task of the job starts within {seconds:d} seconds of the next leader")
def then_not_started(context, seconds):
    context.run(context.cell.clock.advance(seconds))
    started = [task for task in context.cell.fleet.starts if task.job == context.last_job]
    assert not started, started


@when("{count:d} single tasks are submitted and one worker leaves its start orders unanswered")
def when_one_late(context, count):
    cell = context.cell
    context.sent_calls = []
    record_calls(context, cell.leader, context.sent_calls)
    cell.fleet.workers[0].late_call_fraction = 1.0
    for _ in range(count):
        submit_job(context, make_plan(make_step(1)))
    context.run(cell.clock.advance(0.1))
    # The stop orders that follow are answered.
    cell.fleet.workers[0].late_call_fraction = 0.0


@when("a task of {seconds:d} seconds is submitted, and its first start order is {fault}")
def when_first_start_lost(context, seconds, fault):
    cell = context.cell
    worker = cell.fleet.workers[0]
    if fault == "carried out late":
        worker.late_call_fraction = 1.0
    else:
        worker.loses_answers = True
    submit_job(context, make_plan(make_step(1), run_s=seconds))
    context.run(cell.clock.advance(0.1))
    worker.late_call_fraction = 0.0
    worker.loses_answers = False


@then("each of these orders is followed by a stop order within {seconds:f} seconds")
def then_stopped(context, seconds):
    context.run(context.cell.clock.advance(seconds - 0.1))
    started = len(context.cell.fleet.starts)
    unanswered = context.jobs - started
    assert unanswered, "no order was lost"
    assert context.sent_calls.count("stop") == unanswered, context.sent_calls


@when("a worker announces that it drains, and the leader is lost at once")
def when_drains_and_lost(context):
    cell = context.cell
    context.worker = cell.fleet.workers[0]
    context.worker.is_draining = True

    async def announce():
        await cell.fleet.send_heartbeat(context.worker)

    async def lose():
        cell.start_soon(announce)
        await cell.clock.advance(0.1)
        cell.leader.kill()
        for worker in cell.fleet.workers:
            worker.sends_heartbeats = False
        await cell.wait_for_leader()

    context.run(lose())


@when("{count:d} single tasks are submitted before the next heartbeat")
def when_submitted_early(context, count):
    for _ in range(count):
        submit_job(context, make_plan(make_step(1)))
    context.run(context.cell.clock.advance(1.0))


@then("the draining worker has started none of them")
def then_none_started(context):
    starts = context.cell.fleet.starts
    assert starts, "no task has started"
    assert context.worker.id not in {worker for runs in starts.values() for worker, _ in runs}


@when("{count:d} single tasks are submitted, and 1 second passes")
def when_submitted_and_waited(context, count):
    for _ in range(count):
        submit_job(context, make_plan(make_step(1)))
    context.run(context.cell.clock.advance(1.0))


@then("the leader says that {count:d} jobs wait")
def then_waiting(context, count):
    answer = context.run(read_queue(context.cell))
    assert answer.counted
    assert answer.waiting == count, answer.waiting


async def read_queue(cell):
    answers = []

    async def read():
        answers.append(await cell.send_request(peers_pb2.JOB_READ, ""))

    cell.start_soon(read)
    assert await cell.clock.advance_until(lambda: bool(answers), seconds=1.0)
    return answers[0]


@when("the workers are back for {seconds:d} seconds")
def when_workers_back(context, seconds):
    for worker in context.cell.fleet.workers:
        worker.is_cut_off = False
    context.run(context.cell.clock.advance(seconds))


def make_fleet(size, *, loss_percent):
    """Return a fleet whose workers answered the rest of 100 calls each."""
    fleet = Fleet()
    for number in range(size):
        worker = fleet.add(jobs_pb2.CalledWorker(id=f"w{number}", capacity=CAPACITY.to_message()))
        for call in range(100):
            worker.answer_counts.record(is_answered=call >= loss_percent, now=0.0)
    return fleet


@given("a fleet of {size:d} workers that left {percent:d} percent of their calls unanswered")
def given_fleet(context, size, percent):
    context.fleet = make_fleet(size, loss_percent=percent)


def count_orders_until_suspended(fleet, worker):
    for order in range(1, 20):
        worker.record_unanswered_order(0.0)
        fleet.suspend_if_silent(worker, 0.0)
        if worker.suspension_cause is SuspensionCause.ORDERS_UNANSWERED:
            return order
    return None


@when("one more worker leaves its orders unanswered")
def when_one_silent(context):
    worker = context.fleet.add(jobs_pb2.CalledWorker(id="silent", capacity=CAPACITY.to_message()))
    context.orders = [count_orders_until_suspended(context.fleet, worker)]


@when("{count:d} of its workers leave their orders unanswered")
def when_many_silent(context, count):
    workers = list(context.fleet)[:count]
    context.orders = [count_orders_until_suspended(context.fleet, worker) for worker in workers]


@then("it is suspended after {orders:d} orders")
def then_suspended(context, orders):
    assert context.orders == [orders], context.orders


@then("each of the {count:d} is suspended after {orders:d} orders")
def then_all_suspended(context, count, orders):
    assert context.orders == [orders] * count, context.orders


@then("at most {count:d} workers were suspended at a time")
def then_few_suspended(context, count):
    assert context.most_suspended <= count, context.most_suspended
