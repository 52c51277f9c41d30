import itertools

import anyio
from behave import given, then, when

from dewspindle._internal.jobs.advice import AdviceClient, AdviceRequest
from dewspindle._internal.jobs.helper_registry import HelperRegistry
from dewspindle._internal.jobs.relay import JobRelay
from dewspindle._internal.models.ids import JobId
from dewspindle._internal.network import methods
from dewspindle._internal.replication.transport import PeerUnreachableError
from dewspindle._internal.scheduling.job_advice import choose_advice_candidates
from dewspindle._internal.schema import peers_pb2
from dewspindle._internal.utils.metrics import Metrics
from features.lib.clock import ManualClock, ManualTimerService

LEADER = "10.0.0.1:7000"


class AdviceHarness:
    """The leader's advice client with simulated helpers, for steps that request advice."""

    def __init__(self, *, replicas, entry_instances, seconds):
        self.clock = ManualClock()
        self.timers = ManualTimerService(self.clock)
        # How long the advisor takes, and how long the queue's settings say that it takes.
        self.call_s = self.expected_s = seconds
        self.round_s = 0.01
        self.first_never_answers = False
        self.fails_until = 0.0
        self.requested_helpers = []
        self.entry_instances = [f"10.1.0.{number}:7000" for number in range(entry_instances)]
        addresses = [f"10.0.0.{number + 2}:7000" for number in range(replicas)]
        self.registry = HelperRegistry(
            own_address=LEADER, list_replicas=lambda: addresses, timers=self.timers
        )
        self.record_entry_instances()
        self.client = AdviceClient(
            list_helpers=self.registry.list_helpers,
            call=self.call,
            timers=self.timers,
            metrics=Metrics(instance="i", zone="z"),
            on_answer=lambda key: None,
        )
        self.keys = []
        self.job_numbers = itertools.count()

    def record_entry_instances(self):
        for address in self.entry_instances:
            self.registry.record_entry_instance(address)

    async def call(self, helper, request):
        self.requested_helpers.append(helper)
        if self.clock.now < self.fails_until:
            raise PeerUnreachableError(helper)
        is_unanswered = self.first_never_answers and helper == self.requested_helpers[0]
        seconds = 60.0 if is_unanswered else self.call_s
        limit_s = request.timeout_ms / 1000
        await self.timers.sleep(min(seconds, limit_s))
        if seconds > limit_s:
            raise PeerUnreachableError(helper)
        answer = peers_pb2.AdviseAnswer(validity_ms=60_000)
        for worker in request.workers:
            answer.approvals.add(worker=worker, ticket="t")
        return answer

    @property
    def is_answered(self):
        now = self.timers.now()
        return all(self.client.get(key).has_ticket("w", now) for key in self.keys)

    async def ask(self, count, *, seconds):
        """Request advice for new steps in rounds, as the planner does, until all have it.

        Give up after the given time.
        """
        self.keys = [(JobId(f"{next(self.job_numbers):016x}"), 0, 0) for _ in range(count)]
        began_at = self.clock.now
        async with anyio.create_task_group() as group:
            self.client.start(group)
            while not self.is_answered and self.clock.now < began_at + seconds:
                for key in self.keys:
                    if not self.client.get(key).has_ticket("w", self.timers.now()):
                        self.client.ask(AdviceRequest(key, "queue", ["w"], self.expected_s, (0,)))
                self.client.dispatch()
                await self.clock.advance(self.round_s)
            group.cancel_scope.cancel()
        self.took_s = self.clock.now - began_at


@given(
    "{replicas:d} replicas and {entry_instances:d} entry instances that query an advisor "
    "that takes {seconds:f} seconds"
)
def given_helpers(context, replicas, entry_instances, seconds):
    context.harness = AdviceHarness(
        replicas=replicas, entry_instances=entry_instances, seconds=seconds
    )


@given("planning rounds are {seconds:g} seconds apart")
def given_rounds(context, seconds):
    context.harness.round_s = seconds


@given("the first helper asked never answers")
def given_unresponsive_helper(context):
    context.harness.first_never_answers = True


@given("the advisor declares a response time of {seconds:f} seconds")
def given_declared_time(context, seconds):
    context.harness.expected_s = seconds


@given("the entry instances relay nothing for {seconds:d} seconds")
def given_silent_entry_instances(context, seconds):
    context.run(context.harness.clock.advance(seconds))


class HeardLeader:
    """Stands in for the client of a leader that records which entry instances it hears from."""

    def __init__(self, timers):
        self.registry = HelperRegistry(own_address=LEADER, list_replicas=list, timers=timers)

    async def send(self, method, request, **_):
        assert method is methods.RELAY_JOBS
        self.registry.record_entry_instance(request.helper_address)
        return peers_pb2.RelayJobsAnswer(
            answers=[peers_pb2.JobAnswer(status=200) for _ in request.requests]
        )


@given("an entry instance that can call the advisor")
def given_entry_instance(context):
    context.clock = ManualClock()
    timers = ManualTimerService(context.clock)
    context.leader = HeardLeader(timers)
    context.relay = JobRelay(
        context.leader,
        timers=timers,
        metrics=Metrics(instance="i", zone="z"),
        helper_address="10.1.0.1:7000",
    )


@when("its callers send nothing for {seconds:d} seconds")
def when_callers_are_silent(context, seconds):
    async def wait():
        async with anyio.create_task_group() as group:
            group.start_soon(context.relay.run)
            await context.relay.send(peers_pb2.JobRequest(), timeout_s=1.0)
            context.known = []
            for _ in range(seconds):
                await context.clock.advance(1.0)
                helpers = context.leader.registry.list_helpers()
                context.known.append(any(not helper.is_replica for helper in helpers))
            group.cancel_scope.cancel()

    context.run(wait())


@then("the leader never takes it for lost")
def then_never_lost(context):
    assert all(context.known), context.known


@when("{count:d} step requests advice at the same time")
@when("{count:d} steps request advice at the same time")
def when_asked(context, count):
    context.run(context.harness.ask(count, seconds=8.0))


@given("the advisor fails for {seconds:d} seconds")
def given_failing_advisor(context, seconds):
    context.harness.fails_until = context.harness.clock.now + seconds


@when("{count:d} steps request advice one after the other")
def when_asked_in_turn(context, count):
    for _ in range(count):
        context.run(context.harness.ask(1, seconds=8.0))
        assert context.harness.is_answered


@then("the first helper was asked once")
def then_asked_once(context):
    requested_helpers = context.harness.requested_helpers
    assert requested_helpers.count(requested_helpers[0]) == 1, requested_helpers


@then("every step has received advice within {seconds:g} seconds")
def then_advised(context, seconds):
    assert context.harness.is_answered
    assert context.harness.took_s <= seconds, context.harness.took_s


@then("only replicas other than the leader were asked")
def then_replicas_asked(context):
    requested_helpers = context.harness.requested_helpers
    assert requested_helpers and all(
        a.startswith("10.0.") and a != LEADER for a in requested_helpers
    ), requested_helpers


@given("workers a to f with room for {count:d} tasks each")
def given_workers(context, count):
    context.fitting_tasks = dict.fromkeys("abcdef", count)


@given("workers a and b are full")
def given_full_workers(context):
    context.fitting_tasks.update(a=0, b=0)


def list_candidates(context, needed, approved, may_include_full):
    # `may_include_full` is false for a step that already has an approved worker.
    context.listed = choose_advice_candidates(
        context.fitting_tasks,
        approved_before=approved,
        needed=needed,
        may_include_full=may_include_full,
        decision_ms=100,
        per_worker_ms=10,
    )


@when("{needed:d} tasks need advice and a and b were approved before")
def when_needed(context, needed):
    list_candidates(context, needed, {"a", "b"}, True)


@when("{needed:d} tasks need advice beside a worker that is already approved")
def when_needed_beside(context, needed):
    list_candidates(context, needed, set(), False)


@then("the listed workers are {names}")
def then_listed(context, names):
    wanted = names.replace(" and ", ", ").split(", ")
    assert sorted(context.listed) == wanted, context.listed


@then("no worker is listed")
def then_none_listed(context):
    assert context.listed == [], context.listed


RANKED_STEPS = 12  # More than calls at a time.


def request_by_rank(client, job, rank):
    key = (JobId(job), 0, 0)
    if not client.get(key).is_pending:
        client.ask(AdviceRequest(key=key, queue="q", workers=["w"], expected_s=0.6, rank=(rank,)))
    return client.get(key)


@given("{count:d} call has been made")
def given_calls(context, count):
    context.run(make_calls(context.harness, count))


async def make_calls(harness, count):
    async with anyio.create_task_group() as group:
        harness.client.start(group)
        for number in range(count):
            request_by_rank(harness.client, f"before{number}", 0)
        harness.client.dispatch()
        for _ in range(20):
            await harness.clock.advance(0.05)


@when("a step requests advice once while those of higher rank do again and again for {seconds:d} s")
def when_requested_by_rank(context, seconds):
    context.run(request_again(context.harness, seconds))


async def request_again(harness, seconds):
    async with anyio.create_task_group() as group:
        harness.client.start(group)
        harness.low_advice = request_by_rank(harness.client, "low", 9)
        for _ in range(seconds * 20):
            for number in range(RANKED_STEPS):
                request_by_rank(harness.client, f"high{number}", 1)
            harness.client.dispatch()
            await harness.clock.advance(0.05)
        group.cancel_scope.cancel()


@then("the step has received advice")
def then_step_advised(context):
    assert not context.harness.low_advice.is_pending
