from behave import given, then, when

from dewspindle._internal.commands.dev_examples import EXAMPLES, WORKER_CAPACITY, ZONES
from dewspindle._internal.network.json_client import JsonClient
from dewspindle._internal.schema import cell_pb2
from dewspindle._internal.standins.worker import StandInWorker
from dewspindle._internal.utils.timers import SystemTimerService
from features.steps.call_steps import start_live_cell


@given("a live cell of {size:d} instances with {count:d} stand-in workers")
def given_workers(context, size, count):
    start_live_cell(context, size, min(size, 3))

    async def start():
        for number in range(count):
            live = context.live.instances[number % size]
            worker = StandInWorker(
                worker=f"w{number}",
                zone=ZONES[number % 3],
                rack=f"rack-{number % 3}",
                capacity=WORKER_CAPACITY,
                client=JsonClient(live.http_address, max_connections=1),
                timers=SystemTimerService(),
            )
            context.live.start_soon(worker.run)
        for live in context.live.instances:
            view = live.instance.view
            while len(view.state.worker_table) < count:
                await view.signal.event.wait()

    context.run(start())


@when("the example records are submitted to the instances in turn")
def when_examples_submitted(context):
    async def submit():
        context.responses = {}
        for number, document in enumerate(EXAMPLES):
            live = context.live.instances[number % len(context.live.instances)]
            context.responses[document["name"]] = await live.operator.request(
                "POST",
                "/v1/records",
                body=document,
                headers={"Idempotency-Key": f"example-{number}"},
            )

    context.run(submit())


async def wait_for(context, name, condition):
    """Wait until a record meets a condition on the last instance, and return it."""
    view = context.live.instances[-1].instance.view
    record_id = context.responses[name].body["id"]
    while True:
        event = view.signal.event
        record = view.state.records.get(record_id)
        if record is not None and condition(record):
            return record
        await event.wait()


@then("all tasks of the service run, spread over {zones:d} zones")
def then_service(context, zones):
    def all_tasks_run(record):
        return all(task.state == cell_pb2.TASK_RUNNING for task in record.tasks)

    record = context.run(wait_for(context, "price-checks", all_tasks_run))
    worker_table = context.live.instances[-1].instance.view.state.worker_table
    assert len({worker_table.get(task.worker).message.zone for task in record.tasks}) == zones


@then("the batch record, the gang and the version 1 record succeed")
def then_succeed(context):
    for name in ("valuations", "photo-model", "stock-list"):
        record = context.run(wait_for(context, name, lambda record: record.ended_ms))
        assert record.state == cell_pb2.RECORD_SUCCEEDED, record


@then("the record that always fails has failed with a reason")
def then_failed(context):
    record = context.run(wait_for(context, "broken-import", lambda record: record.ended_ms))
    assert record.code == "attempts-exhausted"
    assert "told to fail" in record.reason


@then("the record that is too large was refused with code {code}")
def then_refused(context, code):
    response = context.responses["oversized"]
    assert response.status == 422, response
    assert response.body["code"] == code, response


@then("every instance explains every accepted record")
def then_explained(context):
    async def check_explanations():
        for name, response in context.responses.items():
            if response.status != 201:
                continue
            for live in context.live.instances:
                view = live.instance.view
                while response.body["id"] not in view.state.records:
                    await view.signal.event.wait()
                path = f"/v1/records/{response.body['id']}/explain"
                explanation = await live.reader.request("GET", path)
                assert explanation.status == 200, (name, explanation)
                assert explanation.body["decisions"][0]["what"] == "accepted", explanation

    context.run(check_explanations())
