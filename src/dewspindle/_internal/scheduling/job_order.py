"""Order in which waiting job steps are placed.

Under overload, capacity goes first to jobs that can still meet their target latency, then to jobs
that are late but whose result is still useful, and last to jobs whose result is no longer awaited.
"""

from dataclasses import dataclass
from enum import IntEnum

# Multiple of the target latency after which the caller has no use for the result.
OVERDUE_FACTOR = 3.0


class Timeliness(IntEnum):
    """Whether a job can still meet its target latency; lower values are placed first."""

    IN_TIME = 0
    LATE = 1
    OVERDUE = 2


@dataclass(frozen=True, slots=True)
class LatencyTarget:
    """Time a job was accepted and its target latency, in seconds of the same clock."""

    accepted_at: float
    target_s: float

    @property
    def ends_at(self) -> float:
        """Return when the target latency ends."""
        return self.accepted_at + self.target_s

    def classify(self, *, now: float, remaining_s: float) -> Timeliness:
        """Return the timeliness of a job with the given remaining run time."""
        latency_s = now + remaining_s - self.accepted_at
        if latency_s <= self.target_s:
            return Timeliness.IN_TIME
        if latency_s <= self.target_s * OVERDUE_FACTOR:
            return Timeliness.LATE
        return Timeliness.OVERDUE


@dataclass(frozen=True, slots=True)
class TeamStanding:
    """How the work of a team stands against that of other teams."""

    # 0 for a job within the team's rate, otherwise 1 and more by the priority of the team.
    beyond_share: int = 0
    is_over_share: bool = False  # The team uses more of the fleet than its weight entitles it to.


NO_TEAM = TeamStanding()


def compute_rank(
    *,
    latency_target: LatencyTarget,
    priority: int,
    now: float,
    remaining_s: float,
    standing: TeamStanding = NO_TEAM,
) -> tuple[int, int, int, bool, float]:
    """Return the sort key of a waiting step.

    Jobs within their team's rate come first. Among equal timeliness and priority, teams below their
    share of the fleet do, then the jobs whose target latency ends first.
    """
    timeliness = latency_target.classify(now=now, remaining_s=remaining_s)
    return (
        standing.beyond_share,
        timeliness,
        priority,
        standing.is_over_share,
        latency_target.ends_at,
    )
