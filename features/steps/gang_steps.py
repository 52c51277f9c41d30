from behave import given, then, when

from dewspindle._internal.scheduling.gang_reservation import Fit, Reservations
from dewspindle._internal.schema import jobs_pb2
from features.steps.job_steps import add_job, make_plan, make_step

RANKS = {"gang": (0, 1, 10.0), "other": (0, 1, 11.0), "third": (0, 1, 12.0)}


@given(
    "workers a to f that hold {empty:d} members when empty, "
    "and 2 now on b, 1 on e and 0 on the others"
)
def given_fits(context, empty):
    now = {"b": 2, "e": 1}
    context.fits = {name: Fit(now=now.get(name, 0), when_empty=empty) for name in "abcdef"}
    context.kept = Reservations()


def ask(context, gang, size):
    context.kept.top_up(gang, size=size, rank=RANKS[gang], fits=context.fits, workers=6)


@when("a gang of {size:d} asks for workers")
def when_asks(context, size):
    ask(context, "gang", size)


@when("another gang of {size:d} asks for workers")
def when_other_asks(context, size):
    ask(context, "other", size)


@when("a third gang of {size:d} asks for workers")
def when_third_asks(context, size):
    ask(context, "third", size)


@when("worker {name} cannot be used any more")
def when_lost(context, name):
    del context.fits[name]
    context.kept.keep_only(is_waiting=lambda gang: True, usable=context.fits.keys())


@then("{first} and {second} are kept for it")
def then_kept(context, first, second):
    kept = {w for w in "abcdef" if not context.kept.is_free(w)}
    assert kept == {first, second}, kept
    assert all(context.kept.is_open(w, to="gang") for w in kept)


@when("the gang waits no more")
def when_gone(context):
    context.kept.keep_only(is_waiting=lambda gang: False, usable=context.fits.keys())


@then("nothing is kept")
def then_nothing(context):
    assert len(context.kept) == 0
    assert not context.kept._ranks, context.kept._ranks


@then("{count:d} workers are kept in all")
def then_count(context, count):
    assert len(context.kept) == count, len(context.kept)


@then("a task of a lower rank may use b, and one of a higher rank may not")
def then_pass(context):
    assert context.kept.may_pass("b", (0, 0, 50.0))
    assert not context.kept.may_pass("b", (0, 2, 1.0))
    assert not context.kept.may_pass("b", (1, 0, 1.0))


@when("a gang of {count:d} tasks that each need a whole worker is handed in")
def when_gang(context, count):
    add_job(context, make_plan(make_step(count, gang=True, processors=8000), run_s=1.0))
    context.gangs = [*getattr(context, "gangs", []), context.last_job]


@then("the gang has ended")
@then("both gangs have ended")
def then_gangs_ended(context):
    states = [context.cell.get_state(job) for job in context.gangs]
    assert set(states) == {jobs_pb2.JOB_SUCCEEDED}, states
