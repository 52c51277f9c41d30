"""Why a ready step waits, for the log."""

from enum import Enum


class WaitReason(Enum):
    """What the first waiting unit of a step lacks."""

    RETRY_DELAY = "retry-delay"
    TEAM_CAP = "team-cap"
    START_BUDGET = "start-budget"  # The last round used it up before it came to the step.
    MAY_RUN_ALREADY = "may-run-already"  # On a worker that has not listed its tasks yet.
    NOT_ASKED = "not-asked"  # No request for advice was made yet.
    NOT_APPROVED = "no-approved-worker"
    NO_CAPACITY = "no-capacity"  # On the approved workers.
    SET_ASIDE = "set-aside-for-others"  # Capacity is free only on such workers.
    NO_TICKET = "no-valid-ticket"  # For enough of the workers with free capacity.
    NOT_PLACED = "not-placed"  # Nothing of these, as after a change since the last round.
