import random

from behave import given, then, when

from dewspindle._internal.cell.view import CellView
from dewspindle._internal.exceptions import UnknownCommandError
from dewspindle._internal.network.follow_service import FollowService
from dewspindle._internal.network.follower import CellFollower
from dewspindle._internal.replication.transport import PeerUnreachableError
from dewspindle._internal.schema import cell_pb2
from dewspindle._internal.settings.loading import load_settings
from features.lib.clock import ManualTimerService
from features.steps.replication_steps import make_cell, start_cell

ADDRESS = "127.0.0.1:7900"
FENCE_AFTER_S = 4.0


class FollowCaller:
    """Carries follow requests over the fake network."""

    def __init__(self, context):
        self.cell = context.cell
        self.timers = context.timers
        self.is_newer = False

    async def call(self, address, method, request, *, timeout_s):
        try:
            with self.timers.fail_after(timeout_s):
                answer = await self.cell.network.send(
                    ADDRESS, address, "follow", request, method.answer
                )
        except TimeoutError:
            raise PeerUnreachableError("no answer in time") from None
        if self.is_newer:
            # A command without any body that this version knows.
            command = cell_pb2.Command(key="newer").SerializeToString()
            answer.entries.add(index=request.after + 1, term=1, command=command)
        return answer


@given("a cell of {replicas:d} replicas and an instance that follows it")
def given_follower(context, replicas):
    cell = make_cell(context, replicas, snapshot_entries="40", retained_entries="10")
    context.timers = ManualTimerService(cell.clock)
    context.view = CellView(timers=context.timers, fence_after_s=FENCE_AFTER_S)
    context.caller = FollowCaller(context)
    cell.network._pauses[ADDRESS] = context.timers
    context.failure = None
    context.fenced_at = None
    context.highest = 0
    settings = load_settings(
        {
            "instance_id": "follower",
            "availability_zone": "z",
            "peer_address": ADDRESS,
            "peers": cell.peers,
            "operator_token": "t",
        },
        environment={},
    )
    context.follower = CellFollower(
        settings=settings,
        view=context.view,
        caller=context.caller,
        timers=context.timers,
        seed=random.Random(3),
    )

    async def run():
        try:
            await context.follower.run()
        except UnknownCommandError as error:
            context.failure = error

    def check():
        """Check that what the instance serves from never goes back."""
        assert context.view.revision >= context.highest, "the follower went back"
        context.highest = context.view.revision
        if not context.view.is_fresh and context.fenced_at is None:
            context.fenced_at = cell.clock.now

    async def prepare():
        await start_cell(cell)
        attach_follow(cell)
        cell.start_soon(run)
        assert await cell.clock.advance_until(lambda: context.view.is_fresh, seconds=5)
        context.fenced_at = None
        cell.clock.add_check(check)
        await cell.put_many(["first"])
        context.started_at = cell.clock.now

    context.run(prepare())


def attach_follow(cell):
    for node in cell.nodes:
        if node.is_up:
            service = FollowService(node.replica, timers=node.timers)
            cell.network._nodes[node.address]["follow"] = service.follow


def is_current(context):
    leader = context.cell.leader
    return (
        leader is not None
        and context.view.is_fresh
        and context.view.revision == leader.revision
        and leader.revision > 1
    )


async def settle_current(context, seconds=15):
    await context.cell.put_many(["last"])
    done = await context.cell.clock.advance_until(lambda: is_current(context), seconds=seconds)
    assert done, (context.view.revision, context.cell.describe())


@when("{count:d} changes go by while it is cut off")
def when_behind(context, count):
    cell = context.cell

    async def go():
        cell.network.isolate(ADDRESS, cell.addresses)
        for number in range(count // 10):
            await cell.put_many([f"change-{number}-{n}" for n in range(10)])
        assert cell.leader.replica.context.log.first_index > context.view.revision + 1
        cell.network.heal()

    context.run(go())


@when("it is cut off for {seconds:d} seconds")
def when_cut_off(context, seconds):
    cell = context.cell

    async def go():
        cell.network.isolate(ADDRESS, cell.addresses)
        await cell.clock.advance(seconds)
        cell.network.heal()

    context.run(go())


@when("it is paused for {seconds:d} seconds")
def when_paused(context, seconds):
    async def go():
        context.timers.pause()
        await context.cell.clock.advance(seconds)
        context.was_fresh = context.view.is_fresh
        context.timers.resume()

    context.run(go())


@when("the replica it follows is cut off")
def when_source_cut(context):
    cell = context.cell

    async def go():
        cell.network.isolate(context.follower._source, [*cell.addresses, ADDRESS])
        await cell.clock.advance(8)
        await settle_current(context)

    context.run(go())


@when("the leader dies")
def when_leader_dies(context):
    async def go():
        context.cell.leader.kill()
        await context.cell.wait_for_leader()

    context.run(go())


@when("two replicas die at once")
def when_two_die(context):
    cell = context.cell

    async def go():
        other = next(node for node in cell.nodes if node is not cell.leader)
        cell.leader.kill()
        other.kill()
        await cell.wait_for_leader()

    context.run(go())


@when("the quorum is lost for {seconds:d} seconds")
def when_quorum_lost(context, seconds):
    cell = context.cell

    async def go():
        killed = [node for node in cell.nodes if node is not cell.leader]
        for node in killed:
            node.kill()
        await cell.clock.advance(seconds)
        for node in killed:
            node.start()
        attach_follow(cell)

    context.run(go())


@when("an entry of a newer version comes")
def when_newer(context):
    context.before = context.view.revision
    context.caller.is_newer = True
    context.run(context.cell.clock.advance(2))


@then("it catches up by snapshot and is fresh")
def then_caught_up(context):
    context.run(settle_current(context))


@then("it was fenced within {seconds:d} seconds and is fresh again")
def then_fenced(context, seconds):
    assert context.fenced_at is not None, "it was never fenced"
    assert context.fenced_at - context.started_at <= seconds
    context.run(settle_current(context))


@then("it is fenced as soon as it goes on, then fresh")
def then_fenced_after_pause(context):
    assert not context.was_fresh
    context.run(settle_current(context))


@then("it follows another one and is fresh")
def then_follows_another(context):
    assert is_current(context)


@then("it follows the next leader's revision")
def then_follows_next(context):
    context.run(settle_current(context))


@then("it stops with {code} and keeps its state")
def then_stops(context, code):
    assert context.failure is not None
    assert context.failure.code == code
    assert context.view.revision == context.before
