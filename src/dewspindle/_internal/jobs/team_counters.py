"""Counts of the jobs that each team submitted during the term, for operators."""

from collections import Counter, deque
from dataclasses import dataclass, field

from ..cell.jobs import JobStore
from ..utils.metrics import Metrics
from ..utils.refusals import Refusal
from ..utils.timers import TimerService

# Seconds of a rate. The platform judges quotas over the same time (`quota_window_s`).
RATE_WINDOW_S = 5


class RecentRate:
    """Events a second over the last whole seconds, in constant memory."""

    def __init__(self) -> None:
        self._counts: deque[tuple[int, int]] = deque(maxlen=RATE_WINDOW_S + 1)  # By second.

    def add(self, now: float) -> None:
        """Count an event."""
        second = int(now)
        count = 0
        if self._counts and self._counts[-1][0] == second:
            count = self._counts.pop()[1]
        self._counts.append((second, count + 1))

    def measure(self, now: float) -> float:
        """Return the events a second, without the second that has not ended."""
        end = int(now)
        counted = sum(n for second, n in self._counts if end - RATE_WINDOW_S <= second < end)
        return counted / RATE_WINDOW_S


@dataclass(slots=True)
class TeamCounts:
    """Submissions of one team during the term."""

    accepted_within: int = 0  # Within its rate.
    accepted_beyond: int = 0
    refused: Counter[Refusal] = field(default_factory=Counter)
    accepted_rate: RecentRate = field(default_factory=RecentRate)


class TeamCounters:
    """Counts by team, which are dropped when the team is removed from the queue table."""

    def __init__(self, *, store: JobStore, timers: TimerService, metrics: Metrics) -> None:
        self._store = store
        self._timers = timers
        self._metrics = metrics
        self._counts: dict[str, TeamCounts] = {}
        self._since = timers.now()

    @property
    def age_s(self) -> float:
        """Return for how long the counters have counted."""
        return self._timers.now() - self._since

    def __len__(self) -> int:
        return len(self._counts)

    def get(self, team: str) -> TeamCounts:
        """Return the counts of a team."""
        return self._counts.get(team) or TeamCounts()

    def count_accepted(self, team: str, *, is_beyond_share: bool) -> None:
        """Count an accepted job; one without a team is not counted."""
        counts = self._find(team)
        if counts is None:
            return
        if is_beyond_share:
            counts.accepted_beyond += 1
        else:
            counts.accepted_within += 1
        counts.accepted_rate.add(self._timers.now())
        self._metrics.count_team_job(team, is_beyond_share=is_beyond_share)

    def count_refused(self, team: str, refusal: Refusal) -> None:
        """Count a refused request; one without a team is not counted."""
        counts = self._find(team)
        if counts is not None:
            counts.refused[refusal] += 1
            self._metrics.count_team_refusal(team, refusal)

    def _find(self, team: str) -> TeamCounts | None:
        """Return the counts of a configured team, or None."""
        if team not in self._store.teams:
            return None
        counts = self._counts.get(team)
        if counts is None:
            # Bounds the memory: whenever a team is added, those that were removed are dropped.
            self._counts = {n: c for n, c in self._counts.items() if n in self._store.teams}
            counts = self._counts[team] = TeamCounts()
        return counts
