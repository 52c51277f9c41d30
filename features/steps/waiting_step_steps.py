import random

from behave import given, then, when

from dewspindle._internal.models.resources import Amounts
from features.lib.stepping import MAX_STRIDE_S
from features.lib.wait_check import MAX_WAIT_S
from features.lib.waiting_load import RandomLoad
from features.lib.waiting_steps import CAPACITY, Behavior, WaitingModel

HELPERS = 20


def list_ids(first, last):
    return frozenset(f"w{number}" for number in range(first, last + 1))


@given("a leader that plans steps on {count:d} workers of 32 cores")
def given_leader(context, count):
    context.model = WaitingModel(workers=count, helpers=HELPERS)


@given("a leader and 4 replicas without entry instances that plan steps on {count:d} workers")
def given_leader_without_entry_instances(context, count):
    context.model = WaitingModel(workers=count, helpers=0)


@given("{count:d} workers of 32 cores in another pool")
def given_other_pool(context, count):
    for _ in range(count):
        context.model.add_worker(pool="other")


@given("workers {first:d} to {last:d} are full for {seconds:d} seconds")
def given_full(context, first, last, seconds):
    for worker_id in sorted(list_ids(first, last)):
        context.model.occupy(worker_id, CAPACITY, seconds)


@given("workers {first:d} to {last:d} run tasks of changing length one after another")
def given_busy(context, first, last):
    rng = random.Random(1)
    for worker_id in sorted(list_ids(first, last)):
        occupy_again(context.model, worker_id, rng)


def occupy_again(model, worker_id, rng):
    """Let a worker run one task after another, some of which take longer than estimated."""
    seconds = rng.uniform(0.5, 3.0)
    model.occupy(worker_id, CAPACITY, seconds, estimate_s=seconds * rng.uniform(0.5, 1.5))
    model.after(seconds, occupy_again, model, worker_id, rng)


@given("a worker joins every {seconds:g} seconds")
def given_joining_workers(context, seconds):
    def join():
        context.model.add_worker()
        context.model.after(seconds, join)

    context.model.after(seconds, join)


@given("room on workers kept for gangs is not counted")
def given_reserved_room_not_counted(context):
    context.model.check.counts_reserved_room = False


@given("worker {number:d} is full for {seconds:g} seconds")
def given_full_worker(context, number, seconds):
    context.model.occupy(f"w{number}", CAPACITY, seconds)


@given("a long task for workers {first:d} to {last:d} and {other_first:d} to {other_last:d}")
def given_long_task(context, first, last, other_first, other_last):
    approved = list_ids(first, last) | list_ids(other_first, other_last)
    context.model.submit(
        count=1,
        amounts=Amounts(processors=2600, memory_mb=23_000),
        behavior=Behavior(run_s=60.0, approved=approved),
        gang=False,
        queue=("slow", 1, "pool"),
    )


def submit_gang(context, count, cores, first, last, queue):
    context.model.submit(
        count=count,
        amounts=Amounts(processors=cores * 1000),
        behavior=Behavior(run_s=4.0, approved=list_ids(first, last)),
        gang=True,
        queue=queue,
    )


@given(
    "{gangs:d} urgent gangs of {count:d} tasks of {cores:d} cores for workers {first:d} to {last:d}"
)
def given_urgent_gangs(context, gangs, count, cores, first, last):
    for _ in range(gangs):
        submit_gang(context, count, cores, first, last, ("usual", 0, "pool"))


@given("a gang of {count:d} tasks of {cores:d} cores for workers {first:d} to {last:d}")
def given_gang(context, count, cores, first, last):
    submit_gang(context, count, cores, first, last, ("usual", 1, "pool"))


@given(
    "a gang of {count:d} tasks of {cores:d} cores for workers {first:d} to {last:d} "
    "with a slow advisor"
)
def given_gang_of_slow_advisor(context, count, cores, first, last):
    submit_gang(context, count, cores, first, last, ("slow", 1, "pool"))


@given(
    "a gang of the other pool of {count:d} tasks of {cores:d} cores "
    "for workers {first:d} to {last:d}"
)
def given_gang_of_other_pool(context, count, cores, first, last):
    submit_gang(context, count, cores, first, last, ("usual", 1, "other"))


@given("random steps and trouble of workers with seed {seed:d}")
def given_random_load(context, seed):
    context.model.seed = seed
    RandomLoad(context.model, seed=seed).begin()


@given("all entry instances are lost at second {second:g}")
def given_lost_entry_instances(context, second):
    context.model.after(second, context.model.lose_helpers, HELPERS)


@given(
    "workers {first:d} to {last:d} have {cores:d} cores and {memory:d} GB left "
    "for {seconds:d} seconds"
)
def given_partly_full(context, first, last, cores, memory, seconds):
    left = Amounts(processors=cores * 1000, memory_mb=memory * 1024)
    for worker_id in sorted(list_ids(first, last)):
        context.model.occupy(worker_id, CAPACITY - left, seconds)


@given("{gangs:d} urgent gangs of {count:d} tasks of {cores:d} cores and {memory:d} GB")
def given_urgent_gangs_anywhere(context, gangs, count, cores, memory):
    for _ in range(gangs):
        context.model.submit(
            count=count,
            amounts=Amounts(processors=cores * 1000, memory_mb=memory * 1024),
            behavior=Behavior(run_s=4.0),
            gang=True,
            queue=("usual", 0, "pool"),
        )


@given("a task of {cores:d} cores and {memory:d} GB that asks a slow advisor")
def given_small_task(context, cores, memory):
    context.model.submit(
        count=1,
        amounts=Amounts(processors=cores * 1000, memory_mb=memory * 1024),
        behavior=Behavior(run_s=4.0),
        gang=False,
        queue=("slow", 1, "pool"),
    )


@given("the advisor of gangs answers nothing from second {second:d} on")
def given_silent_advisor(context, second):
    context.model.after(second, setattr, context.model, "is_gang_advisor_lost", True)


@given("a task of 2 cores that needs no advice and becomes ready at second {second:d}")
def given_task_without_advisor(context, second):
    context.model.after(
        second,
        lambda: context.model.submit(
            count=1,
            amounts=Amounts(processors=2000),
            behavior=Behavior(run_s=2.0),
            gang=False,
            queue=("none", 1, "pool"),
        ),
    )


@then("no task waits for placement")
def then_no_task_waits(context):
    waiting = [
        step.key
        for run in context.model.runs
        for step in run.steps.values()
        if step.waiting and not step.message.gang
    ]
    assert not waiting, waiting


@given("callers send nothing from second {second:d} on")
def given_silent_callers(context, second):
    context.model.after(second, context.model.silence_callers)


@given("{jobs:d} tasks that become ready at second {second:d} and ask a slow advisor")
def given_tasks(context, jobs, second):
    for _ in range(jobs):
        context.model.after(second, submit_task, context, None, ("slow", 1, "pool"), 0)


def submit_task(context, approved, queue, waited_s):
    context.model.submit(
        count=1,
        amounts=Amounts(processors=2600, memory_mb=23_000),
        behavior=Behavior(run_s=4.0, approved=approved),
        gang=False,
        queue=queue,
        waited_s=waited_s,
    )


@given(
    "{jobs:d} urgent tasks for workers {first:d} to {last:d}, and an overdue one for workers "
    "{other_first:d} to {other_last:d}, that ask a slow advisor"
)
def given_urgent_tasks(context, jobs, first, last, other_first, other_last):
    for _ in range(jobs):
        submit_task(context, list_ids(first, last), ("slow", 0, "pool"), 0)
    submit_task(context, list_ids(other_first, other_last), ("slow", 2, "pool"), 60)


@when("{seconds:d} seconds of planning pass")
def when_passed(context, seconds):
    for _ in range(int(seconds / MAX_STRIDE_S)):
        context.run(context.model.run(MAX_STRIDE_S))


@then("no step waits longer than {seconds:d} seconds while there is room for it twice over")
def then_none_waits(context, seconds):
    assert seconds == MAX_WAIT_S
    waits = list(context.model.check.long_waits.values())
    assert not waits, "\n".join(["", *map(str, waits)])


@then("renewals took at most {seconds:d} seconds of helpers in all")
def then_renewals_took(context, seconds):
    took_s = context.model.client.take_load()["helper_seconds"]
    assert 0 < took_s.get("renewal", 0.0) <= seconds, took_s


@then("requests for gangs took at most {seconds:d} seconds of helpers in all")
def then_gangs_took(context, seconds):
    took_s = context.model.client.take_load()["helper_seconds"]
    assert 0 < took_s.get("gang", 0.0) <= seconds, took_s


@then("advice for tasks took at most {seconds:d} seconds of helpers in all")
def then_tasks_took(context, seconds):
    took_s = context.model.client.take_load()["helper_seconds"]
    assert took_s.get("tasks", 0.0) <= seconds, took_s
