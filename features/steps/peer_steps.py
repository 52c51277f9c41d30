import asyncio
import hashlib
import random
from unittest import mock

import anyio
from behave import given, then, when

from dewspindle._internal.cell.view import CellView
from dewspindle._internal.models.enums import Role
from dewspindle._internal.network import call_stream, methods
from dewspindle._internal.network.peer_client import PeerClient
from dewspindle._internal.network.peer_server import PeerServer
from dewspindle._internal.replication.peer_link import PeerLink
from dewspindle._internal.replication.replica import load_context
from dewspindle._internal.replication.transport import (
    PeerNotConnectedError,
    PeerUnreachableError,
)
from dewspindle._internal.schema import cell_pb2, peers_pb2
from dewspindle._internal.settings.loading import load_settings
from dewspindle._internal.utils.local_ports import reserve_address
from dewspindle._internal.utils.timers import SystemTimerService
from features.lib import known_faults
from features.lib.disk import MemoryDisk

REQUESTS = 3
REQUEST_LIMIT_S = 0.05
SILENT_CALL_LIMIT_S = 0.01
LAST_CALL = 3  # Of three calls, each of which fills a frame.
BUSY_BLOCK = bytes(2_000_000)  # Takes a millisecond or more to digest.


def make_settings(address, **flags):
    """Return the settings of a replica with a peer address."""
    return load_settings(
        {
            "instance_id": "a",
            "availability_zone": "z",
            "peer_address": address,
            "peers": f"a@{address}",
            "operator_token": "t",
            **flags,
        },
        environment={},
    )


@given("a peer server with a handler that waits")
def given_server(context):
    context.address = reserve_address()
    settings = make_settings(context.address)

    async def start():
        context.started, context.released = asyncio.Event(), asyncio.Event()
        context.completed = asyncio.Event()
        context.server, context.client = PeerServer(settings), PeerClient(settings)
        context.server.register(methods.HELLO, handle_hello)
        context.server.register(methods.FORM, handle_form)
        await context.server.start()

    async def handle_hello(request):
        context.started.set()
        await context.released.wait()
        context.completed.set()
        return peers_pb2.HelloAnswer()

    async def handle_form(request):
        return peers_pb2.FormAnswer()

    async def close():
        await context.client.close()
        await context.server.stop()

    context.run(start())
    context.closers.append(lambda: context.run(close()))


@when("a client cancels a request while its handler runs")
def when_cancels(context):
    async def cancel_request():
        call = asyncio.ensure_future(
            context.client.call(
                context.address, methods.HELLO, peers_pb2.HelloRequest(), timeout_s=60
            )
        )
        await context.started.wait()
        call.cancel()
        # These requests follow the cancellation on the same connection, so once they are answered,
        # the server has received it.
        for _ in range(3):
            await context.client.call(
                context.address, methods.FORM, peers_pb2.FormRequest(), timeout_s=60
            )
        context.released.set()

    context.run(cancel_request())


@then("the handler of the cancelled request runs to its end")
def then_completed(context):
    context.run(context.completed.wait())


@when("a task of a group sends requests with a time limit while the handler waits")
def when_limited(context):
    context.outcomes = []

    async def send_requests():
        for _ in range(REQUESTS):
            try:
                with anyio.fail_after(REQUEST_LIMIT_S):
                    await context.client.call(
                        context.address, methods.HELLO, peers_pb2.HelloRequest(), timeout_s=60
                    )
            except TimeoutError:
                context.outcomes.append("timeout")
        context.outcomes.append("done")

    context.run(run_in_group(send_requests))


async def run_in_group(*tasks):
    async with anyio.create_task_group() as group:
        for task in tasks:
            group.start_soon(task)


@then("each request ended with a timeout and the task went on")
def then_timed_out(context):
    assert context.outcomes == ["timeout"] * REQUESTS + ["done"], context.outcomes


@when("the client closes its channels while a task of a group waits for an answer")
def when_closed(context):
    context.outcomes = []

    async def send_request():
        try:
            await context.client.call(
                context.address, methods.HELLO, peers_pb2.HelloRequest(), timeout_s=60
            )
        except PeerUnreachableError:
            context.outcomes.append("unreachable")

    async def close():
        await context.started.wait()
        await context.client.close()

    context.run(run_in_group(send_request, close))


@then("the task was told that the peer is unreachable")
def then_unreachable(context):
    assert context.outcomes == ["unreachable"], context.outcomes


@given("a client of a peer that does not listen")
def given_absent(context):
    context.address = reserve_address()
    context.client = PeerClient(make_settings(context.address))


@when("the client closes its channels while a request waits for its connection")
def when_closed_early(context):
    context.error = None

    async def send_request():
        try:
            await context.client.call(
                context.address, methods.HELLO, peers_pb2.HelloRequest(), timeout_s=60
            )
        except PeerNotConnectedError as error:
            context.error = error

    async def close():
        await anyio.lowlevel.checkpoint()
        await context.client.close()

    context.run(run_in_group(send_request, close))


@then("the request failed as not sent")
def then_not_sent(context):
    assert context.error is not None


class SilencedReplica:
    """A replica that accepts every entry, but answers nothing while it is silent."""

    def __init__(self):
        self.answers = anyio.Event()
        self.answers.set()
        self.answered = 0

    async def handle_append(self, request):
        await self.answers.wait()
        self.answered += 1
        return peers_pb2.AppendAnswer(
            term=request.term,
            matched=True,
            last_index=request.previous_index + len(request.entries),
        )


@given("a replica that accepts entries over a real connection, and the leader's link to it")
def given_link(context):
    context.address = reserve_address()
    settings = make_settings(
        context.address,
        data_dir=str(context.folder),
        election_timeout_ms="100",
        leader_lease_ms="80",
        heartbeat_interval_ms="20",
    )
    timers = SystemTimerService()

    async def start():
        context.replica = SilencedReplica()
        context.server, context.client = PeerServer(settings), PeerClient(settings)
        context.server.register(methods.APPEND, context.replica.handle_append)
        await context.server.start()
        replica_context = load_context(
            settings=settings,
            timers=timers,
            transport=context.client,
            view=CellView(timers=timers, fence_after_s=1.0),
            rng=random.Random(1),
            disk=MemoryDisk(),
        )
        context.closers.append(replica_context.log.close)
        replica_context.role, replica_context.metadata.term = Role.LEADER, 1
        peer = cell_pb2.Voter(replica_id="b", instance_id="b", address=context.address)
        context.link = PeerLink(replica_context, peer=peer, term=1)
        context.link_task = asyncio.ensure_future(run_in_group(context.link.run))

    async def close():
        context.link_task.cancel()
        await asyncio.wait({context.link_task})
        await context.client.close()
        await context.server.stop()

    context.run(start())
    context.closers.append(lambda: context.run(close()))
    context.run(wait_until(lambda: context.replica.answered > 1))


async def wait_until(condition):
    while not condition():
        await anyio.lowlevel.checkpoint()


@when("the replica stops answering until the leader takes it for unreachable")
def when_silent(context):
    context.replica.answers = anyio.Event()
    context.run(
        wait_until(
            lambda: known_faults.has_logged("replica unreachable") or context.link_task.done()
        )
    )


@when("the replica answers again")
def when_answers(context):
    context.confirmed_at = context.link.confirmed_at
    context.replica.answers.set()


@then("the leader replicates to it again and logs that it is reachable")
def then_replicates(context):
    assert not context.link_task.done(), "the link has ended"
    context.run(wait_until(lambda: context.link.confirmed_at > context.confirmed_at))
    assert known_faults.has_logged("replica reachable again")


class BusyTurns:
    """Keeps each turn of the event loop busy, and counts the turns."""

    def __init__(self):
        self.count = 0

    async def run(self):
        while True:
            hashlib.sha256(BUSY_BLOCK)
            self.count += 1
            await anyio.lowlevel.checkpoint()


@given("a peer server that answers at once, whose event loop is busy in each turn")
def given_busy_server(context):
    context.address = reserve_address()
    context.server = PeerServer(make_settings(context.address))
    context.turns = BusyTurns()

    async def relay_jobs(request):
        return peers_pb2.RelayJobsAnswer()

    async def say_hello(request):
        return peers_pb2.HelloAnswer()

    context.server.register(methods.RELAY_JOBS, relay_jobs)
    context.server.register(methods.HELLO, say_hello)
    context.run(context.server.start())
    context.closers.append(lambda: context.run(context.server.stop()))


@when("{clients:d} clients send {count:d} requests each at the same time")
def when_many_send(context, clients, count):
    settings = make_settings(reserve_address())

    async def send(client, number):
        method, request = (
            (methods.RELAY_JOBS, peers_pb2.RelayJobsRequest())
            if number % 2
            else (methods.HELLO, peers_pb2.HelloRequest())
        )
        await client.call(context.address, method, request, timeout_s=60)

    async def send_all():
        senders = [PeerClient(settings) for _ in range(clients)]
        for sender in senders:
            await send(sender, 0)  # Connects.
        async with anyio.create_task_group() as group:
            group.start_soon(context.turns.run)
            began = context.turns.count
            async with anyio.create_task_group() as calls:
                for sender in senders:
                    for number in range(count):
                        calls.start_soon(send, sender, number)
            context.turns_taken = context.turns.count - began
            group.cancel_scope.cancel()
        for sender in senders:
            await sender.close()

    context.run(send_all())


@then("the last one is answered within {turns:d} turns of the loop")
def then_answered_within(context, turns):
    assert context.turns_taken <= turns, context.turns_taken


@when("the server stops while the handler of a call runs")
def when_stops(context):
    async def send_request():
        context.answer = await context.client.call(
            context.address, methods.HELLO, peers_pb2.HelloRequest(), timeout_s=60
        )

    async def stop():
        await context.started.wait()
        async with anyio.create_task_group() as group:
            group.start_soon(context.server.stop)
            await anyio.lowlevel.checkpoint()
            context.released.set()

    context.run(run_in_group(send_request, stop))


@then("the call was answered")
def then_answered(context):
    assert context.answer == peers_pb2.HelloAnswer()


class SilentRpc:
    """A stream whose peer takes one frame and answers nothing."""

    def __init__(self):
        self.frames = []
        self.released = anyio.Event()  # Lets the write of the second frame go on.

    def __call__(self):
        return self

    def stream_stream(self, *args, **fields):
        return self

    async def write(self, frame):
        self.frames.append(frame)
        if len(self.frames) > 1:
            await self.released.wait()

    async def read(self):
        await anyio.sleep_forever()

    def cancel(self):
        pass


@given("a stream of calls to a peer that takes one frame and answers nothing")
def given_silent_stream(context):
    patch = mock.patch.object(call_stream, "SILENT_S", SILENT_CALL_LIMIT_S)
    patch.start()
    context.closers.append(patch.stop)

    async def open_stream():
        context.rpc = SilentRpc()
        context.stream = call_stream.CallStream(context.rpc, "a")

    context.run(open_stream())


@when("a call times out while another waits to be sent")
def when_calls_time_out(context):
    context.errors = {}

    async def call(name, size, limit_s):
        try:
            await context.stream.call("Hello", bytes(size), timeout_s=limit_s)
        except PeerUnreachableError as error:
            context.errors[name] = error

    async def call_twice():
        async with anyio.create_task_group() as group:
            # A frame holds one of them only.
            group.start_soon(call, "first", call_stream.MAX_FRAME_BYTES, 2 * SILENT_CALL_LIMIT_S)
            group.start_soon(call, "blocked", call_stream.MAX_FRAME_BYTES, 60)
            group.start_soon(call, "other", call_stream.MAX_FRAME_BYTES, 60)

    context.run(call_twice())


@then("the first one may have run, and the other one was not sent")
def then_told_apart(context):
    assert not isinstance(context.errors["first"], PeerNotConnectedError)
    assert isinstance(context.errors["other"], PeerNotConnectedError)


@then("the stream takes no more calls")
def then_closed(context):
    assert context.stream.is_closed


@when("a call times out just as the frame before it was written")
def when_times_out_at_write(context):
    context.error = None
    size = call_stream.MAX_FRAME_BYTES

    async def call(number):
        try:
            await context.stream.call("Hello", bytes(size), timeout_s=60)
        except PeerUnreachableError as error:
            if number == LAST_CALL:
                context.error = error

    async def call_all():
        async with anyio.create_task_group() as group:
            for number in range(1, LAST_CALL + 1):
                group.start_soon(call, number)
            await wait_until(lambda: len(context.rpc.frames) == LAST_CALL - 1)
            context.rpc.released.set()
            context.stream._expire(LAST_CALL)
            for _ in range(10):
                await anyio.lowlevel.checkpoint()
            context.stream.close()

    context.run(call_all())


@then("the call failed as not sent, and no frame holds it")
def then_not_written(context):
    assert isinstance(context.error, PeerNotConnectedError), context.error
    sent = [call.number for frame in context.rpc.frames for call in frame.calls]
    assert LAST_CALL not in sent, sent
