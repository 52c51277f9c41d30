import random

import anyio
from behave import given, then, when

from dewspindle._internal.network.leader_tracker import LeaderTracker
from dewspindle._internal.replication.address_book import AddressBook
from dewspindle._internal.replication.transport import PeerUnreachableError
from dewspindle._internal.schema import peers_pb2
from dewspindle._internal.settings.loading import load_settings
from features.lib.clock import ManualClock, ManualTimerService

ADDRESSES = [f"127.0.0.1:{7000 + number}" for number in range(5)]
LATENCY_S = 0.004


class QueriedReplicas:
    """Replicas that answer queries for the leader, but for those that are silent."""

    def __init__(self, timers):
        self.timers = timers
        self.leader = ADDRESSES[0]
        self.silent = set()
        self.known = {}  # Addresses in the answer of a replica.

    async def call(self, address, method, request, *, timeout_s):
        if address in self.silent:
            await self.timers.sleep(timeout_s)
            raise PeerUnreachableError("no answer")
        await self.timers.sleep(LATENCY_S)
        return peers_pb2.HelloAnswer(
            address=address,
            leads=address == self.leader,
            replicas=self.known.get(address, []),
        )


def make_tracker(context, seeds):
    context.clock = ManualClock()
    timers = ManualTimerService(context.clock)
    context.replicas = QueriedReplicas(timers)
    settings = load_settings(
        {
            "instance_id": "edge",
            "availability_zone": "z",
            "peer_address": "127.0.0.1:7900",
            "seeds": ",".join(seeds),
            "operator_token": "t",
        },
        environment={},
    )
    context.tracker = LeaderTracker(
        settings=settings,
        address_book=AddressBook(settings),
        rpc_client=context.replicas,
        timers=timers,
        rng=random.Random(1),
    )


async def host_tracker(context):
    async with anyio.create_task_group() as group:
        context.scope = group.cancel_scope
        group.start_soon(context.tracker.run)


def start_tracker(context):
    async def start():
        context.host = context.runner.get_loop().create_task(host_tracker(context))
        await context.clock.settle()

    async def stop():
        context.scope.cancel()
        await context.host

    context.run(start())
    context.closers.append(lambda: context.run(stop()))


@given("an entry instance that knows 5 replicas")
def given_tracker(context):
    make_tracker(context, ADDRESSES)
    start_tracker(context)
    context.run(context.clock.advance(3.0))
    assert context.tracker.leader_address == ADDRESSES[0]


@given("an entry instance that knows 5 replicas, of which the leader and another fall silent")
def given_two_silent(context):
    given_tracker(context)
    context.replicas.silent = {ADDRESSES[0], ADDRESSES[1]}
    context.replicas.leader = ""


@given("an entry instance that knows 5 replicas, of which the leader falls silent")
def given_one_silent(context):
    given_tracker(context)
    context.replicas.silent = {ADDRESSES[0]}


@given("an entry instance that knows one replica, which knows of the leader's address")
def given_one_known(context):
    make_tracker(context, ADDRESSES[1:2])
    context.replicas.known = {ADDRESSES[1]: ADDRESSES[:1]}


@when("another replica leads {seconds:f} seconds later")
def when_another_leads(context, seconds):
    # The check of a known leader is due within a second, so the search begins before.
    context.run(context.clock.advance(1.0 + seconds))
    context.replicas.leader = ADDRESSES[3]


@when("another replica leads at once and the entry instance suspects the leader")
def when_suspects_lost(context):
    context.replicas.leader = ADDRESSES[3]
    context.tracker.suspect_leader(ADDRESSES[0])


@when("the entry instance suspects the leader")
def when_suspects(context):
    context.tracker.suspect_leader(ADDRESSES[0])


@when("the entry instance looks for the leader")
def when_looks(context):
    start_tracker(context)


def advance_until_known(context, address, seconds):
    return context.run(
        context.clock.advance_until(
            lambda: context.tracker.leader_address == address, seconds=seconds
        )
    )


@then("the entry instance knows it at most {seconds:f} seconds after that")
def then_known(context, seconds):
    assert advance_until_known(context, ADDRESSES[3], seconds)


@then("the entry instance knows the same leader within {seconds:f} seconds")
def then_known_again(context, seconds):
    context.run(context.clock.settle())
    assert not context.tracker.leader_address, "no search has begun"
    assert advance_until_known(context, ADDRESSES[0], seconds)


@then("it has found the leader within {seconds:f} seconds")
def then_found(context, seconds):
    assert advance_until_known(context, ADDRESSES[0], seconds)
