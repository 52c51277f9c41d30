import random

from behave import given, then, when

from dewspindle._internal.cell.view import CellView
from dewspindle._internal.exceptions import UnknownCommandError
from dewspindle._internal.network.follow_service import FollowService
from dewspindle._internal.network.observer import CellObserver
from dewspindle._internal.replication.transport import PeerUnreachableError
from dewspindle._internal.schema import cell_pb2
from dewspindle._internal.settings.loading import load_settings
from features.lib.clock import ManualTimerService
from features.steps.replication_steps import make_cell, start_cell

ADDRESS = "127.0.0.1:7900"
FENCE_AFTER_S = 4.0


class FollowCaller:
    """Sends follow requests over the fake network, and can add an entry of a newer version."""

    def __init__(self, context):
        self.cell = context.cell
        self.timers = context.timers
        self.adds_newer_entry = False

    async def call(self, address, method, request, *, timeout_s):
        try:
            with self.timers.fail_after(timeout_s):
                answer = await self.cell.network.send(
                    ADDRESS, address, "follow", request, method.answer
                )
        except TimeoutError:
            raise PeerUnreachableError(f"no answer within {timeout_s} s") from None
        if self.adds_newer_entry:
            # A command whose body this version does not know parses as a command without a body.
            command = cell_pb2.Command(key="newer").SerializeToString()
            answer.entries.add(index=request.after + 1, term=1, command=command)
        return answer


@given("a cell of {replicas:d} replicas and an instance that follows its state")
def given_observer(context, replicas):
    cell = make_cell(context, replicas, snapshot_entries="40", retained_entries="10")
    context.timers = ManualTimerService(cell.clock)
    context.view = CellView(timers=context.timers, fence_after_s=FENCE_AFTER_S)
    context.rpc_client = FollowCaller(context)
    cell.network._node_timers[ADDRESS] = context.timers
    context.failure = None
    context.fenced_at = None
    context.highest_revision = 0
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
    context.observer = CellObserver(
        settings=settings,
        view=context.view,
        rpc_client=context.rpc_client,
        timers=context.timers,
        rng=random.Random(3),
    )

    async def run():
        try:
            await context.observer.run()
        except UnknownCommandError as error:
            context.failure = error

    def check():
        """Check that the view's revision never goes back, and record when it is first fenced."""
        assert context.view.revision >= context.highest_revision, (
            "the observer went back to an older revision"
        )
        context.highest_revision = context.view.revision
        if not context.view.is_fresh and context.fenced_at is None:
            context.fenced_at = cell.clock.now

    async def prepare():
        await start_cell(cell)
        register_follow_service(cell)
        cell.start_soon(run)
        assert await cell.clock.advance_until(lambda: context.view.is_fresh, seconds=5)
        context.fenced_at = None
        cell.clock.add_check(check)
        await cell.put_many(["first"])
        context.started_at = cell.clock.now

    context.run(prepare())


def register_follow_service(cell):
    """Let the nodes that are up answer follow requests; needed again after each start."""
    for node in cell.nodes:
        if node.is_up:
            service = FollowService(node.replica, timers=node.timers)
            cell.network._handlers[node.address]["follow"] = service.follow


def is_current(context):
    leader = context.cell.leader
    return (
        leader is not None
        and context.view.is_fresh
        and context.view.revision == leader.revision
        and leader.revision > 1
    )


async def wait_until_current(context, seconds=15):
    await context.cell.put_many(["last"])
    done = await context.cell.clock.advance_until(lambda: is_current(context), seconds=seconds)
    assert done, (context.view.revision, context.cell.describe())


@when("{count:d} changes are committed while the observer is partitioned")
def when_behind(context, count):
    cell = context.cell

    async def commit_changes():
        cell.network.isolate(ADDRESS, cell.addresses)
        for number in range(count // 10):
            await cell.put_many([f"change-{number}-{n}" for n in range(10)])
        assert cell.leader.replica.context.log.first_index > context.view.revision + 1
        cell.network.heal()

    context.run(commit_changes())


@when("the observer is partitioned for {seconds:d} seconds")
def when_partitioned(context, seconds):
    cell = context.cell

    async def partition():
        cell.network.isolate(ADDRESS, cell.addresses)
        await cell.clock.advance(seconds)
        cell.network.heal()

    context.run(partition())


@when("the observer is paused for {seconds:d} seconds")
def when_paused(context, seconds):
    async def pause():
        context.timers.pause()
        await context.cell.clock.advance(seconds)
        context.was_fresh = context.view.is_fresh
        context.timers.resume()

    context.run(pause())


@when("the replica that the observer reads from is partitioned")
def when_source_partitioned(context):
    cell = context.cell

    async def partition_source():
        cell.network.isolate(context.observer._source, [*cell.addresses, ADDRESS])
        await cell.clock.advance(8)
        # The partition still holds, so the observer can be current only through another replica.
        await wait_until_current(context)

    context.run(partition_source())


@when("the leader crashes")
def when_leader_crashes(context):
    async def crash_leader():
        context.cell.leader.kill()
        await context.cell.wait_for_leader()

    context.run(crash_leader())


@when("the leader and another replica crash at the same time")
def when_two_crash(context):
    cell = context.cell

    async def crash_two():
        other = next(node for node in cell.nodes if node is not cell.leader)
        cell.leader.kill()
        other.kill()
        await cell.wait_for_leader()

    context.run(crash_two())


@when("the cell has no quorum for {seconds:d} seconds")
def when_no_quorum(context, seconds):
    cell = context.cell

    async def stop_quorum():
        killed = [node for node in cell.nodes if node is not cell.leader]
        for node in killed:
            node.kill()
        await cell.clock.advance(seconds)
        for node in killed:
            node.start()
        register_follow_service(cell)

    context.run(stop_quorum())


@when("the observer receives an entry from a newer version")
def when_newer(context):
    context.revision_before = context.view.revision
    context.rpc_client.adds_newer_entry = True
    context.run(context.cell.clock.advance(2))


@then("the observer catches up from a snapshot and is fresh")
def then_caught_up(context):
    context.run(wait_until_current(context))


@then("the observer fences itself within {seconds:d} seconds and is fresh again")
def then_fenced(context, seconds):
    assert context.fenced_at is not None, "the observer was never fenced"
    assert context.fenced_at - context.started_at <= seconds
    context.run(wait_until_current(context))


@then("the observer is already fenced when it resumes, and becomes fresh again")
def then_fenced_after_pause(context):
    assert not context.was_fresh
    context.run(wait_until_current(context))


@then("the observer switches to another replica and is fresh")
def then_follows_another(context):
    assert is_current(context)


@then("the observer reaches the new leader's revision")
def then_follows_next(context):
    context.run(wait_until_current(context))


@then("the observer stops with {code} and keeps its state")
def then_stops(context, code):
    assert context.failure is not None
    assert context.failure.code == code
    assert context.view.revision == context.revision_before
