import gc

from behave import given, then, when

from dewspindle._internal.utils.garbage import limit_collections


@given("a program that has limited its collections of garbage")
def given_limits(context):
    thresholds = gc.get_threshold()

    def restore():
        gc.unfreeze()
        gc.set_threshold(*thresholds)

    context.closers.append(restore)
    limit_collections()


@when("it makes {count:d} objects that live on")
def when_made(context, count):
    generations = []

    def record(phase, info):
        if phase == "stop":
            generations.append(info["generation"])

    gc.callbacks.append(record)
    context.closers.append(lambda: gc.callbacks.remove(record))
    context.kept = [[] for _ in range(count)]
    context.generations = generations


@then("no full collection was made")
def then_none_full(context):
    assert context.generations, "nothing was collected"
    assert 2 not in context.generations, context.generations.count(2)
