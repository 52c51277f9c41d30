import os
import socket
from unittest import mock

from behave import given, then, when

from dewspindle._internal.replication.disk import Disk
from dewspindle._internal.utils.listeners import bind
from dewspindle._internal.utils.local_ports import reserve_address
from features.steps.call_steps import start_live_cell

DEFAULT_TIMEOUTS = {"election_timeout_ms": "1000", "leader_lease_ms": "800"}


@given("a reserved address")
def given_address(context):
    context.address = reserve_address()


@when("another socket asks for the port of the address")
def when_asked(context):
    host, _, port = context.address.partition(":")
    context.error = None
    with socket.socket() as other:
        try:
            other.bind((host, int(port)))
        except OSError as error:
            context.error = error


@then("the port is refused to it")
def then_refused(context):
    assert context.error is not None, "the port was given to another socket"


@then("a server can listen on the address twice in a row")
def then_listens(context):
    for _ in range(2):
        with bind(context.address) as listener:
            listener.listen()


@given("a live cell of 3 instances while syncs are counted")
def given_counted(context):
    synced = mock.patch.object(os, "fdatasync")
    context.sync = synced.start()
    context.closers.append(synced.stop)
    start_live_cell(context, 3, 3)


@then("no file was synced")
def then_unsynced(context):
    assert all(response.status in (201, 422) for response in context.responses.values())
    assert context.sync.call_count == 0, context.sync.call_count


@given("a live cell of one instance on the machine's disk, with the default timeouts")
def given_disk(context):
    start_live_cell(context, 1, 1, disk=Disk(), **DEFAULT_TIMEOUTS)


@when("the cell is stopped and started again on its folder")
def when_restarted(context):
    async def restart():
        only = context.live.instances[0]
        only.instance.begin_shutdown()
        await only.ended.wait()
        context.live.stop()
        await context.host
        context.host = context.runner.get_loop().create_task(context.live.host())
        await context.live.wait_until_ready()

    context.run(restart())


@then("every accepted record is there")
def then_kept(context):
    records = context.live.instances[0].instance.view.state.records
    accepted = [r.body["id"] for r in context.responses.values() if r.status == 201]
    assert accepted
    assert all(record_id in records for record_id in accepted)
