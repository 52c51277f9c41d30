"""The order in which waiting steps of jobs get room.

Answers a load above what the fleet can carry: room goes first to work that can still end within
its objective, then to what is late but still of use, and last to what nobody waits for any more.
"""

from dataclasses import dataclass
from enum import IntEnum

LATE_FACTOR = 3.0  # Objectives after which a late result is of no more use to its caller.


class Timeliness(IntEnum):
    """What may still be reached for a job, the most pressing first."""

    IN_TIME = 0
    LATE = 1
    OVERDUE = 2


@dataclass(frozen=True, slots=True)
class JobObjective:
    """When a job was handed in and by when its result is wanted, in seconds of one clock."""

    accepted_at: float
    target_s: float

    def judge(self, *, now: float, remaining_s: float) -> Timeliness:
        """Tell what a job that still needs some seconds of work may reach."""
        ends_after_s = now + remaining_s - self.accepted_at
        if ends_after_s <= self.target_s:
            return Timeliness.IN_TIME
        if ends_after_s <= self.target_s * LATE_FACTOR:
            return Timeliness.LATE
        return Timeliness.OVERDUE


def compute_rank(
    *, objective: JobObjective, priority: int, now: float, remaining_s: float
) -> tuple[int, int, float]:
    """Return the sort key of a waiting step: timeliness, priority, then the earliest objective."""
    timeliness = objective.judge(now=now, remaining_s=remaining_s)
    return (timeliness, priority, objective.accepted_at + objective.target_s)
