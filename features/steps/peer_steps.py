import asyncio

from behave import given, then, when

from dewspindle._internal.network import methods
from dewspindle._internal.network.peer_client import PeerClient
from dewspindle._internal.network.peer_server import PeerServer
from dewspindle._internal.schema import peers_pb2
from dewspindle._internal.settings.loading import load_settings
from dewspindle._internal.utils.local_ports import reserve_address


@given("a peer server with a handler that waits")
def given_server(context):
    context.address = reserve_address()
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
