import random
from functools import partial

from behave import given, then, when

from dewspindle._internal.schema import peers_pb2
from features.lib.job_cell import JobCell
from features.lib.stepping import advance
from features.steps.formation_steps import list_learners, list_voters, start, wait_until
from features.steps.replication_steps import host_cell

CATCH_UP_S = 4.0
FLAGS = {
    "election_timeout_ms": "500",
    "leader_lease_ms": "400",
    "heartbeat_interval_ms": "100",
    "initial_voters": "5",
    "replace_silent_ms": "8000",
    "catch_up_ms": str(int(CATCH_UP_S * 1000)),
}


@given("a cell of 5 on the platform, with {count:d} changes")
def given_platform_cell(context, count):
    cell = JobCell(context.folder, size=5, seed=1, workers=0, **FLAGS)
    seeds = ",".join(node.address for node in cell.nodes[:3])
    cell.node_flags = {"seeds": seeds, "may_form": "1"}
    host_cell(context, cell)
    start(context, cell.nodes)
    assert wait_until(context, lambda: len(list_voters(context)) == 5, 10)
    cell.node_flags["may_form"] = "0"
    context.run(cell.put_many([f"k{number}" for number in range(count)]))
    assert len(cell.acknowledged) == count
    # The data folders of the first members are as old as on a running system.
    advance(context, 30)


@given("a spare replica that started 5 s ago")
def given_spare(context):
    spare = context.cell.add_node()
    start(context, [spare])
    advance(context, 5)
    assert spare.address in list_learners(context)
    context.voters = list_voters(context)


def list_followers(context):
    voters = list_voters(context)
    leader = context.cell.leader
    return [n for n in context.cell.nodes if n.address in voters and n is not leader]


def run_in_cell(context, call):
    async def run():
        call()

    context.run(run())


def lose(context, node):
    """End a replica whose machine is gone for good."""
    run_in_cell(context, node.kill)


def restart(context, nodes, seconds):
    for node in nodes:
        run_in_cell(context, node.kill)
    advance(context, seconds)
    start(context, nodes)


def crash_leader(context, *, after_s):
    """End the leader some time after the loss of the first machine; it is back 0.8 s later."""
    advance(context, context.lost_at + after_s - context.cell.clock.now)
    leader = context.cell.leader
    if leader is None:
        context.run(context.cell.wait_for_leader(seconds=2.0))
        leader = context.cell.leader
    restart(context, [leader], 0.8)


def restart_successor(context):
    advance(context, 1.0)
    restart(context, [context.replacement], 0.5)
    context.started_at = context.cell.clock.now


def restart_all(context):
    advance(context, 1.0)
    running = [node for node in context.cell.nodes if node.is_up]
    restart(context, running, 0.5)
    context.started_at = context.cell.clock.now


EVENTS = {
    "nothing else happens": lambda context: None,
    "the leader crashes 1 s later": partial(crash_leader, after_s=1.0),
    "the leader crashes 1.4 s later": partial(crash_leader, after_s=1.4),
    "the leader crashes 1.8 s later": partial(crash_leader, after_s=1.8),
    "the next leader crashes 1.8 s later": partial(crash_leader, after_s=1.8),
    "the successor restarts 1 s later": restart_successor,
    "all replicas restart 1 s later": restart_all,
}


def start_successor(context, lost, delay_s):
    """Lose a machine and start its successor; return the successor."""
    lose(context, lost)
    advance(context, delay_s)
    successor = context.cell.add_node()
    start(context, [successor])
    return successor


@when(
    "{lost} is lost permanently, its successor starts {delay:g} s later, and {event}",
)
def when_lost(context, lost, delay, event):
    cell = context.cell
    context.lost = cell.leader if lost == "the leader" else list_followers(context)[0]
    context.lost_at = cell.clock.now
    context.replacement = start_successor(context, context.lost, delay)
    context.started_at = cell.clock.now
    EVENTS[event](context)


@then("within {seconds:d} seconds of its start the successor is a voter instead of the lost one")
def then_succeeds(context, seconds):
    check_replaced(context, [context.lost], [context.replacement], context.started_at + seconds)


def check_replaced(context, lost, successors, deadline):
    old = {node.address for node in lost}
    new = {node.address for node in successors}

    def is_replaced():
        voters = list_voters(context)
        return new <= voters and not old & voters and len(voters) == 5

    remaining_s = deadline - context.cell.clock.now
    context.run(context.cell.clock.advance_until(is_replaced, seconds=remaining_s))
    assert is_replaced(), (list_voters(context), list_learners(context), context.cell.describe())
    # The others may be lost no earlier than at the deadline.
    advance(context, deadline - context.cell.clock.now)


@when("two other voters lose their data folders at the same time")
def when_two_wiped(context):
    others = [n for n in list_followers(context) if n is not context.replacement][:2]
    # The settings of a machine that starts name three that are there.
    present = [n.address for n in context.cell.nodes if n is not context.lost]
    context.cell.node_flags["seeds"] = ",".join(present[:3])
    for node in others:
        run_in_cell(context, node.kill)
        node.wipe()
    advance(context, 1)
    start(context, others)


@when("two followers are lost permanently 1 s apart, each with a successor 0.2 s later")
def when_two_lost(context):
    context.both_lost = list_followers(context)[:2]
    context.successors = []
    for lost in context.both_lost:
        context.successors.append(start_successor(context, lost, 0.2))
        context.started_at = context.cell.clock.now
        advance(context, 0.8)


@then("within {seconds:d} seconds both successors are voters instead of the lost ones")
def then_both_succeed(context, seconds):
    check_replaced(context, context.both_lost, context.successors, context.started_at + seconds)


def pause(context, nodes, seconds):
    for node in nodes:
        node.timers.pause()
    advance(context, seconds)
    for node in nodes:
        run_in_cell(context, node.timers.resume)


def cut_off(context, nodes, seconds):
    cell = context.cell
    for node in nodes:
        cell.network.isolate(node.address, [a for a in cell.addresses if a != node.address])
    advance(context, seconds)
    cell.network.heal()


DISTURBANCES = {"pause": pause, "are cut off": cut_off, "restart": restart}


@when("{who} pauses for {seconds:g} s")
@when("{who} pause for {seconds:g} s")
def when_paused(context, who, seconds):
    pause(context, pick_nodes(context, who), seconds)


@when("{who} is cut off for {seconds:g} s")
def when_cut_off(context, who, seconds):
    cut_off(context, pick_nodes(context, who), seconds)


@when("{who} restarts after {seconds:g} s")
@when("{who} restart after {seconds:g} s")
def when_restarted(context, who, seconds):
    restart(context, pick_nodes(context, who), seconds)


def pick_nodes(context, who):
    if who == "all replicas":
        return list(context.cell.nodes)
    return [context.cell.leader if who == "the leader" else list_followers(context)[0]]


@when("voters pause, are cut off or restart {count:d} times for up to {seconds:g} s")
def when_disturbed(context, count, seconds):
    rng = random.Random(int(context.active_outline["seed"]))
    for _ in range(count):
        chosen = rng.sample([n for n in context.cell.nodes if n.address in context.voters], 2)
        how = rng.choice(sorted(DISTURBANCES))
        DISTURBANCES[how](context, chosen[: rng.choice((1, 2))], rng.uniform(0.5, seconds))
        advance(context, rng.uniform(0.1, 2.0))


@when(
    "a follower pauses for {seconds:g} s, another is lost permanently "
    "and a successor starts 0.2 s later"
)
def when_one_returns(context, seconds):
    paused, context.lost = list_followers(context)[:2]
    paused.timers.pause()
    context.replacement = start_successor(context, context.lost, 0.2)
    context.started_at = context.cell.clock.now
    advance(context, seconds - 0.2)
    run_in_cell(context, paused.timers.resume)


def announce_leaving(context, node):
    """Let a replica announce that it ends, as its process does on SIGTERM."""

    async def announce():
        if node is context.cell.leader:
            await node.replica.transfer_leadership()
        while context.cell.leader in (None, node):
            await node.timers.sleep(0.05)
        request = peers_pb2.LeaveRequest(replica_id=node.replica.context.replica_id)
        await context.cell.leader.job_leader_services.members.handle_leave(request)

    async def run():
        context.cell.start_soon(announce)
        await context.cell.clock.advance(1.0)

    context.run(run())


@when("a replica starts, and 1 s later {who} announces that it leaves and ends after {seconds:d} s")
def when_planned(context, who, seconds):
    context.replacement = context.cell.add_node()
    start(context, [context.replacement])
    context.started_at = context.cell.clock.now
    advance(context, 1)
    context.lost = pick_nodes(context, who)[0]
    announce_leaving(context, context.lost)
    advance(context, seconds - 1)
    run_in_cell(context, context.lost.kill)


@given("two followers that are cut off")
def given_two_cut_off(context):
    cell = context.cell
    followers = list_followers(context)
    for node in followers[2:]:
        cell.network.isolate(node.address, [a for a in cell.addresses if a != node.address])
    context.last_follower = followers[0]


@when("a replica starts, and 1 s later a follower announces that it leaves")
def when_last_leaves(context):
    start(context, [context.cell.add_node()])
    advance(context, 1)
    announce_leaving(context, context.last_follower)


@then("the cell still commits changes")
def then_commits(context):
    context.run(context.cell.put_many(["after"]))
    assert "after" in context.cell.acknowledged, context.cell.describe()


@when("the voters announce that they leave and start again one by one, 10 s later")
def when_rolled(context):
    advance(context, 10)
    for node in [n for n in context.cell.nodes if n.address in context.voters]:
        announce_leaving(context, node)
        restart(context, [node], 1)
        advance(context, 3)


@when(
    "a follower pauses for {seconds:g} s, another one is lost permanently at once "
    "and a successor starts"
)
def when_other_pauses(context, seconds):
    context.lost, paused = list_followers(context)[:2]
    paused.timers.pause()
    advance(context, 0.3)
    lose(context, context.lost)
    advance(context, 0.2)
    successor = context.cell.add_node()
    start(context, [successor])
    advance(context, seconds - 0.5)
    run_in_cell(context, paused.timers.resume)
    context.successors = [successor, paused]
    context.both_lost = [context.lost]
    context.started_at = context.cell.clock.now


@then(
    "within {seconds:d} seconds both the successor and the paused replica are voters, "
    "and the lost one is not"
)
def then_both_voters(context, seconds):
    check_replaced(context, context.both_lost, context.successors, context.started_at + seconds)


@then("after {seconds:d} seconds the cell has the same voters as before")
def then_same_voters(context, seconds):
    advance(context, seconds)
    assert list_voters(context) == context.voters, (
        list_voters(context),
        context.voters,
        context.cell.describe(),
    )
