from behave import given, then, when

from dewspindle._internal.scheduling.start_pacing import (
    DECREASE,
    LAG_CHECK_INTERVAL_S,
    LASTING_LAG_CHECKS,
    RATE_WINDOW_S,
    StartPacer,
)

TICK_S = 0.01
STALL_INTERVAL_S = 0.3


class LoopModel:
    """An event loop that carries a number of starts a second, and does the rest late."""

    def __init__(self, *, starts_per_s, fixed_lag_s=0.0):
        self.pacer = StartPacer()
        self.starts_per_s = starts_per_s
        self.fixed_lag_s = fixed_lag_s
        self.now = 0.0
        self.waiting = 0.0
        self.undone = 0.0  # Starts whose work the loop has not done yet.
        self.started = []
        self.lags = []

    @property
    def lag_s(self):
        return self.fixed_lag_s + self.undone / self.starts_per_s

    def stall(self, seconds):
        """Delay all other work of the loop."""
        self.undone += seconds * self.starts_per_s

    def run(self, *, ready_per_s, seconds, stall_s=0.0):
        for number in range(round(seconds / TICK_S)):
            self.now += TICK_S
            self.waiting += ready_per_s * TICK_S
            count = int(min(self.waiting, self.pacer.get_budget(now=self.now)))
            self.waiting -= count
            self.pacer.record_starts(count, now=self.now)
            self.started.append((self.now, count))
            self.undone = max(0.0, self.undone + count - self.starts_per_s * TICK_S)
            if number % round(STALL_INTERVAL_S / TICK_S) == 0:
                self.stall(stall_s)
            if number % round(LAG_CHECK_INTERVAL_S / TICK_S) == 0:
                self.lags.append((self.now, self.lag_s))
                self.pacer.record_lag(self.lag_s, now=self.now)


@given("a loop that carries {rate:d} starts a second")
def given_loop(context, rate):
    context.loop = LoopModel(starts_per_s=rate)


@given("a loop that lags by {lag:g} s whatever it does")
def given_lagging_loop(context, lag):
    context.loop = LoopModel(starts_per_s=10_000, fixed_lag_s=lag)


@when("{rate:d} tasks a second become ready for {seconds:d} seconds")
def when_ready(context, rate, seconds):
    context.loop.run(ready_per_s=rate, seconds=seconds)


@when(
    "{rate:d} tasks a second become ready for {seconds:d} seconds, beside stalls of "
    "{stall:g} seconds"
)
def when_ready_beside_stalls(context, rate, seconds, stall):
    context.loop.run(ready_per_s=rate, seconds=seconds, stall_s=stall)


@when("{count:d} tasks are ready")
def when_ready_at_once(context, count):
    context.loop.run(ready_per_s=count / TICK_S, seconds=TICK_S)


@then("one round starts at most {most:d} of them")
def then_few(context, most):
    assert 0 < context.loop.started[0][1] <= most, context.loop.started


@when("the loop stalls for {seconds:g} seconds")
def when_stalled(context, seconds):
    context.loop.stall(seconds)


@then("from second {first:d} on, {low:d} to {high:d} tasks start each second")
def then_started(context, first, low, high):
    loop = context.loop
    for second in range(first, round(loop.now)):
        count = sum(n for at, n in loop.started if second < at <= second + 1)
        assert low <= count <= high, (second, count)


@then("from second {first:d} on, the mean lag is below {most:g} s")
def then_lag(context, first, most):
    lags = [lag for at, lag in context.loop.lags if at > first]
    assert sum(lags) / len(lags) < most, sum(lags) / len(lags)


@then("there is no limit")
def then_unlimited(context):
    assert context.loop.pacer.limit is None, context.loop.pacer.limit


@given("a limit of {rate:d} starts a second")
def given_limit(context, rate):
    context.pacer = StartPacer()
    # Rounded down, as the limit would repay a gang just before the time that a scenario names.
    context.pacer.record_starts(0.999 * rate / DECREASE, now=-RATE_WINDOW_S / 2)
    for _ in range(LASTING_LAG_CHECKS):
        context.pacer.record_lag(1.0, now=0.0)
    assert round(context.pacer.limit) == rate, context.pacer.limit


@when("a gang of {count:d} tasks starts")
def when_gang(context, count):
    assert context.pacer.get_budget(now=0.3) > 0
    context.pacer.record_starts(count, now=0.3)


@then("no task may start for the next {seconds:g} seconds")
def then_none(context, seconds):
    assert context.pacer.get_budget(now=0.3 + seconds) == 0


@then("a task may start in one round after {seconds:g} seconds")
def then_some_at_once(context, seconds):
    assert context.pacer.get_budget(now=0.3 + seconds) > 0


@then("a task may start after {seconds:g} seconds")
def then_some(context, seconds):
    for number in range(1, round(seconds / 0.1) + 1):
        budget = context.pacer.get_budget(now=0.3 + number * 0.1)
    assert budget > 0
