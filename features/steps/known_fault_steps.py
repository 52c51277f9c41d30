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


@shows_fault("claims-that-cannot-start")
def shows_claims(context, events):
    """Return whether single tasks waited without any request while helpers were free."""
    model = getattr(context, "model", None)
    if model is None or model.is_gang_advisor_lost:
        return False
    waits = [wait for wait in model.long_waits.values() if not wait.is_gang]
    return bool(waits) and all(
        not wait.approved and not wait.pending and wait.undecided_room for wait in waits
    )


@shows_fault("turn-of-oldest-request-passed-over")
def shows_turn_passed_over(context, events):
    """Return whether the longest waiting request was not served."""
    low_advice = getattr(getattr(context, "harness", None), "low_advice", None)
    return low_advice is not None and low_advice.is_pending


@shows_fault("workers-kept-without-advice")
def shows_workers_kept(context, events):
    """Return whether all workers were set aside for a gang whose advisor does not answer."""
    model = getattr(context, "model", None)
    return (
        model is not None
        and model.is_gang_advisor_lost
        and model.planner.measure_load()["reserved_workers"] == len(list(model.fleet))
    )
