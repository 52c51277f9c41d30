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

BACKEND = documents_pb2.BackendDocument(
    id="b", service="s", address="127.0.0.1:1", availability_zone="z", slots=8, state="ready"
)


@then("dividing {total:d} slots over {wants} gives {given}")
def then_divided(context, total, wants, given):
    asked = {f"i{n}": int(want) for n, want in enumerate(wants.split(","))}
    assert list(divide_fairly(total, asked).values()) == [int(n) for n in given.split(",")]


@then("splitting {total:d} slots over {wants} gives all of them, nobody 2 more than another")
def then_one_each(context, total, wants):
    asked = {f"i{n}": int(want) for n, want in enumerate(wants.split(","))}
    given = [divide_fairly(total, asked, salt=salt) for salt in ("a", "b", "c", "d", "e", "f")]
    for division in given:
        assert sum(division.values()) == total
        assert max(division.values()) - min(division.values()) <= 1
    assert len({tuple(division.values()) for division in given}) > 1, "always the same are last"


class BoardLink:
    """Carries an instance's renewals to whoever leads, and loses answers when told to."""

    def __init__(self, world):
        self.world = world

    async def send(self, method, request, *, timeout_s, is_idempotent):
        world = self.world
        if world.board is None:
            raise NotLeaderError("nobody leads")
        answer = await world.board.share(request)
        if world.loses_answers and world.random.random() < 0.3:
            raise NotLeaderError("lost")
        return answer


class World:
    def __init__(self, seed):
        self.clock = ManualClock()
        self.random = random.Random(seed)
        self.timers = ManualTimerService(self.clock)
        self.board = None
        self.loses_answers = False
        self.instances = []
        self.most = 0
        self.used = set()
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
            settings=settings, directory=directory, timers=timers, seed=random.Random(1)
        )
        client = ShareClient(
            settings=settings,
            view=view,
            directory=directory,
            shares=shares,
            leader=BoardLink(self),
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

    def lead(self, *, is_first):
        settings = self.make_settings("leader")
        directory = BackendDirectory(settings=settings, timers=self.timers)
        self.board = ShareAllocator(
            replica=SimpleNamespace(holds_lease=True),
            view=CellView(timers=self.timers, fence_after_s=4),
            directory=directory,
            settings=settings,
            timers=self.timers,
        )
        directory.announce(BACKEND)
        if is_first:
            self.board.allow_grants()
        else:
            source = self.instances[0].client
            self.board.expect_reports(source.instances, listed_at=source.listed_at)
        self.directory = directory

    async def renew(self):
        """Renew every living instance once, in a random order."""
        order = [i for i in self.instances if not i.is_dead and not i.timers.is_paused]
        self.random.shuffle(order)
        self.directory.announce(BACKEND)
        for instance in order:
            instance.directory.announce(BACKEND)
            await instance.client.renew()
            self.check()

    def use(self, demands):
        """Take and give back slots, as calls that begin and end."""
        for instance, demand in zip(self.instances, demands, strict=True):
            if instance.is_dead or instance.timers.is_paused:
                continue
            share = instance.shares.get_share("b")
            backend = instance.directory.get("b")
            while share.in_use > demand:
                share.open_calls -= 1
            while share.in_use < demand and instance.shares.count_free(backend) > 0:
                share.open_calls += 1
                self.used.add(instance.settings.instance_id)
            instance.shares.get_queue("s").length = max(0, demand - share.in_use)
            self.check()

    def count_usable(self, instance):
        share = instance.shares.get_share("b")
        if self.clock.now >= share.until:
            return share.in_use
        return max(share.granted, share.in_use)

    def check(self):
        total = sum(self.count_usable(instance) for instance in self.instances)
        self.most = max(self.most, total)


@given("a leader that divides {slots:d} slots between {count:d} instances")
def given_board(context, slots, count):
    context.world = World(seed=int(context.config.userdata.get("seed", 5)))
    context.world.lead(is_first=True)


@when("demand moves between the instances for {rounds:d} rounds and {event}")
def when_demand(context, rounds, event):
    world = context.world
    world.loses_answers = "answers are lost" in event

    async def go():
        for number in range(rounds):
            await world.clock.advance(0.3)
            if number == 100:
                strike(world, event)
            if number == 115 and "leader changes" in event:
                world.lead(is_first=False)
            if number == 130:
                end(world)
            if world.board is not None:
                await world.renew()
            world.use([world.random.randrange(10) for _ in world.instances])

    context.run(go())


def strike(world, event):
    world.used.clear()
    if "dies" in event:
        world.instances[2].is_dead = True
        world.instances[2].shares.get_share("b").open_calls = 0
    if "pauses" in event:
        world.instances[2].timers.pause()
    if "leader changes" in event:
        world.board = None


def end(world):
    if world.instances[2].timers.is_paused:
        world.instances[2].timers.resume()


@then("the sum of what the instances may use never passed {slots:d}")
def then_never_passed(context, slots):
    assert 0 < context.world.most <= slots, context.world.most


@then("slots were used by every instance that wanted them")
def then_used(context):
    alive = {i.settings.instance_id for i in context.world.instances if not i.is_dead}
    assert alive <= context.world.used, context.world.used
