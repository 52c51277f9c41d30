import math
from dataclasses import replace

from behave import given, then, when

from dewspindle._internal.jobs import run_observer
from dewspindle._internal.jobs.run_observer import RunObserver
from dewspindle._internal.models.ids import JobId, TaskKind
from dewspindle._internal.models.resources import NO_RESOURCES
from dewspindle._internal.scheduling.run_times import RunTime
from dewspindle._internal.scheduling.slowdowns import Slowdowns
from dewspindle._internal.schema import jobs_pb2
from dewspindle._internal.utils.metrics import Metrics
from features.lib.uneven_fleet import StandInKind, UnevenFleet

PAIR = (TaskKind("sweep/0"), TaskKind("check/0"))
CORES = 32_000


def make_fleet(*, seed, learns=True):
    return UnevenFleet(workers=40, slow=10, seed=seed, learns=learns)


def run_until(fleet, condition, *, seconds):
    """Return whether a condition becomes true in time."""
    until = fleet.model.timers.now() + seconds
    while not condition() and fleet.model.timers.now() < until:
        fleet.tick()
    return condition()


@given("an uneven fleet with seed {seed:d} that has run for {seconds:d} seconds")
def given_fleet(context, seed, seconds):
    context.fleet = make_fleet(seed=seed)
    context.fleet.run(seconds)


@when("checks make sweeps take {factor:g} times as long")
def when_interfering(context, factor):
    context.fleet.effects[PAIR] = factor
    context.ends_before = context.fleet.ends


@then("the pair is found within {count:d} ends")
def then_found(context, count):
    fleet = context.fleet
    assert run_until(fleet, lambda: PAIR in fleet.believed, seconds=120)
    assert fleet.ends - context.ends_before <= count, fleet.ends - context.ends_before
    [pair] = fleet.slowdowns.describe().pairs
    assert pair.factor > 1.1 and pair.samples >= 12 and pair.age_s == 0, pair
    fleet.run(5)
    assert PAIR in fleet.believed
    assert sum(pair.changed_placements for pair in fleet.slowdowns.describe().pairs) > 0


@then("the pair is forgotten within {seconds:d} seconds")
def then_forgotten(context, seconds):
    fleet = context.fleet
    assert run_until(fleet, lambda: PAIR not in fleet.believed, seconds=seconds)


@then("at most {count:d} pair was ever believed")
def then_few_false(context, count):
    assert len(context.fleet.false_pairs) <= count, context.fleet.false_pairs


def list_believed_slow(fleet):
    return {worker.worker for worker in fleet.slowdowns.describe().workers if worker.factor > 1}


@then("at least {count:d} slow workers are believed to be slow")
def then_slow_found(context, count):
    speeds = context.fleet.speeds
    found = {worker for worker in list_believed_slow(context.fleet) if speeds[worker] < 1}
    assert len(found) >= count, found


@then("no fast worker is believed to be slow")
def then_no_false_slow(context):
    speeds = context.fleet.speeds
    assert all(speeds[worker] < 1 for worker in list_believed_slow(context.fleet))


@given("two equal uneven fleets with seed {seed:d} at {load:d} times the load, and beliefs")
def given_equal_fleets(context, seed, load):
    context.fleets = [make_fleet(seed=seed), make_fleet(seed=seed)]
    for fleet in context.fleets:
        fleet.run(12)
        fleet.load = load
        fleet.effects[PAIR] = 2.0
        fleet.run(8)
        assert fleet.slowdowns.has_beliefs
        for kind in (StandInKind("sweep", 30, 1.5, 0), StandInKind("check", 3, 0.6, 0)):
            fleet.submit(kind)


def list_runs(fleet):
    """Return the tasks at work, each with its worker."""
    return {run.placement.key: run.placement.worker.id for run in fleet.runs}


@when("the first plans a round with its beliefs and the second one without")
def when_planned(context):
    first, second = context.fleets
    assert list_runs(first) == list_runs(second)
    second.model.planner._relocator._slowdowns = Slowdowns(timers=second.model.timers)
    context.started = [fleet.plan() for fleet in context.fleets]


@then("both start the same tasks")
def then_same_started(context):
    first, second = context.fleets
    assert context.started[0] == context.started[1]
    assert list_runs(first).keys() == list_runs(second).keys()


@then("no worker is loaded above its capacity")
def then_capacity_kept(context):
    assert all(NO_RESOURCES.fits_in(w.free) for f in context.fleets for w in f.model.fleet)


@given("an uneven fleet that learns and one that does not")
def given_two_fleets(context):
    context.fleets = [make_fleet(seed=1), make_fleet(seed=1, learns=False)]


@when("both run until the first one believes that a worker is slow or fast")
def when_both_run(context):
    first, second = context.fleets
    assert run_until(first, lambda: first.slowdowns.has_beliefs, seconds=30)
    second.run(first.model.timers.now())


@then("both have made the same choices")
def then_same_choices(context):
    first, second = context.fleets
    assert first.ends > 0 and first.ends == second.ends
    assert list_runs(first) == list_runs(second)


@then("the other one believes nothing after {seconds:d} more seconds")
def then_nothing_believed(context, seconds):
    context.fleets[1].run(seconds)
    assert not context.fleets[1].slowdowns.has_beliefs


@given("a fleet of {slow:d} slow and {fast:d} fast workers that are known")
def given_known_speeds(context, slow, fast):
    context.fleet = UnevenFleet(workers=slow + fast, slow=slow, seed=1)
    for worker, speed in context.fleet.speeds.items():
        for _ in range(20):
            context.fleet.slowdowns.speeds.record(worker, -math.log(speed), 0.0)


@when("a gang of {size:d} tasks that fill a worker each arrives")
def when_gang_arrives(context, size):
    context.fleet.submit(StandInKind("sweep", size, 1.5, 0), gang=True, cores=CORES)
    context.start = context.fleet.model.planner.plan(workers_reconciled=True, early_ms=0)


@then("it starts on fast workers only")
@then("it starts on slow and fast workers")
def then_gang_started(context):
    [start] = context.start
    speeds = [context.fleet.speeds[worker] for worker in start.workers.values()]
    assert len(set(start.workers.values())) == len(start.workers) == start.unit.unit.size
    assert (min(speeds) > 1) == (len(speeds) <= 4), speeds


@when("a step of {size:d} small tasks with at most {limit:d} a worker arrives")
def when_limited_step_arrives(context, size, limit):
    context.fleet.submit(StandInKind("sweep", size, 1.5, 0), max_per_worker=limit)
    assert context.fleet.plan() == size


@then("it has {fast:d} tasks on fast workers and {slow:d} on slow ones")
def then_spread(context, fast, slow):
    workers = [run.placement.worker.id for run in context.fleet.runs]
    assert len(set(workers)) == fast + slow, workers
    assert sum(context.fleet.speeds[worker] > 1 for worker in workers) == fast, workers


def make_run_time(**changes):
    valid = RunTime(
        kind=PAIR[0],
        step=(JobId("j"), 0, 0),
        step_size=1,
        worker="w0",
        ran_s=1.0,
        estimate_s=1.0,
        beside={PAIR[1]: [(0.0, 1.0)]},
    )
    return replace(valid, **changes)


@then("malformed run times change nothing and are counted")
def then_malformed_ignored(context):
    slowdowns = context.fleet.slowdowns
    slowdowns._metrics = Metrics(instance="i", zone="z")
    before = slowdowns.describe()
    malformed = [
        *({"ran_s": value} for value in (0.0, -1.0, math.nan, math.inf)),
        *({"estimate_s": value} for value in (-1.0, math.nan, math.inf)),
        *({"kind": ""}, {"worker": ""}, {"step_size": 0}),
        *({"beside": {PAIR[1]: [period]}} for period in ((1.0, 0.5), (0.0, math.nan))),
    ]
    for changes in malformed:
        slowdowns.record(make_run_time(**changes))
    assert slowdowns.describe() == before
    [count] = slowdowns._metrics._early_counts.values()
    assert count == len(malformed), count


def count_observed(context, kind=jobs_pb2.END_DONE, **changes):
    """Return how many run times the end of a running task passes on."""
    recorded = []
    slowdowns = Slowdowns(timers=context.fleet.model.timers)
    slowdowns.record = recorded.append
    run = context.fleet.runs[0]
    changed = replace(run.placement, **changes)
    context.fleet.model.timers.time += run_observer.MIN_RUN_S
    observer = RunObserver(slowdowns, timers=context.fleet.model.timers)
    observer.record_end(changed, kind, run.unit)
    return len(recorded)


@then("the end of a task whose worker has not answered for a while teaches nothing")
def then_late_ignored(context):
    worker = context.fleet.runs[0].placement.worker
    assert count_observed(context) == 1
    worker.recovered_at = context.fleet.model.timers.now()
    assert count_observed(context) == 0
    worker.recovered_at = -math.inf


@then("so does the end of a task that failed, continued, or was limited in its speed")
def then_partial_ignored(context):
    assert count_observed(context, jobs_pb2.END_FAILED) == 0
    for name in ("is_resumed", "is_throttled", "is_adopted", "is_lasting", "is_stop_ordered"):
        assert count_observed(context, **{name: True}) == 0, name


@then("the leader has learnt the speeds of some workers, and none is believed to be slow")
def then_cell_learnt(context):
    slowdowns = context.cell.leader.job_leader_services.dispatcher._planner.interference
    assert slowdowns.is_enabled and len(slowdowns.speeds) > 0
    assert not slowdowns.describe().workers and not slowdowns.describe().pairs


@when("tasks of {kinds:d} kinds end on {workers:d} workers")
def when_many_kinds(context, kinds, workers):
    context.fleet = make_fleet(seed=1)
    slowdowns = context.fleet.slowdowns
    for number in range(workers):
        slowdowns.speeds.record(f"w{number}", 0.0, 0.0)
        first, second = (TaskKind(f"k{n % kinds}") for n in (number, number * 7))
        slowdowns.pairs.record(
            first, worker=f"w{number}", exposure={second: 1.0}, residual=0.0, now=0.0
        )


@then("at most {pairs:d} pairs and {workers:d} workers are kept")
def then_bounded(context, pairs, workers):
    slowdowns = context.fleet.slowdowns
    assert 0 < len(slowdowns.pairs) <= pairs and 0 < len(slowdowns.speeds) <= workers
