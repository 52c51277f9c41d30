import asyncio

import anyio
from behave import given, then, when

from dewspindle._internal.network.json_client import JsonClient
from features.lib.backends import FaultyBackend
from features.lib.cells import LiveCell

SERVICE = "pricing"
SHORT_TIMEOUT = {"Dewspindle-Timeout-Ms": "400"}
LONG_TIMEOUT = {"Dewspindle-Timeout-Ms": "6000"}


def start_live_cell(context, size, replicas, **options):
    loop = context.runner.get_loop()

    async def make():
        context.live = LiveCell(context.folder, size=size, replicas=replicas, **options)
        context.host = loop.create_task(context.live.host())
        await context.live.wait_until_ready()

    context.run(make())

    async def stop():
        context.live.stop()
        await context.host

    context.closers.append(lambda: context.run(stop()))


async def announce(context, name, address, slots, state="ready"):
    response = await context.live.instances[0].caller.request(
        "POST",
        "/v1/backends",
        body={
            "id": name,
            "service": SERVICE,
            "address": address,
            "availability_zone": "zone-a",
            "slots": slots,
            "connections": 64,
            "state": state,
        },
    )
    assert response.status == 200, response


def add_backends(context, count, slots):
    context.backends = []
    context.addresses = []
    context.slots = slots

    async def add():
        for number in range(count):
            backend = FaultyBackend()
            context.backends.append(backend)
            context.addresses.append(await backend.start())
            await announce(context, f"b{number}", context.addresses[number], slots)
        for live in context.live.instances:
            directory = live.instance._directory
            while len(directory.list_ready(SERVICE)) < count:
                await directory.signal.event.wait()

    context.run(add())

    async def stop():
        for backend in context.backends:
            await backend.stop()

    context.closers.append(lambda: context.run(stop()))


@given("a live cell of one instance with a backend server of {slots:d} slots")
def given_one_backend(context, slots):
    start_live_cell(context, 1, 1)
    add_backends(context, 1, slots)


@given("a live cell of one instance with {count:d} backend servers of {slots:d} slots")
def given_backends(context, count, slots):
    start_live_cell(context, 1, 1)
    add_backends(context, count, slots)


@given("a live cell of {size:d} instances with a backend server of {slots:d} slots")
def given_instances(context, size, slots):
    start_live_cell(context, size, 3)
    add_backends(context, 1, slots)


@when("the fault {fault} is injected into the next call at the backend server")
def when_fault(context, fault):
    context.backends[0].inject_fault(fault)


@when("the fault {fault} is injected into the next call at either backend server")
def when_fault_at_either(context, fault):
    # The first call gets the fault, whichever backend server it is sent to.
    shared = {"left": 1}

    def take_fault():
        if shared["left"]:
            shared["left"] = 0
            return fault
        return ""

    for backend in context.backends:
        backend._take_fault = take_fault


async def call(
    context,
    path="/one",
    *,
    repeatable=True,
    key="",
    body=None,
    instance_index=0,
    timeout=LONG_TIMEOUT,
):
    headers = {"Dewspindle-Repeatable": "yes" if repeatable else "no", **timeout}
    if key:
        headers["Idempotency-Key"] = key
    caller = context.live.instances[instance_index].caller
    return await caller.request("POST", f"/call/{SERVICE}{path}", body=body, headers=headers)


@when("a call that is {kind} is made")
def when_call(context, kind):
    is_stalled = context.backends[0].fault == "stall"
    context.response = context.run(
        call(
            context,
            repeatable=kind == "repeatable",
            timeout=SHORT_TIMEOUT if is_stalled else LONG_TIMEOUT,
        )
    )


@when("a call to an unknown service is made")
def when_unknown_service(context):
    context.response = context.run(
        context.live.instances[0].caller.request("GET", "/call/nobody/x")
    )


@then("the response has status {status:d} and reports Dewspindle-Ran: {ran}")
def then_response(context, status, ran):
    assert context.response.status == status, context.response
    assert context.response.headers["dewspindle-ran"] == ran, context.response
    if status >= 400:
        assert context.response.body["code"], context.response
    if status in (429, 503):
        assert int(context.response.headers["retry-after"]) >= 1


@then("the backend server has run the call {times:d} times")
def then_run_count(context, times):
    assert context.backends[0].run_counts["/one"] == times, context.backends[0].run_counts


@then("the next call receives a complete response")
def then_next_complete(context):
    async def check():
        for backend in context.backends:
            backend.faults_left = 0
        response = await call(context, "/next")
        assert response.status == 200, response
        assert response.body == {"ok": True, "path": "/next"}, response

    context.run(check())


@when("{count:d} calls are made at once")
def when_calls(context, count):
    context.run(make_calls(context, count, 1))


@when("{count:d} calls are made at once over all instances")
def when_calls_over_all(context, count):
    context.run(make_calls(context, count, len(context.live.instances)))


async def make_calls(context, count, instance_count):
    context.responses = {}

    async def make_one(number):
        context.responses[number] = await call(
            context, f"/n{number}", instance_index=number % instance_count
        )

    async with anyio.create_task_group() as group:
        for number in range(count):
            group.start_soon(make_one, number)


@then("each of the {count:d} calls receives a response with its own path")
def then_own_paths(context, count):
    assert len(context.responses) == count
    for number, response in context.responses.items():
        assert response.status == 200, response
        assert response.body["path"] == f"/n{number}", response


@then("the backend server never had more than {slots:d} calls in flight")
def then_slots(context, slots):
    assert 0 < context.backends[0].most_in_flight <= slots, context.backends[0].most_in_flight


@when("a call with an idempotency key is sent {count:d} times at once")
def when_keyed_call(context, count):
    context.keyed_responses = []

    async def make_one(number):
        response = await call(
            context,
            repeatable=False,
            key="claim-1",
            body={"claim": 1},
            instance_index=number % len(context.live.instances),
            timeout={"Dewspindle-Timeout-Ms": "1500"},
        )
        context.keyed_responses.append(response)
        context.response = response

    async def send():
        async with anyio.create_task_group() as group:
            for number in range(count):
                group.start_soon(make_one, number)

    context.run(send())


@then("each copy receives the same complete response")
def then_same_response(context):
    for response in context.keyed_responses:
        assert response.status == 200, response
        assert response.body == {"ok": True, "path": "/one"}, response


@when("a call with the same idempotency key and a different body is sent")
def when_different_body(context):
    context.response = context.run(
        call(context, repeatable=False, key="claim-1", body={"claim": 2})
    )


async def begin_call(context):
    backend = context.backends[0]
    backend.response_gate = asyncio.Event()
    context.open_call = asyncio.create_task(call(context, "/open"))
    await backend.call_arrived.wait()


@when("a call is in progress and the backend server announces the state leaving")
def when_leaving(context):
    async def leave():
        await begin_call(context)
        await announce(context, "b0", context.addresses[0], context.slots, state="leaving")

    context.run(leave())


@then("the call in progress receives a complete response")
def then_open_complete(context):
    async def finish():
        context.backends[0].response_gate.set()
        response = await context.open_call
        assert response.status == 200, response
        assert response.body == {"ok": True, "path": "/open"}

    context.run(finish())


@when("a call is in progress and the instance begins a graceful shutdown")
def when_shutdown(context):
    async def end():
        await begin_call(context)
        live = context.live.instances[0]
        live.instance.begin_shutdown()
        router = live.instance._router
        while not router._is_refusing:
            await anyio.lowlevel.checkpoint()

    context.run(end())


@then("a new call is refused and reported as not run")
def then_refused(context):
    async def check():
        client = JsonClient(context.live.instances[0].http_address)
        response = await client.request("GET", f"/call/{SERVICE}/new")
        assert response.status == 503, response
        assert response.headers["dewspindle-ran"] == "no"
        assert response.body["code"] == "draining"
        await client.close()

    context.run(check())


@then("the instance stops")
def then_stops(context):
    async def wait():
        await context.live.instances[0].ended.wait()

    context.run(wait())


@when("a call with a body of {size:d} bytes is made")
def when_large_body(context, size):
    context.response = context.run(call(context, body="x" * size))


@when("{count:d} calls in a row are made with the fault {fault}")
def when_calls_with_fault(context, fault, count):
    context.backends[0].inject_fault(fault, times=count)

    async def make():
        directory = context.live.instances[0].instance._directory
        for _ in range(count):
            # Clears the failures: an ejected backend server would not receive the later calls.
            directory.note_success(directory.get("b0"))
            timeout = {"Dewspindle-Timeout-Ms": "300"}
            response = await call(context, repeatable=False, timeout=timeout)
            assert response.status in (502, 503, 504), response
        directory.note_success(directory.get("b0"))

    context.run(make())


@then("no call holds a slot")
def then_no_slot(context):
    share = context.live.instances[0].instance._shares.get_share("b0")
    assert share.assigned_calls == 0, share
