import random

import anyio
from behave import given, then, when

from dewspindle._internal.exceptions import OutcomeUnknownError
from dewspindle._internal.job_instance import LEADER_ATTEMPT_TIMEOUT_S
from dewspindle._internal.network import methods
from dewspindle._internal.network.leader_client import LeaderClient
from dewspindle._internal.network.leader_tracker import LeaderTracker
from dewspindle._internal.replication.address_book import AddressBook
from dewspindle._internal.replication.transport import PeerUnreachableError
from dewspindle._internal.schema import peers_pb2
from dewspindle._internal.settings.loading import load_settings
from dewspindle._internal.utils.metrics import Metrics
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
        if method is methods.RELAY_JOBS:
            return peers_pb2.RelayJobsAnswer()
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
    context.client = LeaderClient(
        own_address="",
        leader_source=context.tracker,
        rpc_client=context.replicas,
        timers=timers,
        metrics=Metrics(instance="edge", zone="z"),
        attempt_timeout_s=LEADER_ATTEMPT_TIMEOUT_S,
    )
    context.answered_at = []
    context.unknown_at = []


async def host_tracker(context):
    async with anyio.create_task_group() as group:
        context.group = group
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


async def send_request(context, is_idempotent):
    try:
        await context.client.send(
            methods.RELAY_JOBS,
            peers_pb2.RelayJobsRequest(),
            timeout_s=3.0,
            is_idempotent=is_idempotent,
        )
    except OutcomeUnknownError:
        context.unknown_at.append(context.clock.now - context.began_at)
    else:
        context.answered_at.append(context.clock.now - context.began_at)


@when(
    "it sends a request every 0.1 seconds for 0.5 seconds, and another replica leads from then on"
)
def when_sends(context):
    context.began_at = context.clock.now

    async def send():
        for _ in range(5):
            context.group.start_soon(send_request, context, True)
            await context.clock.advance(0.1)
        context.replicas.leader = ADDRESSES[3]
        await context.clock.advance(3.0)

    context.run(send())


@then("all are answered within {seconds:f} seconds of the first one")
def then_answered(context, seconds):
    assert len(context.answered_at) == 5
    assert max(context.answered_at) <= seconds, context.answered_at


@when("it sends a request that is not idempotent, and another replica leads at once")
def when_sends_once(context):
    context.began_at = context.clock.now

    async def send():
        context.group.start_soon(send_request, context, False)
        await context.clock.advance(0.1)
        context.replicas.leader = ADDRESSES[3]
        context.tracker.suspect_leader(ADDRESSES[0])
        await context.clock.advance(3.0)

    context.run(send())


@then("the outcome of the request is unknown after {seconds:f} seconds")
def then_unknown(context, seconds):
    assert [round(at, 3) for at in context.unknown_at] == [seconds], context.unknown_at
