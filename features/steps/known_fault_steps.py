"""Signs of the faults that KNOWN-RED.txt lists."""

from dewspindle._internal.exceptions import SyncFailedError
from features.lib.known_faults import shows_fault

SLOTS_SCENARIO = "Calls in flight from three instances together never exceed the slots"


@shows_fault("slots-lost-in-two-elections")
def shows_lost_slots(context, events):
    """Return whether calls were refused for want of slots after the leadership was lost."""
    if context.scenario.name != SLOTS_SCENARIO or "no longer leading" not in events:
        return False
    responses = getattr(context, "responses", {})
    return any("queue-timeout" in str(response.body) for response in responses.values())


def list_errors(error):
    """Return the errors in a possibly nested group."""
    if isinstance(error, BaseExceptionGroup):
        return [leaf for part in error.exceptions for leaf in list_errors(part)]
    return [error]


def has_ended_by(context, *kinds):
    """Return whether a replica of the scenario's cell has ended by an error of some kind."""
    nodes = context.cell.nodes if hasattr(context, "cell") else []
    return any(isinstance(e, kinds) for node in nodes for e in list_errors(node.failure))


def is_about_full_disks(context):
    return "full" in context.scenario.name or "for want of space" in context.scenario.name


@shows_fault("full-sync-ends-replica")
def shows_full_sync(context, events):
    """Return whether a replica ended by a sync or a truncation on a full disk."""
    return is_about_full_disks(context) and has_ended_by(context, OSError, SyncFailedError)
