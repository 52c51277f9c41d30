import anyio
import anyio.lowlevel
from behave import given, then, when

from dewspindle._internal.exceptions import OutcomeUnknownError
from dewspindle._internal.routing.attempts import CallAttempts
from dewspindle._internal.routing.claims import Claims
from dewspindle._internal.routing.directory import EJECT_AFTER_FAILURES, BackendDirectory
from dewspindle._internal.routing.forwarding import Attempt
from dewspindle._internal.routing.shares import CallRefusedError
from dewspindle._internal.schema import cell_pb2, documents_pb2
from dewspindle._internal.settings.loading import load_settings
from features.lib.clock import ManualClock


def make_settings():
    return load_settings(
        {
            "instance_id": "a",
            "availability_zone": "z",
            "operator_token": "t",
            "seeds": "127.0.0.1:1",
        },
        environment={},
    )


class SilentLeader:
    """Records proposed commands; answers them only when told to."""

    def __init__(self):
        self.commands = []
        self.released = anyio.Event()

    async def propose(self, command, *, timeout_s, is_idempotent):
        self.commands.append(command)
        await self.released.wait()
        if command.HasField("claim_calls"):
            raise OutcomeUnknownError("the leader was lost")
        return cell_pb2.Result(status=200)


@given("claims whose leader does not answer")
def given_claims(context):
    context.clock = ManualClock()
    context.leader = SilentLeader()
    context.claims = Claims(
        settings=make_settings(),
        view=None,
        leader=context.leader,
        timers=context.clock.make_timers(),
    )


@when("a second claim times out while the first one is in flight")
def when_times_out(context):
    async def claim(key, deadline_s):
        try:
            await context.claims.claim(key, b"", deadline=context.clock.now + deadline_s)
        except CallRefusedError as error:
            context.refused.append((key, error.refusal))

    async def run():
        context.refused = []
        async with anyio.create_task_group() as group:
            group.start_soon(context.claims.run)
            group.start_soon(claim, "first", 10)
            await context.clock.advance(0.5)
            group.start_soon(claim, "second", 1)
            await context.clock.advance(2)
            context.leader.released.set()
            await context.clock.advance(2)
            group.cancel_scope.cancel()

    context.run(run())
    assert [key for key, _ in context.refused] == ["second", "first"], context.refused


def list_keys(context, field):
    bodies = [getattr(c, field) for c in context.leader.commands if c.HasField(field)]
    return [claim.key for body in bodies for claim in body.claims]


@then("only the first claim was sent")
def then_only_first(context):
    assert list_keys(context, "claim_calls") == ["first"]


@then("the first claim is withdrawn")
def then_first_withdrawn(context):
    assert list_keys(context, "finish_calls") == ["first"]


@given("a backend server that is ejected and whose ejection has passed")
def given_ejected(context):
    context.clock = ManualClock()
    timers = context.clock.make_timers()
    context.directory = BackendDirectory(settings=make_settings(), timers=timers)
    for number in range(3):
        context.directory.announce(
            documents_pb2.BackendDocument(
                id=f"b{number}", service="s", address=f"127.0.0.1:{1000 + number}", state="ready"
            )
        )
    context.backend = context.directory.get("b0")
    for _ in range(EJECT_AFTER_FAILURES):
        context.directory.note_failure(context.backend)
    assert context.directory.is_ejected(context.backend)
    context.run(context.clock.advance(2))
    assert not context.directory.is_ejected(context.backend)


@when("the probe ends because its caller disconnects")
def when_probe_ends(context):
    class Shares:
        def release_later(self, backend):
            pass

    attempts = CallAttempts(
        settings=make_settings(),
        directory=context.directory,
        shares=Shares(),
        limits=None,
        forwarder=None,
        timers=context.clock.make_timers(),
        metrics=None,
    )

    async def hang(*_):
        await anyio.sleep_forever()

    attempts._exchange = hang
    context.backend.has_probe_in_progress = True

    async def run():
        async with anyio.create_task_group() as group:
            attempt = Attempt(backend=context.backend, request=None)
            group.start_soon(attempts._try_backend, None, attempt, None)
            await anyio.lowlevel.checkpoint()
            group.cancel_scope.cancel()

    context.run(run())


@then("the backend server gets another probe")
def then_probed_again(context):
    assert not context.directory.is_ejected(context.backend)
