import asyncio

from behave import given, then, when

from dewspindle._internal.network import methods
from dewspindle._internal.network.peer_client import PeerClient
from dewspindle._internal.network.peer_server import PeerServer
from dewspindle._internal.schema import peers_pb2
from dewspindle._internal.settings.loading import load_settings
from features.lib.cells import find_free_address


@given("a server of requests between instances")
def given_server(context):
    context.address = find_free_address()
    settings = load_settings(
        {
            "instance_id": "a",
            "availability_zone": "z",
            "peer_address": context.address,
            "peers": f"a@{context.address}",
            "operator_token": "t",
        },
        environment={},
    )

    async def begin():
        context.entered, context.released = asyncio.Event(), asyncio.Event()
        context.ended = asyncio.Event()
        context.server, context.client = PeerServer(settings), PeerClient(settings)
        context.server.register(methods.HELLO, hold)
        context.server.register(methods.FORM, answer)
        await context.server.start()

    async def hold(request):
        context.entered.set()
        await context.released.wait()
        context.ended.set()
        return peers_pb2.HelloAnswer()

    async def answer(request):
        return peers_pb2.FormAnswer()

    async def end():
        await context.client.close()
        await context.server.stop()

    context.run(begin())
    context.closers.append(lambda: context.run(end()))


@when("a client gives up a request that is being carried out")
def when_gives_up(context):
    async def give_up():
        call = asyncio.ensure_future(
            context.client.call(
                context.address, methods.HELLO, peers_pb2.HelloRequest(), timeout_s=60
            )
        )
        await context.entered.wait()
        call.cancel()
        # Sent after the cancellation on the same connection, so answered after it.
        for _ in range(3):
            await context.client.call(
                context.address, methods.FORM, peers_pb2.FormRequest(), timeout_s=60
            )
        context.released.set()

    context.run(give_up())


@then("the server carries it out to its end")
def then_ended(context):
    context.run(context.ended.wait())
