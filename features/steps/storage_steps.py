import asyncio
import errno
import random
import tempfile
from pathlib import Path
from unittest import mock

from behave import given, then, when
from hypothesis import HealthCheck, settings, strategies
from hypothesis import given as generate

from dewspindle._internal.exceptions import CorruptFileError, CorruptLogError, DiskFullError
from dewspindle._internal.replication.disk import Disk
from dewspindle._internal.replication.log import Log
from dewspindle._internal.replication.log_store import LogStore
from dewspindle._internal.replication.metadata import MetadataStore
from dewspindle._internal.replication.snapshots import SnapshotStore, StoredSnapshot
from dewspindle._internal.schema import cell_pb2, peers_pb2
from features.lib.disk import FaultyDisk
from features.lib.replicas import ReplicaCell
from features.steps.replication_steps import FAULTS, start_cell


def make_entries(first, count):
    return [
        peers_pb2.Entry(index=index, term=1, command=f"command {index}".encode() * 5)
        for index in range(first, first + count)
    ]


def open_store(context, disk=None):
    return LogStore(context.folder / "log", segment_bytes=500, disk=disk or Disk())


@given("a log of {batches:d} batches of {size:d} entries")
def given_log(context, batches, size):
    store = open_store(context)
    store.load()
    for number in range(batches):
        store.append(make_entries(1 + number * size, size))
    store.close()
    context.files = sorted((context.folder / "log").iterdir())
    assert len(context.files) > 3


def flip_byte(path, offset):
    data = bytearray(path.read_bytes())
    data[offset] ^= 0xFF
    path.write_bytes(bytes(data))


@when("the last batch is truncated in the middle")
def when_torn(context):
    path = context.files[-1]
    data = path.read_bytes()
    assert data.count(b"\xd5wL\x01") == 3, "the last segment does not hold exactly the last batch"
    path.write_bytes(data[: len(data) // 6])


@then("the log loads {count:d} entries")
def then_loads(context, count):
    context.store = open_store(context)
    entries = context.store.load()
    assert len(entries) == count, len(entries)


@then("{count:d} more entries are appended and read back")
def then_appended(context, count):
    context.store.append(make_entries(28, count))
    context.store.close()
    assert [e.index for e in open_store(context).load()] == list(range(1, 28 + count))


@when("one byte is flipped {where}")
def when_flipped(context, where):
    # A segment holds three batches, the last one two: the intact batch after the damaged one shows
    # that this is damage and not a torn tail. Offset 30 is in the first entry's payload.
    path, offset = context.files[-1], 30
    if where == "in the first header of the last segment":
        offset = 5
    elif where == "in the third segment":
        path = context.files[len(context.files) // 2]
    elif where == "in the first segment":
        path = context.files[0]
    context.damaged = path
    flip_byte(path, offset)


@then("loading is refused as damaged-log with the file and the offset")
def then_damaged(context):
    try:
        open_store(context).load()
    except CorruptLogError as error:
        assert str(context.damaged) in str(error), error
        assert "offset 0" in str(error), error
        return
    raise AssertionError("the damage was not detected")


@given("two snapshots")
def given_snapshots(context):
    store = SnapshotStore(context.folder, disk=Disk())
    store.load_newest()
    for index in (5, 9):
        store.save(StoredSnapshot(index=index, term=1, data=b"state %d" % index))


@when("the newest snapshot is damaged")
def when_snapshot_damaged(context):
    flip_byte(sorted(context.folder.glob("*.snapshot"))[-1], 6)


@then("the older snapshot is loaded")
def then_older(context):
    loaded = SnapshotStore(context.folder, disk=Disk()).load_newest()
    assert loaded == StoredSnapshot(index=5, term=1, data=b"state 5"), loaded


async def call_directly(call, *args):
    return call(*args)


def open_log(context):
    log = Log(
        context.folder,
        segment_bytes=500,
        retained_entries=0,
        retained_bytes=0,
        disk=Disk(),
        offload=call_directly,
    )
    log.load()
    context.closers.append(log.close)
    return log


@given("a log that was replaced by a snapshot of {index:d} entries and got {count:d} more entries")
def given_installed(context, index, count):
    state = cell_pb2.CellSnapshot(revision=index, term=1)
    snapshot = StoredSnapshot(index=index, term=1, data=state.SerializeToString())
    context.added = make_entries(index + 1, count)

    async def install():
        log = open_log(context)
        await log.install_snapshot(snapshot)
        for entry in context.added:
            log.add(entry)
        await log.flush()

    context.run(install())


@when("the log is loaded again")
def when_loaded(context):
    context.log = open_log(context)


@then("it holds exactly the {count:d} entries after the snapshot")
def then_held(context, count):
    log = context.log
    first = log.snapshot_index + 1
    assert log.get_entries(first, log.last_index, max_bytes=1 << 30) == context.added
    assert log.get_term(log.snapshot_index) == 1
    assert len(context.added) == count


@given("a data folder with a replica identity file")
def given_identity(context):
    store = MetadataStore(context.folder, disk=Disk())
    store.load(instance_id="a", rng=random.Random(1), wall_ms=0)


@when("the replica identity file is damaged")
def when_identity_damaged(context):
    flip_byte(context.folder / "replica", 8)


@then("loading the replica identity is refused as damaged-file")
def then_identity_refused(context):
    try:
        MetadataStore(context.folder, disk=Disk()).load(
            instance_id="a", rng=random.Random(1), wall_ms=0
        )
    except CorruptFileError:
        return
    raise AssertionError("the damage was not detected")


@when("the disk is full while one batch is appended")
def when_full(context):
    disk = FaultyDisk()
    store = open_store(context, disk)
    store.load()
    disk.is_full = True
    try:
        store.append(make_entries(31, 3))
    except DiskFullError:
        store.close()
        return
    raise AssertionError("the full disk was not reported")


@when("the disk is full for two appends that begin a segment, and has space for the third")
def when_full_at_segment(context):
    disk = FaultyDisk()
    store = open_store(context, disk)
    store.load()
    store._segment_bytes = 1  # The next append begins a segment.
    for is_full in (True, True, False):
        disk.is_full = is_full
        try:
            store.append(make_entries(31, 3))
        except DiskFullError:
            assert is_full
        else:
            assert not is_full
    store.close()


def open_full_store(context, refused, *, segment_bytes=500):
    """Open the log on a disk that is full and refuses some operations."""
    disk = FaultyDisk()
    store = open_store(context, disk)
    store.load()
    store._segment_bytes = segment_bytes
    disk.refused = frozenset(refused.split(", "))
    disk.is_full = True
    return store, disk


@when("the disk refuses {refused} for an append of 3 entries, then takes 1 entry of a later term")
def when_refused(context, refused):
    # The next append begins a segment, which needs the folder to be synced.
    segment_bytes = 1 if "folder" in refused else 500
    store, disk = open_full_store(context, refused, segment_bytes=segment_bytes)
    entry, *others = make_entries(31, 3)
    try:
        store.append([entry, *others])
    except DiskFullError:
        disk.free()
        entry.term = 2
        store.append([entry])
        store.close()
        return
    raise AssertionError("the full disk was not reported")


@when("the disk refuses {refused} while entries from {index:d} on are removed, then takes that one")
def when_removal_refused(context, refused, index):
    store, disk = open_full_store(context, refused)
    store.truncate_from(index)
    try:
        store.append(make_entries(index, 1))
    except DiskFullError:
        disk.free()
        store.append(make_entries(index, 1))
        store.close()
        return
    raise AssertionError("an entry was stored before those that were removed")


@then("the last entry is of term {term:d}")
def then_last_term(context, term):
    assert open_store(context).load()[-1].term == term


@when("a file is replaced and {call} fails with {name}")
def when_creation_fails(context, call, name):
    failure = OSError(getattr(errno, name), name)
    try:
        with mock.patch(f"os.{call}", side_effect=failure):
            Disk().replace_file(context.folder / "file", b"data")
    except Exception as error:
        context.exception = type(error).__name__


@then("the error raised is {exception}")
def then_raised(context, exception):
    assert context.exception == exception, context.exception


async def run_history(folder, seed, steps):
    """Propose changes during faults, and check that the results are linearizable."""
    cell = ReplicaCell(folder, size=3, seed=seed, snapshot_entries="15", retained_entries="0")
    host = asyncio.get_running_loop().create_task(cell.host())
    try:
        await start_cell(cell)
        for number, (fault, node_number) in enumerate(steps):
            cell.start_soon(cell.put, f"change-{number}")
            node = cell.nodes[node_number]
            if fault == "heal":
                cell.heal()
            elif node.is_up:
                FAULTS[fault](cell, node)
            cell.start_soon(cell.put, f"late-{number}")
            await cell.clock.advance(0.9)
        cell.heal()
        await cell.check_convergence()
        check_linearizable(cell)
    finally:
        cell.stop()
        await host


def check_linearizable(cell):
    """Check that each acknowledged change is at its revision, and that each change occurs once.

    Every change writes a name of its own, so no other result can differ. That a change takes effect
    between its call and its answer also needs that committed entries stay, which
    `ReplicaCell.check_invariants` checks during the history.
    """
    state = cell.nodes[0].replica.context.view.state
    order = [(entry.revision, entry.name) for entry in state.config_versions]
    assert order == sorted(order)
    names = [name for _, name in order]
    assert len(names) == len(set(names))
    for key, result in cell.acknowledged.items():
        assert (result.revision, key) in order, key


@then("{count:d} random histories of changes and faults are linearizable")
def then_linearizable(context, count):
    step = strategies.tuples(
        strategies.sampled_from([*sorted(FAULTS), "heal", "heal"]), strategies.integers(0, 2)
    )
    examples = int(context.config.userdata.get("histories", count))

    @settings(
        max_examples=examples,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @generate(strategies.integers(0, 1000), strategies.lists(step, min_size=3, max_size=10))
    def check(seed, steps):
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(run_history(Path(folder), seed, steps))

    check()
