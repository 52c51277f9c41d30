from behave import then, when

from features.steps.job_steps import inject_worker_fault

LEAVING_FAULTS = {
    "its answers are lost": ["unacknowledged"],
    "all that is sent to it is lost": ["deaf", "unacknowledged"],
    "leader kill": ["leader kill"],
    "nothing else happens": [],
}


def find_busy_worker(context):
    worker = next((w for w in context.cell.fleet.workers if w.runs), None)
    assert worker is not None, "no worker has a task"
    return worker


@when("a worker with tasks {announces} while {fault}")
def when_deregisters(context, announces, fault):
    fleet = context.cell.fleet
    worker = find_busy_worker(context)
    faults = [name for part in fault.split(", ") for name in LEAVING_FAULTS[part]]

    async def leave():
        if announces.startswith("drains"):
            inject_worker_fault(context, "drain", worker)
            await context.cell.clock.advance(0.1)
        worker.gets_no_calls = "deaf" in faults
        worker.gets_no_acknowledgements = "unacknowledged" in faults
        context.cell.start_soon(fleet.leave, worker)
        # The leader has handled the deregistration by then.
        await context.cell.clock.advance(0.1)
        if "leader kill" in faults:
            inject_worker_fault(context, "leader kill", worker)

    context.run(leave())


@when("the leader is lost, and a worker with tasks that gets no calls deregisters at the next one")
def when_deregisters_at_next_leader(context):
    fleet = context.cell.fleet
    worker = find_busy_worker(context)

    async def leave():
        inject_worker_fault(context, "leader kill", worker)
        worker.gets_no_calls = worker.gets_no_acknowledgements = True
        await context.cell.wait_for_leader()
        context.cell.start_soon(fleet.leave, worker)

    context.run(leave())


@when("deregistrations without a birth time of all workers arrive")
def when_late_deregistrations(context):
    cell = context.cell

    async def deregister(worker):
        await cell.fleet.send_deregistration(worker, born_ms=0)

    async def deregister_all():
        for worker in cell.fleet.workers:
            cell.start_soon(deregister, worker)

    context.run(deregister_all())


@when("a worker reports twice that it drains while nothing can be committed")
def when_drain_repeated(context):
    cell = context.cell
    worker = cell.fleet.workers[0]
    worker.is_draining = True
    context.acknowledged = []
    leader = cell.leader

    async def report():
        heartbeat = cell.fleet.make_heartbeat(worker)
        context.acknowledged.append(await cell.fleet.send_to_leader(heartbeat))

    async def report_twice():
        cell.network.isolate(leader.address, [a for a in cell.addresses if a != leader.address])
        cell.start_soon(report)
        await cell.clock.advance(0.05)
        cell.start_soon(report)
        await cell.clock.advance(0.2)

    context.run(report_twice())
    assert leader.replica.may_act_as_leader


@then("neither heartbeat is acknowledged before the leader lease is over")
def then_not_acknowledged(context):
    assert not context.acknowledged, context.acknowledged
