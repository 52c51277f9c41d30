"""The work of teams as the planner sees it: caps, shares, and the capacity left for others."""

from collections import defaultdict
from collections.abc import Iterable, Mapping

from ..cell.jobs import JobStore, StoredJob
from ..models.resources import NO_RESOURCES, Amounts
from ..scheduling.admission import AdmissionControl
from ..scheduling.backlog import StartRate, WaitingWork
from ..scheduling.job_order import NO_TEAM, TeamStanding
from ..scheduling.team_caps import NO_CAPS, TeamCaps, describe_cap
from ..schema import jobs_pb2
from ..utils.logs import get_logger
from .fleet import Fleet
from .planning_round import PlanningRound
from .runs import JobRun, StepRun, UnitRun

# Between two looks at all workers and waiting steps, which take as long as a short planning round.
BACKLOG_INTERVAL_S = 0.1
# Between two log lines on one team: rounds are up to 100 a second, and a team may wait for long.
CAP_LOG_INTERVAL_S = 1.0

logger = get_logger(__name__)


class TeamWork:
    """Makes the caps of each planning round, and tells admission what the round left over."""

    def __init__(self, *, fleet: Fleet, store: JobStore) -> None:
        self._fleet = fleet
        self._store = store
        self._admission = AdmissionControl()
        self._start_rate = StartRate()
        self._backlog_at = float("-inf")
        self._capacity = NO_RESOURCES  # Of the fleet, when the backlog was computed.
        self._inherited_gangs: list[UnitRun] = []
        # Of jobs that ended without success, whose tasks may still run on silent workers.
        self._ended_unaccounted: dict[str, Amounts] = defaultdict(Amounts)
        self._caps = NO_CAPS
        self._unaccounted: dict[str, Amounts] = {}  # As of the last round.
        self._silent_capacity = NO_RESOURCES
        self._capped_teams: frozenset[str] = frozenset()
        self._cap_logged_at: dict[str, float] = {}

    @property
    def admission(self) -> AdmissionControl:
        """Return the control of submissions."""
        return self._admission

    @property
    def caps(self) -> TeamCaps:
        """Return the caps of the current round."""
        return self._caps

    @property
    def capped_teams(self) -> frozenset[str]:
        """Return the teams whose steps waited for their cap in the last round."""
        return self._capped_teams

    def add(self, run: JobRun) -> None:
        """Follow the gangs of a job that an earlier leader may have started."""
        if not run.stored.team:
            return
        for step in run.steps.values():
            if step.may_run_already and step.message.gang:
                self._inherited_gangs.extend(step.units.values())

    def add_ended(self, stored: StoredJob) -> None:
        """Charge a team for tasks that may still run although their job has ended."""
        if stored.team:
            for unit in stored.layout.list_units():
                if not stored.is_done(unit.first_position):
                    amounts = stored.get_amounts(unit.first_position) * unit.size
                    self._ended_unaccounted[stored.team] += amounts

    def begin_round(self, waiting: Iterable[StepRun], *, workers_reconciled: bool) -> None:
        """Compute what each team may start in a planning round."""
        if not self._store.teams:
            self._caps = NO_CAPS
            return
        self._silent_capacity = NO_RESOURCES
        self._unaccounted = {}
        if not workers_reconciled:
            for worker in self._fleet:
                if worker.may_hold_inherited_work:
                    self._silent_capacity += worker.capacity
            self._unaccounted = self._sum_unaccounted(waiting)
        self._caps = self._make_caps()

    def begin_pass(self) -> None:
        """Compute what each team may start between two rounds; what is reserved stays so."""
        if self._store.teams:
            reservations = self._caps.reservations
            self._caps = self._make_caps()
            self._caps.restore_reservations(reservations)

    def _make_caps(self) -> TeamCaps:
        return TeamCaps(
            self._store.teams,
            used=self._fleet.team_usage.used,
            unaccounted=self._unaccounted,
            silent_capacity=self._silent_capacity,
            capacity=self._capacity,
        )

    def _sum_unaccounted(self, waiting: Iterable[StepRun]) -> dict[str, Amounts]:
        """Return what tasks may take that an earlier leader started and no worker has listed."""
        totals = self._ended_unaccounted.copy()
        for step in waiting:
            team = step.run.stored.team
            if team and step.may_run_already:
                totals[team] += step.amounts * step.count_waiting_tasks()
        for unit in self._inherited_gangs:
            missing = unit.unit.size - len(unit.placements)
            if unit.placements and missing and not unit.is_done:
                totals[unit.step.run.stored.team] += unit.step.amounts * missing
        return totals

    def finish_round(
        self, waiting: Iterable[StepRun], round_: PlanningRound, *, latest_due_ms: int
    ) -> None:
        """Log which teams wait for their cap, and tell admission which capacity is left."""
        self._capped_teams = frozenset(round_.capped_teams)
        if not self._store.teams:
            return
        self.record_starts(round_)
        if round_.now - self._backlog_at < BACKLOG_INTERVAL_S:
            return
        self._backlog_at = round_.now
        self._capacity = self._fleet.compute_capacity()
        work = WaitingWork()
        capped: dict[str, Amounts] = defaultdict(Amounts)
        for step in waiting:
            if not step.waiting or step.run.get_due_ms(step.occurrence) > latest_due_ms:
                continue
            count = step.count_waiting_tasks()
            team = step.run.stored.team
            # What waits for the cap of its own team delays no other work.
            if team in self._capped_teams:
                capped[team] += step.amounts * count if step.is_ready else NO_RESOURCES
                continue
            work.add(
                team=team,
                priority=step.run.stored.message.queue.priority,
                amounts=step.amounts,
                count=count,
                estimate_s=step.estimate_s,
                is_ready=step.is_ready,
            )
        backlog = work.make_backlog(
            free=round_.sum_free(),
            capacity=self._capacity,
            rooms={team: self._caps.get_room(team) for team in self._store.teams},
            starts_per_s=self._start_rate.compute(now=round_.now),
        )
        self._admission.update_backlog(backlog)
        self._log_capped(capped, now=round_.now)

    def record_starts(self, round_: PlanningRound) -> None:
        """Count the starts of a round or pass for the prediction of waits."""
        self._start_rate.record(sum(len(start.workers) for start in round_.starts), now=round_.now)

    def _log_capped(self, demand: Mapping[str, Amounts], *, now: float) -> None:
        """Log what the teams at their cap use and wait for, at intervals for each team."""
        recent = {t: at for t, at in self._cap_logged_at.items() if now - at < CAP_LOG_INTERVAL_S}
        due = sorted(self._capped_teams - recent.keys())
        self._cap_logged_at = recent | dict.fromkeys(due, now)
        for team in due:
            logger.info(
                "steps wait for their team's cap",
                team=team,
                cap=describe_cap(self._store.teams.get(team)),
                used=str(self._fleet.team_usage.get(team) + self._caps.get_planned(team)),
                unaccounted=str(self._caps.get_unaccounted(team)),
                waiting=str(demand.get(team, NO_RESOURCES)),
            )

    def get_standing(self, job: jobs_pb2.Job) -> TeamStanding:
        """Return how a job stands against the work of other teams."""
        team = self._store.teams.get(job.team)
        if team is None:
            return NO_TEAM
        beyond = 1 + team.priority if job.is_beyond_share else 0
        return TeamStanding(beyond, is_over_share=self._caps.is_over_share(job.team))
