import contextlib

from behave import given, then, when

from dewspindle._internal.exceptions import DewspindleError, DiskFullError
from dewspindle._internal.platform.instance_settings import make_instance_settings
from dewspindle._internal.platform.settings_file import decode_platform_settings
from dewspindle._internal.replication.log import Log
from dewspindle._internal.replication.snapshots import StoredSnapshot
from dewspindle._internal.schema import cell_pb2, jobs_pb2, peers_pb2
from dewspindle._internal.schema.peers_pb2 import Entry
from dewspindle._internal.settings.loading import get_setting_fields
from features.lib.disk import FaultyDisk
from features.lib.job_cell import PREFIX
from features.lib.stepping import advance
from features.steps.job_request_steps import send
from features.steps.job_steps import allocate_job_id, make_plan, make_step, start_in_background
from features.steps.job_steps import given_cell as given_job_cell
from features.steps.replication_steps import make_cell, start_cell
from features.steps.storage_steps import call_directly

SENDERS = 4  # Tables in progress at the same time.
SEND_INTERVAL_S = 0.1  # So that some are sent before, during and after each fault.
ATTEMPT_TIMEOUT_S = 2.0
FAULT_INTERVAL_S = 2.0
MAX_SECONDS = 90
KB = 1024
ENTRY_KB = 100
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


class LogFolder:
    """A log on a disk of limited size, as one replica stores it."""

    def __init__(self, context):
        self.folder = context.folder
        self.disk = FaultyDisk()
        self.log = self.open()
        context.closers.append(lambda: self.log.close())

    def open(self):
        log = Log(
            self.folder,
            segment_bytes=256 * KB,
            retained_entries=1000,
            retained_bytes=KB * KB,
            disk=self.disk,
            offload=call_directly,
        )
        log.load()
        return log

    def restart(self):
        self.log.close()
        self.disk.crash()
        self.log = self.open()

    async def append(self, count, *, size_kb=ENTRY_KB):
        for _ in range(count):
            entry = Entry(index=self.log.last_index + 1, term=1, command=bytes(size_kb * KB))
            self.log.add(entry)
            await self.log.flush()

    def make_snapshot(self, index, *, size_kb):
        state = cell_pb2.CellSnapshot(revision=index, term=1)
        state.queue_table.document = bytes(size_kb * KB)
        return StoredSnapshot(index=index, term=1, data=state.SerializeToString())

    async def write(self, what):
        """Store a batch or a snapshot, and return the index of the last entry that it holds."""
        size_kb = int(what.split()[-2])
        if "batch" in what:
            await self.append(1, size_kb=size_kb)
        elif "leader" in what:
            await self.log.install_snapshot(self.make_snapshot(50, size_kb=size_kb))
        else:
            await self.append(1)
            await self.log.save_snapshot(self.make_snapshot(21, size_kb=size_kb))
        return self.log.last_index


@given(
    "a log on a disk of {disk_mb:d} MB with two snapshots of 1 MB and 1 MB of entries before "
    "the newer one"
)
def given_log_folder(context, disk_mb):
    context.stored = stored = LogFolder(context)

    async def fill():
        for index in (10, 20):
            await stored.append(10)
            await stored.log.save_snapshot(stored.make_snapshot(index, size_kb=KB))

    context.run(fill())
    stored.disk.limit_size(stored, disk_mb * KB * KB)
    assert len(list(stored.folder.glob("snapshots/*"))) == 2


@when("the log is asked to store {what}")
def when_written(context, what):
    context.last_index = context.run(context.stored.write(what))


@then("it is stored, and loaded after a restart")
def then_stored(context):
    context.stored.restart()
    assert context.stored.log.last_index == context.last_index


@when("its newer snapshot is damaged, the log is loaded and a batch of {size_kb:d} KB is stored")
def when_damaged(context, size_kb):
    stored = context.stored
    path = max(stored.folder.glob("snapshots/*"))
    path.write_bytes(path.read_bytes()[:-1])
    stored.restart()
    assert stored.log.snapshot_index == 10

    async def append():
        with contextlib.suppress(DiskFullError):
            await stored.append(1, size_kb=size_kb)

    context.run(append())


@then("the log can be loaded again")
def then_loaded(context):
    context.stored.restart()
    assert context.stored.log.snapshot_index == 10


@when(
    "a snapshot of entry {own:d} is saved and the leader's snapshot of entry {newer:d} is "
    "installed meanwhile"
)
def when_saved_late(context, own, newer):
    stored = context.stored
    stored.disk.limit_size(stored, 100 * KB * KB)

    async def install_first(call, *args):
        """Let the other snapshot be installed before the first call returns."""
        stored.log._offload = call_directly
        result = call(*args)
        await stored.log.install_snapshot(stored.make_snapshot(newer, size_kb=KB))
        return result

    async def save():
        await stored.append(own - stored.log.last_index)
        stored.log._offload = install_first
        await stored.log.save_snapshot(stored.make_snapshot(own, size_kb=KB))
        await stored.append(1)
        return stored.log.last_index

    context.last_index = context.run(save())


@then("the newest snapshot is that of entry {index:d}")
def then_newest_snapshot(context, index):
    assert context.stored.log.snapshot_index == index, context.stored.log.snapshot_index


@when("a process ends while it saves a snapshot, and the log is loaded")
def when_save_interrupted(context):
    stored = context.stored
    (stored.folder / "snapshots" / "00000000000000000020-2.snapshot.new").write_bytes(b"half")
    stored.restart()


@then("nothing is left of that snapshot")
def then_nothing_left(context):
    names = [path.name for path in context.stored.folder.glob("snapshots/*")]
    assert len(names) == 2 and not any(name.endswith(".new") for name in names), names


@given("a cell of 3 replicas with 2 workers whose state may take 1 MB")
def given_small_state(context):
    given_job_cell(context, 3, 2, max_state_bytes=str(KB * KB))


@when("{count:d} jobs of {size_kb:d} KB are submitted one after another")
def when_large_jobs_submitted(context, count, size_kb):
    context.accepted, context.refused = [], []
    for _ in range(count):
        job_id = allocate_job_id(context)
        plan = make_plan(make_step(1))
        plan.spec.payload = "x" * (size_kb * KB)
        context.cell.fleet.plans[job_id] = plan
        answer = send(context, peers_pb2.JOB_SUBMIT, PREFIX + job_id)
        if answer.status == 200:
            context.accepted.append(job_id)
        else:
            context.refused.append(answer)


@then(
    "{low:d} to {high:d} of them are accepted, and the others refused with 503 and the code {code}"
)
def then_some_refused(context, low, high, code):
    assert low <= len(context.accepted) <= high, len(context.accepted)
    refusals = {(answer.status, answer.code) for answer in context.refused}
    assert refusals == {(503, code)}, refusals
    assert all(answer.retry_after_ms for answer in context.refused)


@then("an accepted job can be submitted again, read and cancelled")
def then_served(context):
    for call in (peers_pb2.JOB_SUBMIT, peers_pb2.JOB_READ, peers_pb2.JOB_CANCEL):
        assert send(context, call, PREFIX + context.accepted[-1]).status == 200


@then("a change of a configuration is refused as {code}")
def then_change_refused(context, code):
    errors = []

    async def put():
        command = cell_pb2.Command(put_config=cell_pb2.PutConfig(name="limit", value=b"1"))
        try:
            await context.cell.leader.replica.propose(command)
        except DewspindleError as error:
            errors.append(error.code)

    start_in_background(context, put)
    advance(context, 0.2)
    assert errors == [code], errors


@then("one more job is accepted {seconds:d} seconds later")
def then_accepted_later(context, seconds):
    advance(context, seconds)
    job_id = allocate_job_id(context)
    context.cell.fleet.plans[job_id] = make_plan(make_step(1))
    assert send(context, peers_pb2.JOB_SUBMIT, PREFIX + job_id).status == 200
