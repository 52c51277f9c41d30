from behave import given, then, when

from dewspindle._internal.models.resources import Amounts
from dewspindle._internal.scheduling.admission import (
    BURST_S,
    INITIAL_BURST_S,
    Admission,
    AdmissionControl,
    Backlog,
    JobDemand,
)
from dewspindle._internal.scheduling.backlog import StartRate, WaitingWork
from dewspindle._internal.scheduling.job_order import LatencyTarget, TeamStanding, compute_rank
from dewspindle._internal.scheduling.team_caps import TeamCaps
from dewspindle._internal.schema import jobs_pb2, resources_pb2

JOB = Amounts(processors=1000)
URGENT, NORMAL = 0, 2  # Priorities.
PATH_S = 1.0
REFUSED = {Admission.REFUSED_BEYOND_SHARE, Admission.REFUSED_HOPELESS}


@given('{capacity}, and teams "large" of {large:d} and "small" of {small:d} jobs a second')
def given_teams(context, capacity, large, small):
    context.control = AdmissionControl()
    context.weights = {"large": large, "small": small}
    context.now = 0.0
    context.decisions = []
    context.target_s = 4.0
    if capacity == "a new leader without spare capacity":
        set_backlog(context, jobs=0, wait_s=5.0)
        return
    for team, weight in context.weights.items():
        # What a new leader allows beyond the burst is used up.
        for _ in range(round(weight * (INITIAL_BURST_S - BURST_S))):
            decide(context, team)
    context.decisions.clear()
    if capacity == "no spare capacity":
        set_backlog(context, jobs=0, wait_s=5.0)
    elif capacity != "an unknown capacity":
        set_backlog(context, jobs=int(capacity.split()[3]), wait_s=5.0)


def set_backlog(context, *, jobs, wait_s, urgent_wait_s=0.0):
    waits_s = ((URGENT, urgent_wait_s), (NORMAL, wait_s))
    context.control.update_backlog(Backlog(spare=JOB * jobs, waits_s=waits_s))


def decide(context, team, *, priority=NORMAL):
    demand = JobDemand(JOB, priority=priority, path_s=PATH_S, target_s=context.target_s)
    decision = context.control.decide(
        team, weight=context.weights[team], demand=demand, now=context.now
    )
    context.decisions.append((context.now, team, decision))
    return decision


@when('"large" sends {large:d} and "small" {small:d} jobs a second for {seconds:d} seconds')
def when_sent(context, large, small, seconds):
    rates = {"large": large, "small": small}
    arrivals = [
        (number / rate, team) for team, rate in rates.items() for number in range(rate * seconds)
    ]
    for at, team in sorted(arrivals):
        context.now = at
        decide(context, team)


@when("capacity for {count:d} jobs becomes spare")
def when_spare(context, count):
    set_backlog(context, jobs=count, wait_s=5.0)


def list_accepted(context, team):
    return [
        decision.outcome
        for _, name, decision in context.decisions
        if name == team and decision.outcome not in REFUSED
    ]


@then('between {low:d} and {high:d} jobs of "{team}" are accepted, all of them within its share')
def then_within(context, low, high, team):
    accepted = list_accepted(context, team)
    assert low <= len(accepted) <= high, len(accepted)
    assert set(accepted) == {Admission.WITHIN_SHARE}


@then(
    'between {low:d} and {high:d} jobs of "{team}" are accepted, '
    "{beyond:d} or more of them beyond its share"
)
def then_beyond(context, low, high, team, beyond):
    accepted = list_accepted(context, team)
    assert low <= len(accepted) <= high, len(accepted)
    assert accepted.count(Admission.BEYOND_SHARE) >= beyond


@then('every job of "{team}" is accepted')
def then_all_accepted(context, team):
    sent = [name for _, name, _ in context.decisions if name == team]
    assert sent and len(list_accepted(context, team)) == len(sent)


@then('the next {count:d} jobs of "{team}" are accepted')
def then_next_accepted(context, count, team):
    outcomes = [decide(context, team).outcome for _ in range(count)]
    assert not REFUSED.intersection(outcomes), outcomes


def list_returns(context):
    return sorted(
        at + decision.retry_after_s
        for at, _, decision in context.decisions
        if decision.outcome in REFUSED
    )


@then("no {seconds:g} seconds after the first return have more than {most:d} returns")
def then_spread(context, seconds, most):
    # Those beyond the longest delay come together, as no better time is known for them.
    returns = [at for at in list_returns(context) if at < 4.0]
    assert returns
    for first in returns:
        assert sum(first <= at < first + seconds for at in returns) <= most


@then("no refusal asks for more than {seconds:d} seconds")
def then_bounded(context, seconds):
    delays = [decision.retry_after_s for _, _, decision in context.decisions]
    assert 0 < max(delays) <= seconds, max(delays)


RANKS = {
    "late within-share": (5.0, 1, TeamStanding(0)),
    "timely beyond-share": (100.0, 1, TeamStanding(1)),
    "timely": (100.0, 1, TeamStanding(0)),
    "late": (5.0, 0, TeamStanding(0)),
    "urgent over-share": (100.0, 0, TeamStanding(0, is_over_share=True)),
    "normal under-share": (100.0, 1, TeamStanding(0)),
    "normal over-share": (99.0, 1, TeamStanding(0, is_over_share=True)),
}


def rank(name):
    target_s, priority, standing = RANKS[name]
    return compute_rank(
        latency_target=LatencyTarget(accepted_at=0.0, target_s=target_s),
        priority=priority,
        now=10.0,
        remaining_s=1.0,
        standing=standing,
    )


@then("a {first} step ranks before a {second} one")
def then_ranked(context, first, second):
    assert rank(first) < rank(second)


@given(
    "a cap of {cap:d}, {used:d} in use, {unaccounted:d} unaccounted and {silent:d} millicores on "
    "silent workers"
)
def given_caps(context, cap, used, unaccounted, silent):
    team = jobs_pb2.Team(name="t", weight=1, cap=resources_pb2.Resources(processors=cap))
    context.caps = TeamCaps(
        {"t": team},
        used={"t": Amounts(processors=used)},
        unaccounted={"t": Amounts(processors=unaccounted)},
        silent_capacity=Amounts(processors=silent),
        capacity=Amounts(processors=100_000),
    )


@then("the team may start {room:d} millicores")
def then_room(context, room):
    assert context.caps.allows("t", Amounts(processors=room))
    assert not context.caps.allows("t", Amounts(processors=room + 1))


@when("work waits for {urgent:g} s up to urgent and {seconds:g} s up to normal priority")
def when_backlog(context, urgent, seconds):
    set_backlog(context, jobs=0, wait_s=seconds, urgent_wait_s=urgent)


@then("{priority} jobs {which} the rate of a team are {outcome}")
def then_outcome(context, priority, which, outcome):
    if which == "beyond":
        for _ in range(context.weights["large"]):
            decide(context, "large")
    number = URGENT if priority == "urgent" else NORMAL
    decision = decide(context, "large", priority=number)
    assert decision.outcome is Admission(outcome), decision


@given("{tasks:d} waiting tasks of {seconds:g} s on {cores:d} cores, of {capacity:d} cores in use")
def given_waiting(context, tasks, seconds, cores, capacity):
    context.work = WaitingWork()
    context.work.add(
        team="t",
        priority=URGENT,
        amounts=JOB * cores,
        count=tasks,
        estimate_s=seconds,
        is_ready=True,
    )
    context.capacity = JOB * capacity


@then("at {rate:d} starts a second, the next job waits for {seconds:g} s")
def then_wait(context, rate, seconds):
    starts = StartRate()
    for number in range(21):
        starts.record(rate // 10, now=number / 10)
    check_wait(context, starts, seconds, now=2.0)


@then("with {count:d} starts in the first {span:g} seconds, the next job waits for {seconds:g} s")
def then_early_wait(context, count, span, seconds):
    starts = StartRate()
    for at in (0.0, span):
        starts.record(count // 2, now=at)
    check_wait(context, starts, seconds, now=span)


def check_wait(context, starts, seconds, *, now):
    backlog = context.work.make_backlog(
        free=Amounts(),
        capacity=context.capacity,
        rooms={},
        starts_per_s=starts.compute(now=now),
    )
    assert abs(backlog.predict_wait() - seconds) <= 0.1 * seconds, backlog
