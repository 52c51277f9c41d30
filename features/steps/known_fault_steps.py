"""Signs of the faults that KNOWN-RED.txt lists."""

from features.lib.known_faults import shows_fault

SLOTS_SCENARIO = "Calls in flight from three instances together never exceed the slots"


@shows_fault("slots-lost-in-two-elections")
def shows_lost_slots(context, events):
    """Return whether calls were refused for want of slots after the leadership was lost."""
    if context.scenario.name != SLOTS_SCENARIO or "no longer leading" not in events:
        return False
    responses = getattr(context, "responses", {})
    return any("queue-timeout" in str(response.body) for response in responses.values())


def list_long_waits(context):
    """Return the steps that waited too long in the model of a planner."""
    check = getattr(getattr(context, "model", None), "check", None)
    return list(check.long_waits.values()) if check is not None else []


@shows_fault("gang-tickets-not-renewed")
def shows_tickets_not_renewed(context, events):
    """Return whether only gangs waited too long, for tickets that ended and no request lists."""
    waits = list_long_waits(context)
    return bool(waits) and all(
        wait.is_gang and wait.ended_room == wait.room and not wait.pending for wait in waits
    )


@shows_fault("gang-workers-not-asked-about")
def shows_workers_not_asked_about(context, events):
    """Return whether only gangs waited too long, with room on workers that no request lists."""
    waits = list_long_waits(context)
    return bool(waits) and all(
        wait.is_gang and wait.undecided_room and not wait.pending for wait in waits
    )


@shows_fault("helpers-lost-without-requests")
def shows_helpers_lost(context, events):
    """Return whether steps waited for advice while idle entry instances were no helpers."""
    waits = list_long_waits(context)
    if not waits or not all(wait.pending and wait.undecided_room for wait in waits):
        return False
    known = {helper.address for helper in context.model.registry.list_helpers()}
    running = [entry for entry in context.model.entry_instances.values() if not entry.is_lost]
    return any(entry.address not in known for entry in running)


@shows_fault("advice-only-for-higher-ranks")
def shows_advice_for_higher_ranks(context, events):
    """Return whether steps waited for their first advice without any entry instance."""
    waits = list_long_waits(context)
    return bool(waits) and all(
        wait.pending and not wait.approved and not context.model.entry_instances for wait in waits
    )


@shows_fault("advice-only-on-reserved-workers")
def shows_advice_on_reserved_workers(context, events):
    """Return whether single tasks waited with tickets, but none where they may start."""
    waits = list_long_waits(context)
    return bool(waits) and all(
        not wait.is_gang and wait.valid_tickets and wait.undecided_room == wait.room
        for wait in waits
    )


@shows_fault("lost-helpers-asked-in-turn")
def shows_lost_helpers_asked(context, events):
    """Return whether steps waited for their first advice after all entry instances were lost."""
    waits = list_long_waits(context)
    return bool(waits) and all(
        wait.pending
        and not wait.approved
        and context.model.entry_instances
        and all(entry.is_lost for entry in context.model.entry_instances.values())
        for wait in waits
    )
