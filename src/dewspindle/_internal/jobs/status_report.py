"""The leader's description of the teams of a job cell, for operators."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from ..cell.jobs import JobStore
from ..models.resources import Amounts
from ..scheduling.team_caps import compute_dominant_share, compute_entitled_shares, describe_cap
from ..utils.timers import TimerService
from .fleet import Fleet
from .open_jobs import OpenJobs
from .placements import PlacementPhase
from .team_counters import TeamCounters
from .team_work import TeamWork

# Shortest time between two reports. Each one walks all open jobs, which takes the leader 40 ms at
# 3,000 jobs; reading them more often must not take time from its other work.
REPORT_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class TeamStatus:
    """One team: its limits, its work, and what was decided on its submissions."""

    team: str
    configured: bool  # False after its removal from the queue table, while its jobs go on.
    weight: float
    cap: Mapping[str, int]  # Only the amounts that it limits.
    entitled_share: float  # Of the fleet, by its weight.
    dominant_share: float  # Largest fraction of a resource of the fleet that it uses.
    used: Amounts  # All that may run, also uncertain tasks.
    unaccounted: Amounts  # Charged for tasks of an earlier leader that no worker has listed.
    running: int  # Tasks whose start is confirmed.
    uncertain: int  # Tasks whose start order is unanswered, or that are being stopped.
    waiting_tasks: int  # Of steps that are ready and due.
    waiting_jobs: int  # Open jobs of which no task was started.
    waits_for_cap: bool
    accepted_within: int  # Jobs within its rate.
    accepted_beyond: int
    refused: Mapping[str, int]  # By reason.
    jobs_per_s: float  # Accepted over the last seconds; it is entitled to `weight`.


@dataclass(frozen=True, slots=True)
class TeamReport:
    """All teams, with the capacity that they share."""

    counted_s: float  # How long this leader has counted; an earlier leader's counts are lost.
    capacity: Amounts
    teams: list[TeamStatus]


@dataclass(frozen=True, slots=True)
class _Work:
    """Numbers of tasks and jobs by team."""

    running: Counter[str]
    uncertain: Counter[str]
    waiting_tasks: Counter[str]
    waiting_jobs: Counter[str]

    def list_teams(self) -> set[str]:
        """Return all teams that have work."""
        counters = (self.running, self.uncertain, self.waiting_tasks, self.waiting_jobs)
        return {team for counter in counters for team in counter if team}


class TeamReporter:
    """Describes the teams from the state of one term."""

    def __init__(
        self,
        *,
        store: JobStore,
        fleet: Fleet,
        jobs: OpenJobs,
        teams: TeamWork,
        counters: TeamCounters,
        timers: TimerService,
    ) -> None:
        self._store = store
        self._fleet = fleet
        self._jobs = jobs
        self._teams = teams
        self._counters = counters
        self._timers = timers
        self._report: TeamReport | None = None
        self._reported_at = float("-inf")

    def describe(self) -> TeamReport:
        """Return a report of the last second on the teams."""
        now = self._timers.now()
        if self._report is None or now - self._reported_at >= REPORT_INTERVAL_S:
            self._report = self._make_report()
            self._reported_at = now
        return self._report

    def _make_report(self) -> TeamReport:
        """Return the status of the configured teams and of those that still have work."""
        work = self._count_work()
        capacity = self._fleet.compute_capacity()
        shares = compute_entitled_shares(self._store.teams)
        names = sorted(self._store.teams.keys() | work.list_teams())
        return TeamReport(
            counted_s=round(self._counters.age_s, 1),
            capacity=capacity,
            teams=[
                self._describe_team(name, work, capacity, entitled_share=shares.get(name, 0.0))
                for name in names
            ],
        )

    def _describe_team(
        self, name: str, work: _Work, capacity: Amounts, *, entitled_share: float
    ) -> TeamStatus:
        team = self._store.teams.get(name)
        used = self._fleet.team_usage.get(name)
        counts = self._counters.get(name)
        return TeamStatus(
            team=name,
            configured=team is not None,
            weight=0.0 if team is None else team.weight,
            cap=describe_cap(team),
            entitled_share=round(entitled_share, 4),
            dominant_share=round(compute_dominant_share(used, capacity), 4),
            used=used,
            unaccounted=self._teams.caps.get_unaccounted(name),
            running=work.running[name],
            uncertain=work.uncertain[name],
            waiting_tasks=work.waiting_tasks[name],
            waiting_jobs=work.waiting_jobs[name],
            waits_for_cap=name in self._teams.capped_teams,
            accepted_within=counts.accepted_within,
            accepted_beyond=counts.accepted_beyond,
            refused={refusal.value: number for refusal, number in counts.refused.items()},
            jobs_per_s=counts.accepted_rate.measure(self._timers.now()),
        )

    def _count_work(self) -> _Work:
        work = _Work(Counter(), Counter(), Counter(), Counter())
        for worker in self._fleet:
            for placement in worker.placements.values():
                is_running = placement.phase is PlacementPhase.RUNNING
                (work.running if is_running else work.uncertain)[placement.team] += 1
        wall_ms = self._timers.wall_ms()
        for run in self._jobs:
            team = run.stored.team
            work.waiting_jobs[team] += not run.has_started
            for step in run.steps.values():
                if step.waiting and step.is_ready and run.get_due_ms(step.occurrence) <= wall_ms:
                    work.waiting_tasks[team] += sum(u.unit.size for u in step.waiting.values())
        return work
