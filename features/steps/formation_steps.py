from behave import given, then, when

from dewspindle._internal.models.enums import Role
from features.lib.job_cell import JobCell
from features.lib.stepping import advance
from features.steps.replication_steps import host_cell

FLAGS = {
    "election_timeout_ms": "500",
    "leader_lease_ms": "400",
    "heartbeat_interval_ms": "100",
    "initial_voters": "5",
    "replace_silent_ms": "3000",
}


def make_seeded_cell(context, size, *, may_form=True):
    cell = JobCell(context.folder, size=size, seed=1, workers=0, **FLAGS)
    seeds = ",".join(node.address for node in cell.nodes[:3])
    cell.node_flags = {"seeds": seeds, "may_form": str(int(may_form))}
    host_cell(context, cell)
    return cell


def start(context, nodes):
    async def go():
        await context.cell.clock.settle()
        for node in nodes:
            node.start()

    context.run(go())


def kill(context, node):
    async def go():
        node.kill()

    context.run(go())


def list_voters(context):
    leader = context.cell.leader
    if leader is None:
        return set()
    return {voter.address for voter in leader.replica.context.membership.voters}


def list_learners(context):
    leader = context.cell.leader
    if leader is None:
        return set()
    return {learner.address for learner in leader.replica.context.membership.learners}


def wait_until(context, condition, seconds):
    for _ in range(seconds * 2):
        if condition():
            return True
        advance(context, 0.5)
    return condition()


@given("{size:d} instances that know the first 3 as seeds")
def given_instances(context, size):
    make_seeded_cell(context, size)


@given("{size:d} instances that know the first 3 as seeds and may not form a cell")
def given_restarted(context, size):
    cell = make_seeded_cell(context, size, may_form=False)
    start(context, cell.nodes)


@when("{late} starts 3 seconds after the others")
def when_late(context, late):
    nodes = context.cell.nodes
    index = {"the coordinator": 0, "a seed": 1, "no seed": 4}[late]
    start(context, [node for node in nodes if node is not nodes[index]])
    advance(context, 3)
    assert context.cell.leader is None
    start(context, [nodes[index]])


@then("within {seconds:d} seconds they are one cell of {size:d} voters")
def then_one_cell(context, seconds, size):
    assert wait_until(context, lambda: len(list_voters(context)) == size, seconds)
    advance(context, 1)
    cells = {node.replica.context.metadata.initial.cell_id for node in context.cell.nodes}
    assert len(cells) == 1, cells


@when("{seconds:d} seconds go by")
def when_time_goes(context, seconds):
    advance(context, seconds)


@then("there is no cell")
def then_no_cell(context):
    assert context.cell.leader is None
    assert all(node.replica.role is Role.FOLLOWER for node in context.cell.nodes)


@given("a cell of 5 found by seeds, with {count:d} changes")
def given_formed(context, count):
    cell = make_seeded_cell(context, 5)
    start(context, cell.nodes)
    assert wait_until(context, lambda: len(list_voters(context)) == 5, 10)
    context.run(cell.put_many([f"k{number}" for number in range(count)]))
    assert len(cell.acknowledged) == count


def pick_voter(context):
    """Return a voter that does not lead."""
    return next(node for node in context.cell.nodes if node is not context.cell.leader)


STEPS = {
    "the newcomer is a learner": lambda c: c.newcomer.address in list_learners(c),
    "the lost voter is removed": lambda c: (
        0 < len(list_voters(c) - {c.lost.address}) < 5 and c.lost.address not in list_voters(c)
    ),
    "the newcomer votes": lambda c: c.newcomer.address in list_voters(c),
}


@when("a voter is gone for good, a newcomer starts elsewhere, and {fault} once {step}")
def when_replaced(context, fault, step):
    cell = context.cell
    context.lost = pick_voter(context)
    kill(context, context.lost)
    context.newcomer = cell.add_node()
    start(context, [context.newcomer])
    for _ in range(400):
        if STEPS[step](context):
            break
        context.run(cell.clock.advance(0.05))
    assert STEPS[step](context), "the step never came"
    victim = context.newcomer if "newcomer" in fault else cell.leader
    if "dies" in fault:
        kill(context, victim)
        advance(context, 2)
        start(context, [victim])
    elif "freezes" in fault:
        victim.timers.pause()
        advance(context, 4)

        async def resume():
            victim.timers.resume()

        context.run(resume())


@then("within {seconds:d} seconds the newcomer votes in the place of the voter that is gone")
def then_replaced(context, seconds):
    def is_replaced():
        voters = list_voters(context)
        is_in = context.newcomer.address in voters and context.lost.address not in voters
        return is_in and len(voters) == 5

    assert wait_until(context, is_replaced, seconds), (
        list_voters(context),
        list_learners(context),
        context.cell.describe(),
    )


@then("no change is lost")
def then_nothing_lost(context):
    leader = context.cell.leader
    config = leader.replica.context.view.state.config
    lost = [key for key in context.cell.acknowledged if key not in config]
    assert not lost, lost


@when("a voter is cut off until a newcomer has replaced it, and comes back")
def when_cut_off(context):
    cell = context.cell
    context.lost = pick_voter(context)
    context.newcomer = cell.add_node()
    cell.network.isolate(context.lost.address, cell.addresses)
    start(context, [context.newcomer])
    assert wait_until(context, lambda: context.newcomer.address in list_voters(context), 20)
    cell.network.heal()


@then("within {seconds:d} seconds it is a learner that has every change")
def then_learner(context, seconds):
    def has_joined():
        leader = context.cell.leader
        return (
            context.lost.address in list_learners(context)
            and context.lost.revision == leader.revision
        )

    assert wait_until(context, has_joined, seconds), context.cell.describe()


@when("a voter loses its disk and starts again")
def when_wiped(context):
    context.lost = pick_voter(context)
    kill(context, context.lost)
    context.lost.wipe()
    context.cell.node_flags["may_form"] = "0"
    start(context, [context.lost])


@then("within {seconds:d} seconds the cell has {size:d} voters that have every change")
def then_whole(context, seconds, size):
    def is_whole():
        leader = context.cell.leader
        if leader is None or len(list_voters(context)) != size:
            return False
        voters = leader.replica.context.membership.voters
        ids = {voter.replica_id for voter in voters}
        nodes = [n for n in context.cell.nodes if n.replica.context.replica_id in ids]
        return len(nodes) == size and all(n.revision == leader.revision for n in nodes)

    assert wait_until(context, is_whole, seconds), context.cell.describe()
