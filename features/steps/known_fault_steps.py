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


@shows_fault("lost-helpers-asked-in-turn")
def shows_lost_helpers_asked(context, events):
    """Return whether steps waited for their first advice after all entry instances were lost."""
    model = getattr(context, "model", None)
    waits = list(getattr(model, "long_waits", {}).values())
    return bool(waits) and all(
        wait.pending
        and not wait.approved
        and model.entry_instances
        and all(entry.is_lost for entry in model.entry_instances.values())
        for wait in waits
    )
