"""Selects in each planning round which waiting tasks start on which workers."""

import math
from typing import Any

from ..cell.jobs import JobStore
from ..scheduling.inherited_work import SilentWorker
from ..scheduling.job_order import compute_rank
from ..scheduling.job_placement import CandidateQueue, compute_max_free_fraction
from ..scheduling.slowdowns import Slowdowns
from ..schema import jobs_pb2
from ..utils.logs import get_logger
from ..utils.timers import TimerService
from .advice import AdviceClient, StepKey
from .advice_planner import AdvicePlanner
from .fleet import Fleet
from .fleet_worker import FleetWorker
from .gang_placer import GangPlacer
from .inherited_steps import InheritedSteps
from .planner_load import PlannerLoad
from .planning_round import PlannedStart, PlanningRound
from .relocation import StartRelocator
from .round_order import RoundOrderer
from .runs import JobRun, StepRun, UnitRun
from .suspect_placement import choose_for_suspect
from .team_work import TeamWork
from .urgent_steps import UrgentSteps
from .wait_reasons import WaitReason
from .worker_selector import WorkerSelector

# Added to the score of a worker set aside, so that tasks of higher rank use others while they can.
SET_ASIDE_PENALTY = 1.0

logger = get_logger(__name__)


class JobPlanner:
    """Keeps the steps that wait for capacity and places them in rank order."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        advice: AdviceClient,
        store: JobStore,
        timers: TimerService,
        slowdowns: Slowdowns | None = None,
    ) -> None:
        self._fleet = fleet
        self._advice = advice
        self._store = store
        self._timers = timers
        self._waiting: dict[StepKey, StepRun] = {}
        self._urgent = UrgentSteps(store)
        self._orderer = RoundOrderer()
        self._advice_planner = AdvicePlanner(advice)
        self._inherited = InheritedSteps(
            fleet=fleet, advice=advice, advice_planner=self._advice_planner
        )
        self._set_aside_before: frozenset[str] = frozenset()  # For gangs, in the last round.
        self._teams = TeamWork(fleet=fleet, store=store)
        self._last_round = PlanningRound(fleet, now=timers.now(), team_caps=self._teams.caps)
        self._load = PlannerLoad(fleet=fleet, advice=advice, timers=timers)
        self._slowdowns = slowdowns or Slowdowns(timers=timers, is_enabled=False)
        self._workers = WorkerSelector(advice=advice, store=store)
        self._gangs = GangPlacer(
            advice=advice,
            advice_planner=self._advice_planner,
            workers=self._workers,
            start=self._start,
        )
        self._relocator = StartRelocator(
            self._slowdowns,
            fleet=fleet,
            advice=advice,
            list_candidates=self._workers.list_candidates,
            get_penalty=self._get_penalty,
        )

    def add(self, run: JobRun) -> None:
        """Queue the waiting steps of a job."""
        for step in run.steps.values():
            if step.waiting:
                self._waiting[step.key] = step
                self._urgent.add(step, now=self._timers.now())
        self._teams.add(run)

    @property
    def teams(self) -> TeamWork:
        """Return the work of the teams."""
        return self._teams

    @property
    def urgent(self) -> UrgentSteps:
        """Return the urgent steps that wait for a pass."""
        return self._urgent

    @property
    def interference(self) -> Slowdowns:
        """Return what is learnt about slow workers and interfering tasks."""
        return self._slowdowns

    def remove(self, run: JobRun) -> None:
        """Remove the steps of a job that ended."""
        for step in run.steps.values():
            self._waiting.pop(step.key, None)
            self._urgent.remove(step)
            self._advice.forget(step.key)

    def record_advised(self, key: StepKey) -> None:
        """Let a pass use the advice for a step, if it is urgent."""
        step = self._waiting.get(key)
        if step is not None:
            self._urgent.add(step, now=self._timers.now())

    def requeue(self, unit: UnitRun) -> None:
        """Queue a unit for placement again."""
        unit.step.waiting[unit.unit.first_position] = unit
        self._waiting[unit.step.key] = unit.step

    def remove_unit(self, unit: UnitRun) -> None:
        """Remove a unit that needs no placement from the queue."""
        unit.step.waiting.pop(unit.unit.first_position, None)

    def finish_unit(self, unit: UnitRun) -> None:
        """Count a unit as done, at most once."""
        step = unit.step
        self.remove_unit(unit)
        if not unit.is_counted:
            unit.is_counted = True
            step.remaining_units -= 1
        if step.remaining_units == 0:
            self._waiting.pop(step.key, None)
            self._advice.forget(step.key)
            for later in step.run.list_dependents(step):
                self._urgent.add(later, now=self._timers.now())

    def measure_load(self) -> dict[str, Any]:
        """Return figures on waiting work and free capacity, as fractions, for the log."""
        ready = self._list_ready(latest_due_ms=self._timers.wall_ms(), now=self._timers.now())
        figures = self._load.measure(
            ready,
            list_workers=lambda step: self._workers.list_step_workers(
                step, self._last_round, now=self._timers.now()
            ),
        )
        return {
            **figures,
            "reserved_workers": len(self._set_aside_before),
            "steps_looked_at": self.count_looked_at(),
            "capped_teams": len(self._last_round.capped_teams),
        }

    def count_looked_at(self) -> int:
        """Return for how many steps the last round looked for workers."""
        return len(self._last_round.looked_at)

    @property
    def has_waiting(self) -> bool:
        """Return whether any step has units that wait for placement."""
        return any(step.waiting for step in self._waiting.values())

    def plan(
        self,
        *,
        workers_reconciled: bool,
        early_ms: int,
        start_budget: float = math.inf,
        starts_per_s: float = math.inf,
    ) -> list[PlannedStart]:
        """Return the units to start now, in rank order until the budget of tasks is used up.

        Where workers are free, steps that have waited long come before those of higher rank, for a
        part of the budget. `starts_per_s` is the limit behind the budget.
        """
        now = self._timers.now()
        wall_ms = self._timers.wall_ms()
        self._teams.begin_round(self._waiting.values(), workers_reconciled=workers_reconciled)
        round_ = PlanningRound(
            self._fleet,
            now=now,
            team_caps=self._teams.caps,
            start_budget=start_budget,
            starts_per_s=starts_per_s,
        )
        ready = self._list_ready(latest_due_ms=wall_ms + early_ms, now=now)
        # Gangs that workers are set aside for would lose these if a round passed over them.
        gangs = {step.key for step, _ in self._last_round.waiting_gangs}
        order = self._orderer.choose(
            ready,
            always=gangs | self._advice.take_advised(),
            may_go_first=lambda step: self._may_go_first(step, round_),
            now=now,
        )
        silent = [] if workers_reconciled else self._inherited.list_silent()
        self._place_in_turn(order.in_turn, round_, silent=silent)
        self._place_steps(order.ranked, round_, silent=silent)
        self._orderer.record_looks(round_.looked_at)
        self._relocator.relocate(round_)
        self._last_round = round_
        self._set_aside_before = frozenset().union(
            *(chosen.workers for _, chosen in round_.waiting_gangs)
        )
        self._teams.finish_round(self._waiting.values(), round_, latest_due_ms=wall_ms + early_ms)
        return round_.starts

    def plan_urgent(self, *, start_budget: float, is_limited: bool) -> list[PlannedStart]:
        """Return the units to start now of the next urgent steps, and request advice for others.

        Workers and room below caps that the last round kept stay kept. While starts are limited,
        the rounds share them out if any step has stalled.
        """
        now = self._timers.now()
        steps = self._urgent.take(now=now, get_rank=lambda step: self._rank(step, now))
        if is_limited and self._orderer.turns.list_turns():
            return []
        self._teams.begin_pass()
        round_ = PlanningRound(
            self._fleet, now=now, team_caps=self._teams.caps, start_budget=start_budget
        )
        round_.share_set_aside(self._last_round)
        self._place_steps([step for step in steps if step.waiting], round_, silent=[])
        for step in steps:
            if step.waiting and not self._advice.get(step.key).is_pending:
                self._urgent.pass_over(step)
        self._relocator.relocate(round_)
        self._teams.record_starts(round_)
        return round_.starts

    def _may_go_first(self, step: StepRun, round_: PlanningRound) -> bool:
        """Return whether a stalled step may come before those of higher rank."""
        if all(unit.not_before > round_.now for unit in step.waiting.values()):
            return False
        pool = self._store.get_current_queue(step.run.stored).pool
        return step.message.long_running or round_.has_spare_capacity(pool)

    def _place_in_turn(
        self, steps: list[StepRun], round_: PlanningRound, *, silent: list[SilentWorker]
    ) -> None:
        """Place stalled steps, for a part of the budget where it is limited."""
        kept = 0.0 if math.isinf(round_.start_budget) else round_.start_budget / 2
        round_.in_turn = frozenset(step.key for step in steps)
        self._advice.withdraw_stale(round_.in_turn)
        round_.start_budget -= kept
        self._place_steps(steps, round_, silent=silent)
        round_.start_budget += kept
        for step in steps:
            if round_.has_reserved_cap(step):
                self._orderer.turns.hold(step.key)
            elif not (round_.is_deferred(step) or self._advice.get(step.key).is_pending):
                self._orderer.turns.release_idle(step.key, now=round_.now)

    def _has_stalled(self, step: StepRun, round_: PlanningRound) -> bool:
        return self._orderer.turns.has_stalled(step.key, now=round_.now)

    def _place_steps(
        self, steps: list[StepRun], round_: PlanningRound, *, silent: list[SilentWorker]
    ) -> None:
        """Place what can start of some steps, and request advice for the others."""
        for step in steps:
            if not round_.may_look_ahead:
                round_.hold_back(step, WaitReason.START_BUDGET)
                continue
            round_.looked_at.add(step.key)
            queue = self._store.get_current_queue(step.run.stored)
            if (
                silent
                and step.may_run_already
                and self._inherited.may_run_on(
                    silent, step, queue, round_, rank=self._rank(step, round_.now)
                )
            ):
                round_.hold_back(step, WaitReason.MAY_RUN_ALREADY)
                continue
            if step.message.gang:
                self._gangs.place(step, queue, round_, rank=self._rank(step, round_.now))
            else:
                self._place_tasks(step, queue, round_)

    def _list_ready(self, *, latest_due_ms: int, now: float) -> list[StepRun]:
        """Return the steps that may start, in rank order."""
        ranked = []
        for step in list(self._waiting.values()):
            if not step.waiting:
                del self._waiting[step.key]
                continue
            run = step.run
            if run.get_due_ms(step.occurrence) > latest_due_ms or not step.is_ready:
                continue
            ranked.append((self._rank(step, now), step.key, step))
        ranked.sort(key=lambda item: item[:2])
        return [step for _, _, step in ranked]

    def _rank(self, step: StepRun, now: float) -> tuple[int, int, int, bool, float]:
        queue = step.run.stored.message.queue
        return compute_rank(
            latency_target=step.run.latency_target,
            priority=queue.priority,
            now=now,
            remaining_s=step.run.longest_paths_s[step.index],
            standing=self._teams.get_standing(step.run.stored.message),
        )

    def _get_penalty(self, worker: FleetWorker) -> float:
        return SET_ASIDE_PENALTY if worker.id in self._set_aside_before else 0.0

    def _place_tasks(self, step: StepRun, queue: jobs_pb2.Queue, round_: PlanningRound) -> None:
        if all(unit.not_before > round_.now for unit in step.waiting.values()):
            return
        if not round_.check_cap(step, step.amounts):
            round_.keep_cap(step, step.amounts)
            if not round_.is_cap_ready_soon(step):
                return
        rank = self._rank(step, round_.now)
        candidates = self._workers.select_admitted(
            step, queue, self._workers.list_approved(step, queue, round_), now=round_.now
        )
        if not candidates:
            self._advice_planner.ask_for_tasks(step, queue, round_, rank=rank)
        candidates = [w for w in candidates if round_.may_use(w.id, step)]
        limit = step.message.max_per_worker
        placed: dict[str, int] = {}
        if limit:
            placed = {worker.id: step.count_tasks_on(worker.id) for worker in candidates}

        def score(worker: FleetWorker) -> float | None:
            free = round_.get_free(worker)
            if not step.amounts.fits_in(free):
                return None
            if limit and placed[worker.id] >= limit:
                return None
            fraction = compute_max_free_fraction(step.amounts, free, worker.capacity)
            return self._get_penalty(worker) + fraction

        for unit in list(step.waiting.values()) if step.run.stored.has_crashes else ():
            if not unit.is_suspect or unit.not_before > round_.now:
                continue
            if not round_.check_cap(step, step.amounts):
                return
            worker = choose_for_suspect(unit, candidates, round_, score=score)
            if worker is None:
                break
            round_.workers_with_suspect.add(worker.id)
            if limit:
                placed[worker.id] += 1
            self._start(step, unit, {unit.unit.first_position: worker.id}, round_)

        queued = CandidateQueue(candidates, score=score)
        for unit in list(step.waiting.values()):
            if round_.start_budget <= 0:
                round_.defer(step)
                return
            if unit.not_before > round_.now:
                continue
            if not round_.check_cap(step, step.amounts):
                return
            worker = queued.take(avoided=[w for w in candidates if w.id in unit.avoided])
            if worker is None and unit.avoided and self._has_stalled(step, round_):
                worker = queued.take()
            if worker is None:
                self._advice_planner.ask_for_tasks(step, queue, round_, rank=rank)
                return
            if limit:
                placed[worker.id] += 1
            self._start(step, unit, {unit.unit.first_position: worker.id}, round_)

    def _start(
        self, step: StepRun, unit: UnitRun, workers: dict[int, str], round_: PlanningRound
    ) -> None:
        tickets = self._advice.get(step.key).select_tickets(workers.values())
        for worker_id in workers.values():
            worker = self._fleet.get(worker_id)
            assert worker is not None
            round_.allocate(worker, step.amounts, team=step.run.stored.team)
        self.remove_unit(unit)
        self._orderer.turns.record_start(step.key, now=round_.now)
        round_.starts.append(PlannedStart(unit=unit, workers=workers, tickets=tickets))
