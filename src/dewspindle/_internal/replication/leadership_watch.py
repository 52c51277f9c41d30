"""Running the leader's services for as long as this replica is the leader."""

from collections.abc import Awaitable, Callable

from ..utils.timers import wait_for_event
from .leadership import Leadership
from .replica import Replica


async def run_while_leading(
    replica: Replica, lead: Callable[[Leadership], Awaitable[None]]
) -> None:
    """Call `lead` whenever this replica may act as the leader, until cancelled.

    `lead` starts under the leader lease, but is not cancelled when the lease expires or leadership
    ends. It returns after `wait_for_leadership_end`, and until then checks `may_act_as_leader`
    before each action that needs the lease.
    """
    context = replica.context
    while True:
        leadership = replica.leadership
        if leadership is not None and leadership.may_act_as_leader:
            await lead(leadership)
            continue
        await wait_for_event(
            context.timers, event=context.state_changed.event, seconds=context.heartbeat_interval_s
        )


async def wait_for_leadership_end(replica: Replica, leadership: Leadership) -> None:
    """Wait until this replica has stepped down, which may be after the leader lease expired."""
    while replica.leadership is leadership and leadership.is_leading:
        await replica.context.state_changed.event.wait()
