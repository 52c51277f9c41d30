import asyncio
import random
import tempfile
from pathlib import Path

from behave import given, then, when

from dewspindle._internal.exceptions import DewspindleError, DiskFullError
from dewspindle._internal.replication.handlers import CampaignReason
from dewspindle._internal.schema import cell_pb2, peers_pb2
from features.lib.replicas import ReplicaCell
from features.steps.replication_steps import start_cell

FULL_S = 3.0
MAX_GAP_S = 1.0  # Between the end of one full phase and the begin of the next one.
ACK_TIMEOUT_S = 5.0
MAX_DISTURBANCE_S = 1.2
ATTEMPT_TIMEOUT_S = 2.0
CHANGE_INTERVAL_S = 0.1
STALL_S = 1.0
SMALL_FILE_BYTES = 600
CHANGE_NAME_CHARS = 200  # Makes an entry larger than a small file.

# What a full disk refuses, and the size of a write that still fits.
KINDS = {
    "refuse creations and writes": ({"create", "write"}, 0),
    "refuse every call": ({"create", "write", "truncate", "sync", "sync folder", "remove"}, 0),
    "refuse writes": ({"write"}, 0),
    "have room for small files": ({"write"}, SMALL_FILE_BYTES),
    "refuse syncs": ({"sync", "sync folder"}, 0),
    "refuse writes and truncations": ({"write", "truncate"}, 0),
}


class SteadyCaller:
    """Sends changes at intervals, each until it is acknowledged, as an operator's client does."""

    def __init__(self, cell):
        self._cell = cell
        self._timers = cell.clock.make_timers()
        self.pending = set()
        self.is_stopped = False

    async def run(self):
        number = 0
        while not self.is_stopped:
            self._cell.start_soon(self.send, f"steady-{number}".ljust(CHANGE_NAME_CHARS, "-"))
            number += 1
            await self._timers.sleep(CHANGE_INTERVAL_S)

    async def send(self, key):
        self.pending.add(key)
        while key not in self._cell.acknowledged:
            try:
                with self._timers.fail_after(ATTEMPT_TIMEOUT_S):
                    await self._cell.put(key)
            except (DewspindleError, TimeoutError):
                pass
            await self._timers.sleep(0.05)
        self.pending.discard(key)


async def transfer_leadership(cell, rng):
    if cell.leader is not None:
        cell.start_soon(cell.leader.replica.transfer_leadership)


async def pause_leader(cell, rng):
    leader = cell.leader
    if leader is not None:
        leader.timers.pause()
        await cell.clock.make_timers().sleep(rng.uniform(0.3, MAX_DISTURBANCE_S))
        leader.timers.resume()


async def cut_off_one(cell, rng):
    node = rng.choice(cell.nodes)
    cell.network.isolate(node.address, cell.addresses)
    await cell.clock.make_timers().sleep(rng.uniform(0.3, MAX_DISTURBANCE_S))
    cell.network.heal()


async def change_members(cell, rng):
    """Add a learner under another name, which never starts, or remove it."""
    leader = cell.leader
    if leader is None:
        return
    membership = leader.replica.context.membership
    members = leader.leader_services.members
    try:
        if membership.learners:
            await members.handle_change(
                peers_pb2.ChangeMembersRequest(instance_id="guest", remove=True)
            )
            return
        guest = cell_pb2.Voter(replica_id="guest", instance_id="guest", address="127.0.0.1:6999")
        await members.handle_join(peers_pb2.JoinRequest(replica=guest))
    except DewspindleError:
        pass


DISTURBANCES = [transfer_leadership, pause_leader, cut_off_one, change_members]


async def fill_in_turn(cell, rng, kind):
    """Let each disk be full for some seconds, one after another, with disturbances meanwhile."""
    order = list(cell.nodes)
    rng.shuffle(order)
    if rng.random() < 0.5 and cell.leader is not None:
        order.remove(cell.leader)
        order.insert(0, cell.leader)
    for node in order:
        refused, node.disk.small_write_bytes = KINDS[kind]
        node.disk.refused = frozenset(refused)
        if rng.random() < 0.3:
            node.disk.delay_s = rng.uniform(0.1, STALL_S)
            await cell.clock.advance(rng.uniform(0.0, 0.2))
            node.disk.delay_s = 0.0
        if rng.random() < 0.5:
            node.disk.is_full = True
        else:
            node.disk.fill_after(rng.randrange(3000))
        ends_at = cell.clock.now + FULL_S
        while cell.clock.now < ends_at:
            await cell.clock.advance(min(rng.uniform(0.1, 2.0), ends_at - cell.clock.now))
            if rng.random() < 0.6 and cell.clock.now < ends_at - MAX_DISTURBANCE_S:
                cell.start_soon(rng.choice(DISTURBANCES), cell, rng)
        node.disk.free()
        await cell.clock.advance(rng.uniform(0.0, MAX_GAP_S))


def check_all_run(cell):
    down = [(node.name, node.failure) for node in cell.nodes if not node.is_up]
    assert not down, f"replicas have ended: {down}"


async def run_full_phases(context, folder, *, size, seed, kind):
    rng = random.Random(f"{size}-{seed}-{kind}")
    cell = ReplicaCell(
        folder,
        size=size,
        seed=seed,
        election_timeout_ms="500",
        leader_lease_ms="400",
        heartbeat_interval_ms="100",
        replace_silent_ms="8000",
        snapshot_entries=str(rng.choice([15, 40, 5000])),
        retained_entries=str(rng.choice([0, 10])),
        segment_bytes=str(rng.choice([4096, 8192, 1 << 20])),
    )
    context.cell = cell
    host = asyncio.get_running_loop().create_task(cell.host())
    caller = SteadyCaller(cell)
    try:
        await start_cell(cell)
        cell.start_soon(caller.run)
        await cell.clock.advance(1.0)
        await fill_in_turn(cell, rng, kind)
        caller.is_stopped = True
        await cell.clock.advance(ACK_TIMEOUT_S)
        check_all_run(cell)
        assert not caller.pending, f"unanswered: {sorted(caller.pending)[:5]}; {cell.describe()}"
        await cell.check_convergence()
    finally:
        cell.stop()
        await host


@then("changes are acknowledged in time, none is lost and all replicas run on, for {count:d} seeds")
def then_recovered(context, count):
    for seed in range(int(context.config.userdata.get("seeds", count))):
        with tempfile.TemporaryDirectory() as folder:
            case = run_full_phases(
                context, Path(folder), size=context.size, seed=seed, kind=context.disk_kind
            )
            try:
                context.run(case)
            except AssertionError as error:
                raise AssertionError(f"seed {seed}: {error}") from error


@given("{size:d} replicas whose disks {kind} while they are full, one after another")
def given_kind(context, size, kind):
    context.size, context.disk_kind = size, kind


def stall_write(cell, node):
    """Let the disk operations of a node that begin now wait, among them a write to the log."""
    node.disk.delay_s = STALL_S
    cell.start_soon(cell.put, "stalled".ljust(CHANGE_NAME_CHARS, "-"))


def fill_but_for_small_files(node):
    node.disk.delay_s = 0.0
    node.disk.refused = frozenset({"write"})
    node.disk.small_write_bytes = SMALL_FILE_BYTES
    node.disk.is_full = True


def make_next_append(replica):
    """Return a request of a leader of the next term that has all entries of a replica."""
    last_term, last_index = replica.log_end
    entry = peers_pb2.Entry(index=last_index + 1, term=replica.term + 1)
    return peers_pb2.AppendRequest(
        cell_id=replica.membership.cell_id,
        term=replica.term + 1,
        leader=replica.other_voters[0].replica_id,
        previous_index=last_index,
        previous_term=last_term,
        entries=[entry],
        target=replica.replica_id,
    )


@when("the leader's disk stalls and is full, and meanwhile it gets an entry of the next leader")
def when_stalled_leader(context):
    cell = context.cell
    context.answers = []

    async def append(node):
        request = make_next_append(node.replica.context)
        try:
            context.answers.append(await node.replica.handlers.handle_append(request))
        except DiskFullError:
            context.answers.append(None)

    async def stall():
        context.node = node = cell.leader
        cell.network.isolate(node.address, cell.addresses)
        stall_write(cell, node)
        await cell.clock.advance(STALL_S / 10)
        fill_but_for_small_files(node)
        cell.start_soon(append, node)
        await cell.clock.advance(STALL_S)

    context.run(stall())


@then("it does not answer that it has stored an entry that it has dropped")
def then_not_stored(context):
    (answer,) = context.answers
    log = context.node.replica.context.log
    assert answer is None or answer.last_index <= log.durable_index, (answer, log.durable_index)


@when("a follower's disk stalls and is full, and meanwhile it becomes the leader")
def when_stalled_follower(context):
    cell = context.cell

    async def stall():
        context.node = node = next(x for x in cell.nodes if x is not cell.leader)
        stall_write(cell, node)
        await cell.clock.advance(STALL_S / 10)
        fill_but_for_small_files(node)
        node.replica.handlers.request_campaign(CampaignReason.TRANSFER)
        await cell.clock.advance(STALL_S / 10)
        assert node.is_leader, cell.describe()
        await cell.clock.advance(STALL_S)

    context.run(stall())


@then("{count:d} changes are acknowledged within {seconds:d} seconds after its disk has room again")
def then_acknowledged_later(context, count, seconds):
    cell = context.cell

    async def propose():
        context.node.disk.free()
        caller = SteadyCaller(cell)
        for number in range(count):
            cell.start_soon(caller.send, f"later-{number}")
        await cell.clock.advance(seconds)
        check_all_run(cell)
        assert not caller.pending, cell.describe()

    context.run(propose())


@when("a follower's disk is full while the leadership is transferred twice")
def when_transferred(context):
    cell = context.cell

    async def transfer():
        context.node = node = next(x for x in cell.nodes if x is not cell.leader)
        node.disk.is_full = True
        await cell.put_many(["refused"])
        for _ in range(2):
            leader = await cell.wait_for_leader()
            cell.start_soon(leader.replica.transfer_leadership)
            await cell.clock.advance_until(lambda x=leader: not x.is_leader, seconds=1.0)
        await cell.clock.advance(FULL_S)

    context.run(transfer())


@when("the leader's disk is full while it transfers the leadership and no vote request reaches it")
def when_superseded(context):
    cell = context.cell

    async def transfer():
        context.node = node = cell.leader
        node.disk.is_full = True
        cell.network.refused_links = {(address, node.address) for address in cell.addresses}
        cell.start_soon(node.replica.transfer_leadership)
        await cell.clock.advance(FULL_S)
        cell.network.heal()

    context.run(transfer())


@when("a new replica's disk is full while it joins")
def when_joins(context):
    cell = context.cell

    async def join():
        context.node = cell.add_node()
        context.node.start()
        context.node.disk.is_full = True
        await cell.clock.advance(FULL_S)

    context.run(join())
