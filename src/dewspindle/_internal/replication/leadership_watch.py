"""Starts work with each term that this replica leads, and tells when the term ends."""

from collections.abc import Awaitable, Callable

from ..utils.timers import wait_for_event
from .leadership import Leadership
from .replica import Replica


async def run_while_leading(
    replica: Replica, lead: Callable[[Leadership], Awaitable[None]]
) -> None:
    """Call `lead` each time that this replica holds the leader lease, until cancelled."""
    context = replica.context
    while True:
        leadership = replica.leadership
        if leadership is not None and leadership.holds_lease:
            await lead(leadership)
            continue
        await wait_for_event(
            context.timers, event=context.signal.event, seconds=context.heartbeat_interval_s
        )


async def wait_for_leadership_end(replica: Replica, leadership: Leadership) -> None:
    """Return once a term is no longer led."""
    while replica.leadership is leadership and leadership.is_leading:
        await replica.context.signal.event.wait()
