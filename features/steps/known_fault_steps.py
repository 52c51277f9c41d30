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
    model = getattr(context, "model", None)
    return list(getattr(model, "long_waits", {}).values())


@shows_fault("advice-only-for-higher-ranks")
def shows_advice_for_higher_ranks(context, events):
    """Return whether steps waited for their first advice without any entry instance."""
    waits = list_long_waits(context)
    return bool(waits) and all(
        wait.pending and not wait.approved and not context.model.entry_instances for wait in waits
    )
