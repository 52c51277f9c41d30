import random

from behave import then, when

from dewspindle._internal.exceptions import NotLeaderError, OutcomeUnknownError
from dewspindle._internal.schema import cell_pb2, jobs_pb2
from features.lib.job_cell import HOST, PREFIX
from features.lib.stepping import advance
from features.steps.job_steps import (
    allocate_job_id,
    heal_all,
    inject_worker_fault,
    make_plan,
    make_step,
    start_in_background,
)
from features.steps.replication_steps import FAULTS

JOBS_PER_S = 4
CANCELLED_FRACTION = 0.1
FAULTS_PER_S = 0.6
REPLICA_FAULTS = ("kill", "pause", "two-way partition", "one-way partition", "lost answers")
WORKER_FAULTS = ("crash", "cut off", "freeze", "lost answers", "late orders", "failing", "hanging")


def make_random_plan(rng):
    kind = rng.choice(("single", "steps", "gang", "failing"))
    if kind == "gang":
        return make_plan(make_step(rng.randint(2, 8), gang=True), run_s=rng.uniform(0.3, 3))
    if kind == "steps":
        first, second = make_step(rng.randint(1, 4)), make_step(2, depends_on=[0])
        return make_plan(first, second, run_s=rng.uniform(0.3, 2))
    if kind == "failing":
        return make_plan(make_step(1), failures=1, run_s=0.5)
    return make_plan(make_step(rng.randint(1, 6)), run_s=rng.uniform(0.3, 3))


async def propose_queue_table(context, version):
    """Propose a version of the queue table, and record it if it is acknowledged."""
    cell = context.cell
    leader = cell.leader
    if leader is None or leader.replica is None:
        return
    queue = jobs_pb2.Queue(
        name=f"queue-{version}", host=HOST, path_prefix=PREFIX, pool="pool", max_attempts=50
    )
    table = jobs_pb2.QueueTable(version=version, queues=[queue])
    try:
        await leader.replica.propose(cell_pb2.Command(queue_table=table))
    except (NotLeaderError, OutcomeUnknownError):
        return
    context.acknowledged_version = max(context.acknowledged_version, version)


async def submit_and_cancel(context, job_id, plan, cancel_after_s):
    await context.cell.submit(job_id, plan)
    if cancel_after_s is not None:
        await context.cell.fleet.timers.sleep(cancel_after_s)
        await context.cell.cancel(job_id)


def inject_random_fault(context, rng):
    cell = context.cell
    if rng.random() < 0.4:
        running_nodes = [node for node in cell.nodes if node.is_up and not node.timers.is_paused]
        leaders = [node for node in running_nodes if node is cell.leader]
        victim = leaders[0] if leaders and rng.random() < 0.6 else rng.choice(cell.nodes)
        if len(running_nodes) > 1 and victim in running_nodes:
            FAULTS[rng.choice(REPLICA_FAULTS)](cell, victim)
        return
    inject_worker_fault(context, rng.choice(WORKER_FAULTS), rng.choice(cell.fleet.workers))


@when(
    "random faults occur for {seconds:d} seconds while jobs are submitted and cancelled, "
    "with seed {seed:d}"
)
def when_random_faults(context, seconds, seed):
    rng = random.Random(seed)
    context.acknowledged_version = 0
    start_in_background(context, propose_queue_table, context, 2)
    for second in range(seconds):
        for _ in range(JOBS_PER_S):
            is_cancelled = rng.random() < CANCELLED_FRACTION
            cancel_after_s = rng.uniform(0, 2) if is_cancelled else None
            plan = make_random_plan(rng)
            start_in_background(
                context, submit_and_cancel, context, allocate_job_id(context), plan, cancel_after_s
            )
        if rng.random() < FAULTS_PER_S:
            context.run(inject_on_loop(context, rng))
        if second % 5 == 4:
            start_in_background(context, propose_queue_table, context, 3 + second)
        if rng.random() < 0.3:
            context.run(heal_all(context.cell))
        advance(context, 1)


async def inject_on_loop(context, rng):
    inject_random_fault(context, rng)


@when("the faults end and the cell runs for {seconds:d} seconds")
def when_faults_end(context, seconds):
    context.run(heal_all(context.cell))
    advance(context, seconds)


@then("every accepted job succeeded or was cancelled on request")
def then_succeeded_or_cancelled(context):
    cell = context.cell
    fleet = cell.fleet
    assert len(fleet.accepted) > 10, fleet.accepted
    wrong = {}
    for job_id in sorted(fleet.accepted):
        state = cell.get_state(job_id)
        allowed = [jobs_pb2.JOB_SUCCEEDED]
        if job_id in fleet.cancelled_at:
            allowed.append(jobs_pb2.JOB_CANCELLED)
        if state not in allowed:
            wrong[job_id] = state
    assert not wrong, (len(fleet.accepted), wrong, cell.describe())


@then("every acknowledged cancellation and queue table is still in effect")
def then_still_in_effect(context):
    cell = context.cell
    # A job may have succeeded before its cancellation took effect.
    for job_id in cell.fleet.cancelled_at:
        assert cell.get_state(job_id) != jobs_pb2.JOB_OPEN, job_id
    running = {task.job for worker in cell.fleet.workers for task in worker.runs}
    assert not running & set(cell.fleet.cancelled_at), running
    leader = cell.leader
    table = leader.replica.context.view.state.job_store.queue_table
    assert table.version >= context.acknowledged_version, table.version
