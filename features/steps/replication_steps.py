import random
from collections.abc import Callable

import anyio.lowlevel
from behave import given, then, when

from dewspindle._internal.replication.handlers import CampaignReason
from dewspindle._internal.schema import cell_pb2, peers_pb2
from features.lib.replicas import Node, ReplicaCell

DEFAULT_SEED = 7


def make_cell(context, size, **flags):
    cell = ReplicaCell(
        context.folder,
        size=size,
        seed=int(context.config.userdata.get("seed", DEFAULT_SEED)),
        **flags,
    )
    host_cell(context, cell)
    return cell


def host_cell(context, cell):
    """Run the tasks of a cell until the scenario ends."""
    context.cell = cell
    loop = context.runner.get_loop()
    host = loop.create_task(cell.host())

    async def stop():
        cell.stop()
        await host

    context.closers.append(lambda: context.run(stop()))


async def start_cell(cell):
    """Start all nodes and wait for a leader."""
    await cell.clock.settle()
    for node in cell.nodes:
        node.start()
    await cell.wait_for_leader()


@given("a cell of {size:d} replicas with a leader and {count:d} changes")
def given_cell(context, size, count):
    cell = make_cell(context, size, snapshot_entries="20", retained_entries="0")

    async def prepare():
        await start_cell(cell)
        await cell.put_many([f"before-{number}" for number in range(count)])
        assert len(cell.acknowledged) == count, cell.describe()

    context.run(prepare())


FAULTS: dict[str, Callable[[ReplicaCell, Node], None]] = {
    "kill": lambda cell, node: node.kill(),
    "pause": lambda cell, node: node.timers.pause(),
    "one-way partition": lambda cell, node: cell.network.block_outgoing(
        node.address, cell.addresses
    ),
    "two-way partition": lambda cell, node: cell.network.isolate(node.address, cell.addresses),
    "slow disk": lambda cell, node: setattr(node.disk, "delay_s", 1.5),
    "full disk": lambda cell, node: setattr(node.disk, "is_full", True),
    "failed sync": lambda cell, node: setattr(node.disk, "fails_sync", True),
    "lost answers": lambda cell, node: cell.network.lost_answers.add(node.address),
    "doubled messages": lambda cell, node: cell.network.duplicated.add(node.address),
    "late messages": lambda cell, node: cell.network.delays_s.update({node.address: 0.7}),
}


def is_at_step(step, method, request):
    """Return whether a request belongs to a step of the protocol."""
    if step == "election":
        return method == "request_vote" and not request.pre_vote
    if step == "append":
        return method == "append" and any(e.command and not e.membership for e in request.entries)
    if step == "commit":
        # Index 1 is the first entry of the leader's term, and 2 to 6 are the changes of the Given
        # step. The heartbeat is thus the first one after at least three further commits.
        return method == "append" and not request.entries and request.commit_index > 8
    if step == "snapshot install":
        return method == "install_snapshot"
    if step == "membership change":
        return method == "append" and any(e.membership for e in request.entries)
    assert step == "leadership transfer"
    return method == "transfer"


def find_fault_target(cell, target, source, request):
    """Return the sender for a leader or candidate, else the receiver, or None if it is unknown."""
    by_address = {node.address: node for node in cell.nodes}
    sender = by_address[source]
    if target in ("leader", "candidate"):
        return sender
    receivers = [n for n in cell.nodes if n.replica.context.replica_id == request.target]
    return receivers[0] if receivers else None


def inject_at_step(cell, fault, target, step):
    """Inject a fault at the first request of a step; the returned list then holds the target."""
    faulty_nodes = []

    def inject_once(source, method, request):
        if faulty_nodes or not is_at_step(step, method, request):
            return
        node = find_fault_target(cell, target, source, request)
        if node is None or not node.is_up:
            return
        faulty_nodes.append(node)
        FAULTS[fault](cell, node)

    cell.network.request_hooks.append(inject_once)
    return faulty_nodes


async def reach_step(cell, step):
    """Bring the cell to the point where requests of a step are sent."""
    leader = cell.leader
    if step == "election":
        leader.kill()
    elif step == "snapshot install":
        follower = next(node for node in cell.nodes if node is not leader)
        follower.kill()
        follower.wipe()
        for number in range(30):
            await cell.put_many([f"filler-{number}"])
        assert leader.replica.context.log.first_index > 1
        follower.start()
    elif step == "membership change":
        added = cell.add_node()
        added.start()
    elif step == "leadership transfer":
        cell.start_soon(leader.replica.transfer_leadership)
    elif len(cell.nodes) > 3:
        await cell.put_many([f"prepare-{number}" for number in range(4)])
    await cell.clock.advance(0.05)


@when("the fault {fault} is injected into the {target} at {step}")
def when_fault(context, fault, target, step):
    cell = context.cell

    async def inject():
        context.faulty_nodes = inject_at_step(cell, fault, target, step)
        await reach_step(cell, step)

    context.run(inject())


@when("the fault {fault} is injected into another replica")
def when_second_fault(context, fault):
    cell = context.cell

    async def inject():
        assert context.faulty_nodes, "the first fault was not injected"
        others = [n for n in cell.nodes if n not in (cell.leader, *context.faulty_nodes)]
        FAULTS[fault](cell, others[0])

    context.run(inject())


@when("{count:d} more changes are proposed over {seconds:d} seconds")
def when_more_changes(context, count, seconds):
    cell = context.cell

    async def propose():
        for number in range(count):
            cell.start_soon(cell.put, f"during-{number}")
            await cell.clock.advance(seconds / count)

    context.run(propose())


@then("after recovery no acknowledged change is lost, applied twice or rolled back")
def then_changes_kept(context):
    cell = context.cell

    async def check():
        cell.network.request_hooks.clear()
        cell.heal()
        await cell.check_convergence()

    if hasattr(context, "faulty_nodes"):
        assert context.faulty_nodes, "the fault was not injected"
    context.run(check())


@when("a follower loses its data folder and is restarted")
def when_wiped(context):
    cell = context.cell

    async def wipe():
        context.wiped = next(node for node in cell.nodes if node is not cell.leader)
        context.old_replica_id = context.wiped.replica.context.replica_id
        context.wiped.kill()
        context.wiped.wipe()
        context.wiped.start()

    context.run(wipe())


@when("that follower becomes a voter under a new replica id")
def when_voter_again(context):
    cell = context.cell

    def is_voter():
        leader = cell.leader
        if leader is None:
            return False
        new_replica_id = context.wiped.replica.context.replica_id
        voters = {v.replica_id for v in leader.replica.context.membership.voters}
        committed = (
            leader.replica.context.commit_index >= leader.replica.context.log.membership_index
        )
        return committed and new_replica_id in voters and context.old_replica_id not in voters

    assert context.run(cell.clock.advance_until(is_voter, seconds=20)), cell.describe()


@when("another follower is killed")
def when_another_killed(context):
    cell = context.cell
    others = [n for n in cell.nodes if n is not cell.leader and n is not context.wiped]

    async def kill():
        others[0].kill()

    context.run(kill())


@then("all {count:d} of these changes are acknowledged")
def then_acknowledged(context, count):
    done = [key for key in context.cell.acknowledged if key.startswith("during-")]
    assert len(done) == count, (done, context.cell.describe())


@when("both followers lose their data folders at the same time and are restarted")
def when_both_wiped(context):
    cell = context.cell

    async def wipe():
        for node in cell.nodes:
            if node is not cell.leader:
                node.kill()
                node.wipe()
        for node in cell.nodes:
            if not node.is_up:
                node.start()
        await cell.clock.advance(5)

    context.run(wipe())


@then("none of these {count:d} changes is acknowledged")
def then_none_acknowledged(context, count):
    assert not [key for key in context.cell.acknowledged if key.startswith("during-")]


def make_change(operator, revision):
    return cell_pb2.Command(
        key=f"operator-{operator}",
        digest=f"operator-{operator}".encode(),
        put_config=cell_pb2.PutConfig(
            name="raced", if_revision=revision, value=f"{operator}".encode()
        ),
    )


@when("{count:d} operators each send a change of one configuration at the same revision twice")
def when_race(context, count):
    cell = context.cell
    context.results = {}

    async def propose(operator, resend):
        command = make_change(operator, 0)
        context.results[operator, resend] = await cell.leader.replica.propose(command)

    async def race():
        order = [(o, r) for o in range(count) for r in range(2)]
        random.Random(3).shuffle(order)
        for operator, resend in order:
            cell.start_soon(propose, operator, resend)
        await cell.clock.advance(1)

    context.run(race())
    assert len(context.results) == 2 * count


@then("exactly one operator's change succeeds")
def then_one_wins(context):
    winners = {o for (o, _), result in context.results.items() if not result.code}
    assert len(winners) == 1, winners


@then("each resent change gets the result of the first attempt")
def then_same_result(context):
    for (operator, resend), result in context.results.items():
        assert result == context.results[operator, 1 - resend]


@then("a change resent after a leadership transfer gets the result of the first attempt")
def then_same_after_transfer(context):
    cell = context.cell

    async def resend():
        old = cell.leader
        transfer = old.replica.transfer_leadership
        cell.start_soon(transfer)
        await cell.clock.advance(2)
        new = await cell.wait_for_leader()
        assert new is not old
        for operator in range(8):
            results = []

            async def propose(operator=operator, results=results):
                results.append(await new.replica.propose(make_change(operator, 0)))

            cell.start_soon(propose)
            await cell.clock.advance(0.5)
            assert results == [context.results[operator, 0]]

    context.run(resend())


@when("all replicas are killed and restarted")
def when_all_restart(context):
    async def restart():
        for node in context.cell.nodes:
            node.kill()
        await context.cell.clock.settle()
        for node in context.cell.nodes:
            node.start()

    context.run(restart())


@when("the followers are killed and restarted while the leader is cut off")
def when_followers_restart(context):
    cell = context.cell

    async def restart():
        leader = cell.leader
        cell.network.isolate(leader.address, [a for a in cell.addresses if a != leader.address])
        context.restarted = [node for node in cell.nodes if node is not leader]
        for node in context.restarted:
            node.kill()
        await cell.clock.settle()
        for node in context.restarted:
            node.start()

    context.run(restart())


@then("when the leader lease ends both withhold votes, and a tenth of it later neither does")
def then_votes_after_lease(context):
    lease_s = get_lease_s(context.cell)
    request = peers_pb2.VoteRequest(all_restarted=False)

    def list_withheld_votes():
        return [node.replica.handlers._withholds_votes(request) for node in context.restarted]

    context.run(context.cell.clock.advance(lease_s))
    assert all(list_withheld_votes())
    context.run(context.cell.clock.advance(0.1 * lease_s))
    assert not any(list_withheld_votes())


def get_lease_s(cell):
    return cell.nodes[0].replica.context.settings.leader_lease_ms / 1000


@when("all replicas are killed and one follower restarts with an empty data folder")
def when_one_emptied(context):
    cell = context.cell

    async def restart():
        emptied = next(node for node in cell.nodes if not node.is_leader)
        for node in cell.nodes:
            node.kill()
        await cell.clock.settle()
        emptied.wipe()
        for node in cell.nodes:
            node.start()

    context.run(restart())


@then("a leader has committed an entry of its term before half of the last lease is over")
def then_leads_early(context):
    cell = context.cell
    assert context.run(
        cell.clock.advance_until(lambda: cell.leader is not None, seconds=get_lease_s(cell) / 2)
    ), cell.describe()


@when("a follower is killed and restarted and hears from the leader")
def when_heard(context):
    cell = context.cell

    async def restart():
        context.follower = next(node for node in cell.nodes if not node.is_leader)
        context.follower.kill()
        await cell.clock.settle()
        context.follower.start()
        await cell.clock.advance(get_lease_s(cell) / 2)

    context.run(restart())


@then("it refuses a vote for which the candidate says that all voters have restarted")
def then_refused(context):
    replica = context.follower.replica.context
    request = peers_pb2.VoteRequest(
        cell_id=replica.membership.cell_id,
        term=replica.term + 1,
        candidate="another",
        last_index=replica.log.last_index,
        last_term=replica.log.last_term,
        target=replica.replica_id,
        all_restarted=True,
    )
    answer = context.run(context.follower.replica.handlers.handle_vote(request))
    assert not answer.granted
    assert replica.term == request.term - 1


@when("replicas are killed, cut off and restarted at random for {seconds:d} seconds, seed {seed:d}")
def when_random_restarts(context, seconds, seed):
    cell, rng = context.cell, random.Random(seed)

    async def disturb_once():
        action = rng.choice(["kill", "kill-most", "start", "start-all", "isolate", "heal"])
        if action in ("start", "start-all"):
            down = [node for node in cell.nodes if not node.is_up]
            for node in down if action == "start-all" else down[:1]:
                node.start()
        elif action == "heal":
            cell.network.heal()
        elif action == "isolate":
            node = rng.choice(cell.nodes)
            cell.network.isolate(node.address, [a for a in cell.addresses if a != node.address])
        else:
            up = [node for node in cell.nodes if node.is_up]
            rng.shuffle(up)
            for node in up[1:] if action == "kill-most" else up[:1]:
                node.kill()

    async def disturb():
        ends_at = cell.clock.now + seconds
        number = 0
        while cell.clock.now < ends_at:
            await disturb_once()
            cell.start_soon(cell.put, f"random-{number}")
            number += 1
            await cell.clock.advance(rng.uniform(0.01, 0.4))

    context.run(disturb())


@when("all replicas are killed and restarted, and none can connect to the last one")
def when_last_unreachable(context):
    cell = context.cell

    async def restart():
        for node in cell.nodes:
            node.kill()
        await cell.clock.settle()
        # The best candidate would stand as soon as it knows of the others itself.
        context.last = min(cell.nodes, key=lambda n: get_candidate_rank(n.replica.context))
        context.others = [node for node in cell.nodes if node is not context.last]
        for node in context.others:
            cell.network.cut_links.add((node.address, context.last.address))
            node.start()
        await cell.clock.advance(0.1)
        # Answers pass, as they use the connections of the last one.
        cell.network.cut_links.clear()
        cell.network.refused_links = {(n.address, context.last.address) for n in context.others}
        context.last.start()

    context.run(restart())


def get_candidate_rank(replica):
    return replica.log_end, replica.replica_id


@then("the others know within {seconds:f} seconds that the last one has restarted")
def then_known_restarted(context, seconds):
    voters = context.last.replica.context.membership.voters
    last = [voter for voter in voters if voter.instance_id == context.last.name]

    def is_known():
        return all(
            node.replica.context.restarted_voters.includes_all(last) for node in context.others
        )

    assert context.run(context.cell.clock.advance_until(is_known, seconds=seconds))


@when("a restarted replica is told of another's restart with the id of its former process")
def when_told_stale(context):
    cell = context.cell
    told = next(node for node in cell.nodes if not node.is_leader)
    context.other = next(node for node in cell.nodes if not node.is_leader and node is not told)
    former = told.replica.context.process_id

    async def tell():
        for node in cell.nodes:
            node.kill()
        await cell.clock.settle()
        told.start()
        await cell.clock.settle()
        request = peers_pb2.HelloRequest(
            instance_id=context.other.name,
            replica_id=context.other.replica.context.replica_id,
            known_process=former,
            restarted=peers_pb2.RestartedReplica(last_term=1, last_index=1),
        )
        await told.formation.handle_hello(request)

    context.told = told
    context.run(tell())


@then("it does not count the other as restarted")
def then_not_counted(context):
    replica = context.told.replica.context
    voters = [v for v in replica.membership.voters if v.instance_id == context.other.name]
    assert replica.awaits_leader
    assert not replica.restarted_voters.includes_all(voters)


@when("the leader is lost and a follower grants the other one a vote while its own pre-vote runs")
def when_votes_meanwhile(context):
    cell = context.cell

    async def vote():
        cell.leader.kill()
        followers = [node for node in cell.nodes if node.is_up]
        replicas = [node.replica.context for node in followers]
        # Neither follower withholds its vote any more, or stands for election by itself.
        for replica in replicas:
            replica.election_timer_started_at -= replica.election_timeout_s
        first, other = replicas
        outcome = []

        async def campaign():
            outcome.append(await followers[0].replica._election.campaign(CampaignReason.TIMEOUT))

        cell.start_soon(campaign)
        await anyio.lowlevel.checkpoint()
        request = peers_pb2.VoteRequest(
            cell_id=first.membership.cell_id,
            term=first.term + 1,
            candidate=other.replica_id,
            last_index=other.log.last_index,
            last_term=other.log.last_term,
            target=first.replica_id,
        )
        answer = await followers[0].replica.handlers.handle_vote(request)
        assert answer.granted
        context.granted_term, context.follower = request.term, first
        await cell.clock.advance_until(lambda: bool(outcome), seconds=0.1)
        assert outcome == [None], outcome

    context.run(vote())


@then("the follower has stayed in the term of that vote")
def then_same_term(context):
    assert context.follower.term == context.granted_term, context.follower.term
