from behave import given, then, when

from dewspindle._internal.exceptions import DewspindleError
from dewspindle._internal.platform.instance_settings import make_instance_settings
from dewspindle._internal.platform.settings_file import decode_platform_settings
from dewspindle._internal.schema import cell_pb2, jobs_pb2
from dewspindle._internal.settings.loading import get_setting_fields
from features.lib.stepping import advance
from features.steps.replication_steps import make_cell, start_cell

SENDERS = 4  # Tables in progress at the same time.
SEND_INTERVAL_S = 0.1  # So that some are sent before, during and after each fault.
ATTEMPT_TIMEOUT_S = 2.0
FAULT_INTERVAL_S = 2.0
MAX_SECONDS = 90
SETTINGS_FILE = """
node_name=r
zone=z
ip=127.0.0.1
internal_ports=7000,7010
data_dir={folder}
limits.disk_mb={disk_mb}
"""


def make_storage_flags(context, disk_mb):
    """Return the settings that bound what a replica stores on the platform."""
    text = SETTINGS_FILE.format(folder=context.folder / "unused", disk_mb=disk_mb)
    settings = make_instance_settings(decode_platform_settings(text))
    names = [field.name for field in get_setting_fields() if field.name != "max_body_bytes"]
    bounds = [name for name in names if name.endswith(("_entries", "_bytes"))]
    return {name: str(getattr(settings, name)) for name in bounds}


@given("a cell of {size:d} replicas with the platform's settings for data disks of {disk_mb:d} MB")
def given_small_disks(context, size, disk_mb):
    context.flags = make_storage_flags(context, disk_mb)
    cell = make_cell(context, size, **context.flags)
    for node in cell.nodes:
        node.disk.limit_size(node, disk_mb * 1024 * 1024)
    context.run(start_cell(cell))


class TableSender:
    """Sends queue tables, each until it is acknowledged."""

    def __init__(self, cell, *, count, size):
        self._cell = cell
        self._timers = cell.clock.make_timers()
        self._versions = iter(range(1, count + 1))
        self._size = size
        self.count = count
        self.acknowledged = set()

    @property
    def is_done(self):
        return len(self.acknowledged) == self.count

    async def run(self):
        for version in self._versions:
            while version not in self.acknowledged:
                await self._send(version)
            await self._timers.sleep(SEND_INTERVAL_S)

    async def _send(self, version):
        leader = self._cell.leader
        table = jobs_pb2.QueueTable(version=version, document=bytes(self._size))
        try:
            if leader is not None:
                with self._timers.fail_after(ATTEMPT_TIMEOUT_S):
                    await leader.replica.propose(cell_pb2.Command(queue_table=table))
                self.acknowledged.add(version)
                return
        except (DewspindleError, TimeoutError):
            pass
        await self._timers.sleep(0.1)


def kill_and_restart(cell, nodes):
    async def restart():
        for node in nodes:
            node.kill()
        await cell.clock.settle()
        for node in nodes:
            node.start()

    return restart


async def do_nothing(cell, number):
    pass


async def kill_leader(cell, number):
    if number < 2 and cell.leader is not None:
        await kill_and_restart(cell, [cell.leader])()


async def cut_off_one(cell, number):
    if number == 0:
        cell.network.isolate(cell.nodes[0].address, cell.addresses)
    elif number == 3:
        cell.network.heal()


async def restart_all(cell, number):
    if number == 1:
        await kill_and_restart(cell, cell.nodes)()


FAULTS = {
    "nothing else happens": do_nothing,
    "the leader is killed twice": kill_leader,
    "one replica is cut off for a part of the time": cut_off_one,
    "all replicas are killed and restarted": restart_all,
}


@when("{count:d} queue tables of {size:d} KB are sent while {what}")
def when_tables_sent(context, count, size, what):
    cell = context.cell
    context.sender = TableSender(cell, count=count, size=size * 1024)

    async def begin():
        for _ in range(SENDERS):
            cell.start_soon(context.sender.run)

    context.run(begin())
    for number in range(int(MAX_SECONDS / FAULT_INTERVAL_S)):
        advance(context, FAULT_INTERVAL_S)
        context.run(FAULTS[what](cell, number))
        if context.sender.is_done and number > 3:
            break


@then("each of them is acknowledged and no replica has ended")
def then_tables_acknowledged(context):
    cell = context.cell
    sender = context.sender
    assert sender.is_done, (len(sender.acknowledged), cell.describe())
    assert all(node.is_up for node in cell.nodes), cell.describe()


@then("all replicas have the newest queue table after a restart of all")
def then_newest_table(context):
    cell = context.cell
    context.run(kill_and_restart(cell, cell.nodes)())
    advance(context, 5)
    for node in cell.nodes:
        table = node.replica.context.view.state.job_store.queue_table
        assert table.version == context.sender.count, (node.name, table.version)
