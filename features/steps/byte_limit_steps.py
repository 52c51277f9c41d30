import anyio
from behave import given, then, when

from dewspindle._internal.exceptions import DewspindleError, NoLeaderError, NotLeaderError
from dewspindle._internal.jobs.relay import JobRelay
from dewspindle._internal.schema import cell_pb2, jobs_pb2, peers_pb2
from dewspindle._internal.utils.metrics import Metrics
from features.lib.clock import ManualClock

MB = 1024 * 1024
BATCHES_IN_FLIGHT = 4
SLACK_BYTES = 64 * 1024  # Headers of requests and entries.


class SlowLeader:
    """Answers each batch after some time, and records its size."""

    def __init__(self, timers, delay_s):
        self._timers = timers
        self._delay_s = delay_s
        self.sizes = []

    async def send(self, method, request, *, timeout_s, is_idempotent):
        self.sizes.append(request.ByteSize())
        await self._timers.sleep(self._delay_s)
        answers = [peers_pb2.JobAnswer(status=200) for _ in request.requests]
        return peers_pb2.RelayJobsAnswer(answers=answers)


@given("a relay to a leader that answers after {delay:d} {unit}")
def given_relay(context, delay, unit):
    context.clock = ManualClock()
    timers = context.clock.make_timers()
    context.leader = SlowLeader(timers, delay / 1000 if unit == "ms" else delay)
    context.relay = JobRelay(context.leader, timers=timers, metrics=Metrics(instance="i", zone="z"))


@when("{count:d} submissions of {size_kb:d} KB arrive at the same time")
def when_submissions_arrive(context, count, size_kb):
    context.answers, context.refused_bytes = [], []
    spec = jobs_pb2.JobSpec(payload="x" * (size_kb * 1024))
    request = peers_pb2.JobRequest(call=peers_pb2.JOB_SUBMIT, spec=spec)

    async def submit():
        try:
            context.answers.append(await context.relay.send(request, timeout_s=10.0))
        except NoLeaderError:
            if context.clock.now == context.started_at:
                context.refused_bytes.append(request.ByteSize())
        except DewspindleError:
            pass

    async def run():
        context.started_at = context.clock.now
        async with anyio.create_task_group() as group:
            group.start_soon(context.relay.run)
            await context.clock.settle()
            for _ in range(count):
                group.start_soon(submit)
            await context.clock.advance(5.0)
            group.cancel_scope.cancel()

    context.run(run())
    context.count = count
    context.total_bytes = count * request.ByteSize()


@then("all of them are answered")
def then_all_answered(context):
    assert len(context.answers) == context.count, len(context.answers)


@then("no batch is larger than 1 MB")
def then_small_batches(context):
    assert max(context.leader.sizes) <= MB + SLACK_BYTES, context.leader.sizes


@then("those beyond 16 MB and 4 batches are refused at once as not sent")
def then_rest_refused(context):
    held = context.total_bytes - sum(context.refused_bytes)
    assert context.refused_bytes
    assert 15 * MB <= held <= (16 + BATCHES_IN_FLIGHT) * MB + SLACK_BYTES, held


@when("the followers are cut off and {count:d} changes of 1 MB are proposed")
def when_many_proposed(context, count):
    cell = context.cell
    leader = cell.leader
    context.refused = []

    async def propose(number):
        command = cell_pb2.Command(
            put_config=cell_pb2.PutConfig(name=f"large-{number}", value=bytes(MB))
        )
        proposed_at = cell.clock.now
        try:
            await leader.replica.propose(command)
        except NotLeaderError:
            if cell.clock.now == proposed_at:
                context.refused.append(number)
        except DewspindleError:
            pass

    async def run():
        cell.network.isolate(leader.address, cell.addresses)
        for number in range(count):
            cell.start_soon(propose, number)
        await cell.clock.advance(0.1)

    context.run(run())


@then("the changes beyond 32 MB are refused at once")
def then_excess_refused(context):
    assert context.refused == list(range(32, 50)), context.refused
