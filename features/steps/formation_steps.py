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
    """Return a cell whose nodes are not started, with the first three as seeds."""
    cell = JobCell(context.folder, size=size, seed=1, workers=0, **FLAGS)
    seeds = ",".join(node.address for node in cell.nodes[:3])
    cell.node_flags = {"seeds": seeds, "may_form": str(int(may_form))}
    host_cell(context, cell)
    return cell


def start(context, nodes):
    async def settle_and_start():
        await context.cell.clock.settle()
        for node in nodes:
            node.start()

    context.run(settle_and_start())


def kill(context, node):
    async def kill_node():
        node.kill()

    context.run(kill_node())


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


@given("{size:d} instances with the first 3 as seeds")
def given_instances(context, size):
    make_seeded_cell(context, size)


@given("{size:d} instances with the first 3 as seeds that may not form a cell")
def given_not_forming(context, size):
    cell = make_seeded_cell(context, size, may_form=False)
    start(context, cell.nodes)


@when("{late} starts 3 seconds after the others")
def when_late(context, late):
    nodes = context.cell.nodes
    # The coordinator is the seed with the lowest address.
    index = {"the coordinator": 0, "a seed": 1, "a non-seed": 4}[late]
    start(context, [node for node in nodes if node is not nodes[index]])
    advance(context, 3)
    # A cell needs all five initial voters.
    assert context.cell.leader is None
    start(context, [nodes[index]])


@then("within {seconds:d} seconds the instances form one cell of {size:d} voters")
def then_one_cell(context, seconds, size):
    assert wait_until(context, lambda: len(list_voters(context)) == size, seconds)
    advance(context, 1)
    cells = {node.replica.context.metadata.initial.cell_id for node in context.cell.nodes}
    assert len(cells) == 1, cells


@when("the instances run for {seconds:d} seconds")
def when_time_passes(context, seconds):
    advance(context, seconds)


@then("no cell is formed")
def then_no_cell(context):
    assert context.cell.leader is None
    assert all(node.replica.role is Role.FOLLOWER for node in context.cell.nodes)


@given("a cell of 5 formed through seeds, with {count:d} changes")
def given_formed(context, count):
    cell = make_seeded_cell(context, 5)
    start(context, cell.nodes)
    assert wait_until(context, lambda: len(list_voters(context)) == 5, 10)
    context.run(cell.put_many([f"k{number}" for number in range(count)]))
    assert len(cell.acknowledged) == count


def pick_voter(context):
    """Return a voter other than the leader."""
    return next(node for node in context.cell.nodes if node is not context.cell.leader)


MEMBERSHIP_STAGES = {
    "the replacement is a learner": lambda c: c.replacement.address in list_learners(c),
    "the lost voter is removed": lambda c: (
        0 < len(list_voters(c) - {c.lost.address}) < 5 and c.lost.address not in list_voters(c)
    ),
    "the replacement is a voter": lambda c: c.replacement.address in list_voters(c),
}


async def advance_to_stage(context, step):
    """Advance the time by up to 1 s, in steps that no stage is shorter than."""
    for _ in range(500):
        if MEMBERSHIP_STAGES[step](context):
            return
        await context.cell.clock.advance(0.002)


@when("a voter is lost permanently, a replacement starts at a new address, and {fault} once {step}")
def when_replaced(context, fault, step):
    cell = context.cell
    context.lost = pick_voter(context)
    kill(context, context.lost)
    context.replacement = cell.add_node()
    start(context, [context.replacement])
    for _ in range(20):
        context.run(advance_to_stage(context, step))
    assert MEMBERSHIP_STAGES[step](context), f"not reached within 20 s: {step}"
    target = context.replacement if "replacement" in fault else cell.leader
    if "crashes" in fault:
        kill(context, target)
        advance(context, 2)
        start(context, [target])
    elif "pauses" in fault:
        target.timers.pause()
        advance(context, 4)

        async def resume():
            target.timers.resume()

        context.run(resume())


@then("within {seconds:d} seconds the replacement is a voter instead of the lost one")
def then_replaced(context, seconds):
    def is_replaced():
        voters = list_voters(context)
        replaced = context.replacement.address in voters and context.lost.address not in voters
        return replaced and len(voters) == 5

    assert wait_until(context, is_replaced, seconds), (
        list_voters(context),
        list_learners(context),
        context.cell.describe(),
    )


@then("no acknowledged change is missing at the leader")
def then_none_missing(context):
    leader = context.cell.leader
    config = leader.replica.context.view.state.config
    lost = [key for key in context.cell.acknowledged if key not in config]
    assert not lost, lost


@when("a voter is partitioned until a replacement is a voter, and the partition then ends")
def when_partitioned(context):
    cell = context.cell
    context.lost = pick_voter(context)
    context.replacement = cell.add_node()
    cell.network.isolate(context.lost.address, cell.addresses)
    start(context, [context.replacement])
    assert wait_until(context, lambda: context.replacement.address in list_voters(context), 20)
    cell.network.heal()


@when("a seed freezes and a new replica starts")
def when_seed_freezes(context):
    seed = next(n for n in context.cell.nodes[:3] if n is not context.cell.leader)
    seed.timers.pause()
    context.cell.node_flags["may_form"] = "0"
    context.replacement = context.cell.add_node()
    start(context, [context.replacement])


@then("within {seconds:d} seconds the new replica is a learner")
def then_new_learner(context, seconds):
    assert wait_until(
        context, lambda: context.replacement.address in list_learners(context), seconds
    )


@then("within {seconds:d} seconds the former voter is a learner that has every change")
def then_learner(context, seconds):
    def has_joined():
        leader = context.cell.leader
        return (
            context.lost.address in list_learners(context)
            and context.lost.revision == leader.revision
        )

    assert wait_until(context, has_joined, seconds), context.cell.describe()


@when("a voter loses its data folder and restarts")
def when_wiped(context):
    context.lost = pick_voter(context)
    kill(context, context.lost)
    context.lost.wipe()
    context.cell.node_flags["may_form"] = "0"
    start(context, [context.lost])


@then("within {seconds:d} seconds the cell has {size:d} voters that have every change")
def then_voters_current(context, seconds, size):
    def are_current():
        leader = context.cell.leader
        if leader is None or len(list_voters(context)) != size:
            return False
        voters = leader.replica.context.membership.voters
        ids = {voter.replica_id for voter in voters}
        nodes = [n for n in context.cell.nodes if n.replica.context.replica_id in ids]
        return len(nodes) == size and all(n.revision == leader.revision for n in nodes)

    assert wait_until(context, are_current, seconds), context.cell.describe()
