from behave import given, then, when

from dewspindle._internal.models.resources import Amounts
from dewspindle._internal.platform.cell_program import make_heartbeat_limits
from dewspindle._internal.platform.settings_file import decode_platform_settings
from features.lib.called_fleet import CAPACITY
from features.lib.stepping import advance
from features.steps.job_steps import make_plan, make_step, submit_job


def resize(worker, millicores):
    worker.resize(Amounts(processors=millicores, memory_mb=CAPACITY.memory_mb))


@when("a worker shrinks to {millicores:d} millicores and {seconds:d} seconds pass")
@when("the worker grows to {millicores:d} millicores and {seconds:d} seconds pass")
def when_resized(context, millicores, seconds):
    resize(context.cell.fleet.workers[0], millicores)
    advance(context, seconds)


@when("a job of {count:d} tasks is submitted and {seconds:d} seconds pass")
def when_submitted_and_run(context, count, seconds):
    submit_job(context, make_plan(make_step(count)))
    advance(context, seconds)


@when("the worker shrinks to {millicores:d} millicores as they run")
def when_shrinks_under_tasks(context, millicores):
    worker = context.cell.fleet.workers[0]

    async def shrink():
        assert await context.cell.clock.advance_until(lambda: len(worker.runs) == 8, seconds=2)
        resize(worker, millicores)

    context.run(shrink())


@when("its heartbeats stop, and the leader is lost")
def when_silent_and_leader_lost(context):
    cell = context.cell
    cell.fleet.workers[0].sends_heartbeats = False

    async def lose():
        cell.leader.kill()
        await cell.wait_for_leader()

    context.run(lose())


@when(
    "all replicas are down for {down:d} seconds, and a worker shrinks to {millicores:d} millicores "
    "after {after:d} second"
)
def when_all_down(context, down, millicores, after):
    cell = context.cell
    worker = cell.fleet.workers[0]

    async def restart():
        for node in cell.nodes:
            node.kill()
        await cell.clock.advance(after)
        resize(worker, millicores)
        worker.sends_heartbeats = False
        await cell.clock.advance(down - after)
        cell.heal()
        await cell.wait_for_leader()

    context.run(restart())
    submit_job(context, make_plan(make_step(8)))
    advance(context, 1)
    worker.sends_heartbeats = True


@when(
    "a worker shrinks to {millicores:d} millicores right after its last heartbeat and {duration:d} "
    "ms pass"
)
def when_shrinks_silently(context, millicores, duration):
    cell = context.cell
    worker = cell.fleet.workers[0]
    known = next(iter(cell.leader.job_leader_services.dispatcher._fleet))

    async def shrink():
        assert await cell.clock.advance_until(
            lambda: cell.clock.now - known.last_heartbeat_at < 0.1, seconds=2
        )
        worker.sends_heartbeats = False
        resize(worker, millicores)
        await cell.clock.advance(duration / 1000)

    context.run(shrink())


@then("no worker got more than it has left")
def then_none_over_capacity(context):
    assert not context.cell.fleet.broken.rules, context.cell.fleet.broken.rules[:3]


@given("settings with heartbeats each {interval:d} ms and a contact timeout of {contact:d} ms")
def given_heartbeat_settings(context, interval, contact):
    context.platform_settings = decode_platform_settings(
        "node_name=n\nzone=z\nip=127.0.0.1\ninternal_ports=7720,7730\n"
        f"heartbeat_interval_ms={interval}\npolicy_limits.contact_timeout_ms={contact}\n"
    )


@then("a worker counts as silent after {timeout:d} ms")
def then_silent_after(context, timeout):
    limits = make_heartbeat_limits(context.platform_settings)
    assert round(limits.timeout_s * 1000) == timeout, limits
