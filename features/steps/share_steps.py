import random
from types import SimpleNamespace

from behave import given, then, when

from dewspindle._internal.cell.view import CellView
from dewspindle._internal.exceptions import NotLeaderError
from dewspindle._internal.routing.directory import BackendDirectory
from dewspindle._internal.routing.fair_division import divide_fairly
from dewspindle._internal.routing.share_allocator import ShareAllocator
from dewspindle._internal.routing.share_client import ShareClient
from dewspindle._internal.routing.shares import SlotShares
from dewspindle._internal.schema import documents_pb2
from dewspindle._internal.settings.loading import load_settings
from features.lib.clock import ManualClock, ManualTimerService

LONG_ELECTION_S = 3.5  # Longer than the admission of an instance, shorter than a share lease.

BACKEND = documents_pb2.BackendDocument(
    id="b", service="s", address="127.0.0.1:1", availability_zone="z", slots=8, state="ready"
)


@then("dividing {total:d} slots over demands of {demands} gives shares of {shares}")
def then_divided(context, total, demands, shares):
    demand_by_instance = {f"i{n}": int(demand) for n, demand in enumerate(demands.split(","))}
    assert list(divide_fairly(total, demand_by_instance).values()) == [
        int(n) for n in shares.split(",")
    ]


@then(
    "splitting {total:d} slots over demands of {demands} gives out all of them in "
    "shares that differ by at most 1"
)
def then_one_each(context, total, demands):
    demand_by_instance = {f"i{n}": int(demand) for n, demand in enumerate(demands.split(","))}
    divisions = [
        divide_fairly(total, demand_by_instance, salt=salt)
        for salt in ("a", "b", "c", "d", "e", "f")
    ]
    for division in divisions:
        assert sum(division.values()) == total
        assert max(division.values()) - min(division.values()) <= 1
    assert len({tuple(division.values()) for division in divisions}) > 1, (
        "every salt favours the same instances"
    )


class FakeLeaderClient:
    """Forwards an instance's share requests to the leader, and loses responses if configured to."""

    def __init__(self, simulation):
        self.simulation = simulation

    async def send(self, method, request, *, timeout_s, is_idempotent):
        simulation = self.simulation
        if simulation.allocator is None:
            raise NotLeaderError("there is no leader")
        response = await simulation.allocator.renew_shares(request)
        if simulation.loses_responses and simulation.rng.random() < 0.3:
            # ShareClient handles all errors alike: the request may have been processed.
            raise NotLeaderError("the response was lost")
        return response


class ShareSimulation:
    """Three instances that renew shares of one backend server with the current leader.

    `max_usable` is the largest sum of the slots that the instances could use at any check.
    """

    def __init__(self, seed):
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.timers = ManualTimerService(self.clock)
        self.allocator = None
        self.loses_responses = False
        self.instances = []
        self.max_usable = 0
        self.slot_users = set()
        for number in range(3):
            self.instances.append(self.make_instance(number))

    def make_settings(self, name):
        return load_settings(
            {
                "instance_id": name,
                "availability_zone": "z",
                "peers": "i0@127.0.0.1:7000",
                "operator_token": "t",
                "call_timeout_ms": "5000",
            },
            environment={},
        )

    def make_instance(self, number):
        settings = self.make_settings(f"i{number}")
        timers = ManualTimerService(self.clock)
        view = CellView(timers=timers, fence_after_s=4)
        view.set_leader(instance="leader", address="127.0.0.1:1")
        directory = BackendDirectory(settings=settings, timers=timers)
        shares = SlotShares(
            settings=settings, directory=directory, timers=timers, rng=random.Random(1)
        )
        client = ShareClient(
            settings=settings,
            view=view,
            directory=directory,
            shares=shares,
            leader=FakeLeaderClient(self),
            timers=timers,
            is_ready=lambda: True,
            version="1",
        )
        return SimpleNamespace(
            settings=settings,
            timers=timers,
            directory=directory,
            shares=shares,
            client=client,
            view=view,
            is_dead=False,
            busy_until=0.0,
        )

    def start_leader(self, *, is_first):
        """Replace the leader; a later one takes the list of instances from the first instance."""
        settings = self.make_settings("leader")
        directory = BackendDirectory(settings=settings, timers=self.timers)
        self.allocator = ShareAllocator(
            replica=SimpleNamespace(may_act_as_leader=True),
            view=CellView(timers=self.timers, fence_after_s=4),
            directory=directory,
            settings=settings,
            timers=self.timers,
        )
        directory.announce(BACKEND)
        if is_first:
            self.allocator.allow_grants()
        else:
            source = self.instances[0].client
            self.allocator.expect_reports(source.instances, listed_at=source.listed_at)
        self.directory = directory

    async def renew(self):
        """Renew the shares of every running instance once, in a random order."""
        order = [i for i in self.instances if not i.is_dead and not i.timers.is_paused]
        self.rng.shuffle(order)
        self.directory.announce(BACKEND)
        for instance in order:
            instance.directory.announce(BACKEND)
            await instance.client.renew()
            self.check()

    def apply_demands(self, demands):
        """Acquire and release slots, as calls that begin and end do."""
        for instance, demand in zip(self.instances, demands, strict=True):
            if instance.is_dead or instance.timers.is_paused:
                continue
            share = instance.shares.get_share("b")
            backend = instance.directory.get("b")
            while share.in_use > demand:
                share.assigned_calls -= 1
            while share.in_use < demand and instance.shares.count_free(backend) > 0:
                share.assigned_calls += 1
                self.slot_users.add(instance.settings.instance_id)
            instance.shares.get_queue("s").waiting_count = max(0, demand - share.in_use)
            self.check()

    def count_usable(self, instance):
        """Return the slots in use by an instance, or its whole grant while the lease lasts."""
        share = instance.shares.get_share("b")
        if self.clock.now >= share.leased_until:
            return share.in_use
        return max(share.granted, share.in_use)

    def check(self):
        total = sum(self.count_usable(instance) for instance in self.instances)
        self.max_usable = max(self.max_usable, total)


@given("a leader that divides {slots:d} slots between {count:d} instances")
def given_leader(context, slots, count):
    context.simulation = ShareSimulation(seed=int(context.config.userdata.get("seed", 5)))
    context.simulation.start_leader(is_first=True)


@when("demand shifts between the instances for {rounds:d} rounds and {event}")
def when_demand(context, rounds, event):
    simulation = context.simulation
    simulation.loses_responses = "responses are lost" in event

    async def run_rounds():
        for number in range(rounds):
            await simulation.clock.advance(0.3)
            if number == 100:
                inject_fault(simulation, event)
            if number == (112 if "long election" in event else 115) and "leader changes" in event:
                simulation.start_leader(is_first=False)
            if number == 130:
                end_fault(simulation)
            if simulation.allocator is not None:
                await simulation.renew()
            simulation.apply_demands([simulation.rng.randrange(10) for _ in simulation.instances])

    context.run(run_rounds())


def inject_fault(simulation, event):
    simulation.slot_users.clear()
    if "dies" in event:
        simulation.instances[2].is_dead = True
        simulation.instances[2].shares.get_share("b").assigned_calls = 0
    if "pauses" in event:
        simulation.instances[2].timers.pause()
    if "leader changes" in event:
        simulation.allocator = None


def end_fault(simulation):
    if simulation.instances[2].timers.is_paused:
        simulation.instances[2].timers.resume()


@then("the sum of the slots that the instances may use never exceeded {slots:d}")
def then_never_exceeded(context, slots):
    assert 0 < context.simulation.max_usable <= slots, context.simulation.max_usable


@then("every instance that is still alive has used slots since the event")
def then_all_used(context):
    alive = {i.settings.instance_id for i in context.simulation.instances if not i.is_dead}
    assert alive <= context.simulation.slot_users, context.simulation.slot_users


@when("the third instance alone gets calls for 2 s after a long election")
def when_third_gets_calls(context):
    simulation = context.simulation

    async def run_rounds(count, demands):
        for _ in range(count):
            await simulation.clock.advance(0.3)
            await simulation.renew()
            simulation.apply_demands(demands)

    async def change_leader():
        await run_rounds(20, [4, 4, 0])
        context.held = [i.shares.get_share("b").granted for i in simulation.instances]
        simulation.allocator = None
        await simulation.clock.advance(LONG_ELECTION_S)
        simulation.start_leader(is_first=False)
        await run_rounds(round((simulation.allocator._admission_s + 2) / 0.3), [0, 0, 8])

    context.run(change_leader())


@then("the third instance has as many slots as the others returned")
def then_third_has_slots(context):
    granted = [i.shares.get_share("b").granted for i in context.simulation.instances]
    assert granted == [0, 0, sum(context.held)], (context.held, granted)
