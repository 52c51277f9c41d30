"""Selects in each planning round which waiting tasks start on which workers."""

from collections import Counter
from dataclasses import dataclass
from typing import Any

from ..cell.jobs import JobStore
from ..models.resources import Amounts
from ..scheduling.job_advice import choose_advice_candidates
from ..scheduling.job_order import compute_rank
from ..scheduling.job_placement import (
    choose_worker,
    compute_max_free_fraction,
    count_fitting,
    pack_gang,
)
from ..schema import jobs_pb2
from ..utils.logs import get_logger
from ..utils.timers import TimerService
from .advice import AdviceClient, AdviceRequest, StepAdvice, StepKey, estimate_call_s
from .fleet import Fleet, FleetWorker
from .runs import JobRun, StepRun, UnitRun

# Steps that may request advice in one round. Steps of lower rank wait for free capacity anyway,
# so their tickets are not kept valid.
MAX_ADVICE_REQUESTS = 12

logger = get_logger(__name__)


@dataclass(frozen=True, slots=True)
class PlannedStart:
    """A unit to start now, with its workers by task position and its tickets by worker."""

    unit: UnitRun
    workers: dict[int, str]
    tickets: dict[str, str]


class PlanningRound:
    """The capacity and workers that one planning round has allocated so far."""

    def __init__(self, fleet: Fleet, *, now: float) -> None:
        self.now = now
        self.starts: list[PlannedStart] = []
        self.advice_request_count = 0
        self.set_aside: dict[str, StepRun] = {}  # Workers kept for a gang that does not fit yet.
        self._fleet = fleet
        self._free: dict[str, Amounts] = {}
        self._pools: dict[str, dict[str, FleetWorker]] = {}

    def get_usable(self, pool: str) -> dict[str, FleetWorker]:
        """Return the usable workers of a pool by id."""
        usable = self._pools.get(pool)
        if usable is None:
            usable = {
                worker.id: worker
                for worker in self._fleet
                if worker.message.pool == pool and worker.is_usable(self.now)
            }
            self._pools[pool] = usable
        return usable

    def get_free(self, worker: FleetWorker) -> Amounts:
        """Return the capacity of a worker that is still free in this round."""
        return self._free.get(worker.id, worker.free)

    def allocate(self, worker: FleetWorker, amounts: Amounts) -> None:
        """Allocate capacity of a worker."""
        self._free[worker.id] = self.get_free(worker) - amounts


class JobPlanner:
    """Keeps the steps that wait for capacity and places them in rank order."""

    def __init__(
        self, *, fleet: Fleet, advice: AdviceClient, store: JobStore, timers: TimerService
    ) -> None:
        self._fleet = fleet
        self._advice = advice
        self._store = store
        self._timers = timers
        self._waiting: dict[StepKey, StepRun] = {}
        self._set_aside_count = 0  # Workers set aside for a gang in the last round.

    def add(self, run: JobRun) -> None:
        """Queue the waiting steps of a job."""
        for step in run.steps.values():
            if step.waiting:
                self._waiting[step.key] = step

    def remove(self, run: JobRun) -> None:
        """Remove the steps of a job that ended."""
        for step in run.steps.values():
            self._waiting.pop(step.key, None)
            self._advice.forget(step.key)

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

    def measure_load(self) -> dict[str, Any]:
        """Return figures on waiting work and free capacity, as fractions, for the log."""
        now = self._timers.now()
        found = [(worker, worker.find_unusable_reason(now)) for worker in self._fleet]
        usable = [worker for worker, reason in found if not reason]
        steps = [step for step in self._waiting.values() if step.waiting and step.is_ready]
        capacity = sum(worker.capacity.processors for worker in usable)
        memory = sum(worker.capacity.memory_mb for worker in usable)
        return {
            "usable_workers": len(usable),
            "unusable_workers": dict(Counter(reason for _, reason in found if reason)),
            "free_processors": round(sum(w.free.processors for w in usable) / max(1, capacity), 3),
            "free_memory": round(sum(w.free.memory_mb for w in usable) / max(1, memory), 3),
            "waiting_steps": len(steps),
            "waiting_gangs": sum(step.message.gang for step in steps),
            "reserved_workers": self._set_aside_count,
        }

    def plan(self, *, workers_reconciled: bool, early_ms: int) -> list[PlannedStart]:
        """Return the units to start now."""
        now = self._timers.now()
        wall_ms = self._timers.wall_ms()
        round_ = PlanningRound(self._fleet, now=now)
        for step in self._list_ready(
            workers_reconciled=workers_reconciled, latest_due_ms=wall_ms + early_ms, now=now
        ):
            queue = self._store.get_current_queue(step.run.stored)
            if step.message.gang:
                self._place_gang(step, queue, round_)
            else:
                self._place_tasks(step, queue, round_)
        self._set_aside_count = len(round_.set_aside)
        return round_.starts

    def _list_ready(
        self, *, workers_reconciled: bool, latest_due_ms: int, now: float
    ) -> list[StepRun]:
        """Return the steps that may start, in rank order."""
        ranked = []
        for step in list(self._waiting.values()):
            if not step.waiting:
                del self._waiting[step.key]
                continue
            run = step.run
            if run.is_inherited and not workers_reconciled:
                continue
            if run.get_due_ms(step.occurrence) > latest_due_ms or not step.is_ready:
                continue
            ranked.append((self._rank(step, now), step.key, step))
        ranked.sort(key=lambda item: item[:2])
        return [step for _, _, step in ranked]

    def _rank(self, step: StepRun, now: float) -> tuple[int, int, float]:
        queue = step.run.stored.message.queue
        return compute_rank(
            latency_target=step.run.latency_target,
            priority=queue.priority,
            now=now,
            remaining_s=step.run.longest_paths_s[step.index],
        )

    def _list_candidates(
        self, step: StepRun, queue: jobs_pb2.Queue, round_: PlanningRound
    ) -> list[FleetWorker]:
        """Return the usable workers that may run a step; request advice if none is approved."""
        usable = round_.get_usable(queue.pool)
        if not queue.HasField("advisor"):
            return [worker for worker in usable.values() if step.accepts(worker.message.labels)]
        tickets = self._advice.get(step.key).list_valid(round_.now)
        approved = [usable[worker_id] for worker_id in tickets if worker_id in usable]
        if not approved:
            self._ask_advice(step, queue, round_)
        return approved

    def _ask_advice(self, step: StepRun, queue: jobs_pb2.Queue, round_: PlanningRound) -> None:
        """Request advice on further workers for a step."""
        if not queue.HasField("advisor") or round_.advice_request_count >= MAX_ADVICE_REQUESTS:
            return
        advice = self._advice.get(step.key)
        if not advice.may_ask(round_.now):
            return
        worker_ids = self._choose_workers_to_ask(step, queue, advice, round_)
        if not worker_ids:
            return
        round_.advice_request_count += 1
        self._advice.ask(
            AdviceRequest(
                key=step.key,
                workers=worker_ids,
                expected_s=estimate_call_s(queue.advisor, len(worker_ids)),
                rank=self._rank(step, round_.now),
            )
        )

    def _choose_workers_to_ask(
        self, step: StepRun, queue: jobs_pb2.Queue, advice: StepAdvice, round_: PlanningRound
    ) -> list[str]:
        """Return workers to ask about: none that were refused, most free capacity first."""
        fits = {
            worker.id: count_fitting(step.amounts, round_.get_free(worker))
            for worker in round_.get_usable(queue.pool).values()
            if worker.id not in advice.refused
            and (step.message.gang or not advice.has_ticket(worker.id, round_.now))
            and step.accepts(worker.message.labels)
        }
        return choose_advice_candidates(
            fits,
            approved_before=advice.tickets.keys(),
            needed=step.message.count if step.message.gang else len(step.waiting),
            may_include_full=not advice.list_valid(round_.now),
            is_gang=step.message.gang,
            decision_ms=queue.advisor.decision_ms,
            per_worker_ms=queue.advisor.per_worker_ms,
        )

    def _place_gang(self, step: StepRun, queue: jobs_pb2.Queue, round_: PlanningRound) -> None:
        candidates = self._list_candidates(step, queue, round_)
        for unit in list(step.waiting.values()):
            if unit.not_before > round_.now or not candidates:
                continue
            available = [w for w in candidates if round_.set_aside.get(w.id, step) is step]
            chosen = pack_gang(
                step.amounts,
                unit.unit.size,
                [(worker.id, round_.get_free(worker)) for worker in available],
                limit_per_worker=step.message.max_per_worker,
            )
            if chosen is None:
                self._set_aside_workers(step, unit, available, round_)
                continue
            positions = iter(unit.unit.positions)
            workers = {
                next(positions): worker_id
                for worker_id, count in chosen.items()
                for _ in range(count)
            }
            self._start(step, unit, workers, round_)

    def _set_aside_workers(
        self, step: StepRun, unit: UnitRun, available: list[FleetWorker], round_: PlanningRound
    ) -> None:
        """Set aside the workers with most room for a gang that does not fit; one gang per round."""
        if round_.set_aside:
            return
        ranked = sorted(
            available,
            key=lambda worker: -count_fitting(step.amounts, round_.get_free(worker)),
        )
        remaining = unit.unit.size
        chosen: list[str] = []
        for worker in ranked:
            if remaining <= 0:
                break
            remaining -= count_fitting(step.amounts, worker.capacity)
            chosen.append(worker.id)
        if remaining <= 0:
            round_.set_aside.update(dict.fromkeys(chosen, step))

    def _place_tasks(self, step: StepRun, queue: jobs_pb2.Queue, round_: PlanningRound) -> None:
        candidates = self._list_candidates(step, queue, round_)
        candidates = [w for w in candidates if w.id not in round_.set_aside]
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
            return compute_max_free_fraction(step.amounts, free, worker.capacity)

        for unit in list(step.waiting.values()):
            if unit.not_before > round_.now:
                continue
            preferred = candidates
            if unit.avoided:
                preferred = [w for w in candidates if w.id not in unit.avoided] or candidates
            worker = choose_worker(preferred, score=score)
            if worker is None:
                self._ask_advice(step, queue, round_)
                return
            if limit:
                placed[worker.id] += 1
            self._start(step, unit, {unit.unit.first_position: worker.id}, round_)

    def _start(
        self, step: StepRun, unit: UnitRun, workers: dict[int, str], round_: PlanningRound
    ) -> None:
        advice = self._advice.get(step.key)
        tickets = {w: advice.tickets[w] for w in workers.values() if w in advice.tickets}
        for worker_id in workers.values():
            worker = self._fleet.get(worker_id)
            assert worker is not None
            round_.allocate(worker, step.amounts)
        self.remove_unit(unit)
        round_.starts.append(PlannedStart(unit=unit, workers=workers, tickets=tickets))
