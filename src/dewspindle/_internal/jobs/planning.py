"""Chooses, round by round, which waiting tasks start where."""

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
from .advice import AdviceDesk, AdviceRequest, StepAdvice, StepKey, estimate_call_s
from .fleet import Fleet, FleetWorker
from .runs import JobRun, StepRun, UnitRun

MAX_ADVICE_STEPS = 12  # Waiting steps whose tickets are kept valid; those behind wait for room.

logger = get_logger(__name__)


@dataclass(frozen=True, slots=True)
class Start:
    """A unit to start now: its workers by position, and their tickets."""

    unit: UnitRun
    workers: dict[int, str]
    tickets: dict[str, str]


class Round:
    """What one round of planning has given away so far."""

    def __init__(self, fleet: Fleet, *, now: float) -> None:
        self.now = now
        self.starts: list[Start] = []
        self.advice_asked = 0
        self.reserved: dict[str, StepRun] = {}
        self._fleet = fleet
        self._rooms: dict[str, Amounts] = {}
        self._pools: dict[str, dict[str, FleetWorker]] = {}

    def get_usable(self, pool: str) -> dict[str, FleetWorker]:
        """Return the workers of a pool that may be used, by their ids."""
        usable = self._pools.get(pool)
        if usable is None:
            usable = {
                worker.id: worker
                for worker in self._fleet
                if worker.message.pool == pool and worker.is_usable(self.now)
            }
            self._pools[pool] = usable
        return usable

    def get_room(self, worker: FleetWorker) -> Amounts:
        """Return what this round leaves free on a worker."""
        return self._rooms.get(worker.id, worker.free)

    def take(self, worker: FleetWorker, amounts: Amounts) -> None:
        """Give room of a worker away."""
        self._rooms[worker.id] = self.get_room(worker) - amounts


class JobPlanner:
    """Holds the steps that wait for room and places them in the order of their worth."""

    def __init__(
        self, *, fleet: Fleet, advice: AdviceDesk, store: JobStore, timers: TimerService
    ) -> None:
        self._fleet = fleet
        self._advice = advice
        self._store = store
        self._timers = timers
        self._waiting: dict[StepKey, StepRun] = {}
        self._reserved_count = 0  # Workers kept for a gang in the last round.

    def add(self, run: JobRun) -> None:
        """Take up the steps of a job."""
        for step in run.steps.values():
            if step.waiting:
                self._waiting[step.key] = step

    def remove(self, run: JobRun) -> None:
        """Drop the steps of a job that ended."""
        for step in run.steps.values():
            self._waiting.pop(step.key, None)
            self._advice.forget(step.key)

    def requeue(self, unit: UnitRun) -> None:
        """Let a unit wait for room again."""
        unit.step.waiting[unit.unit.first_position] = unit
        self._waiting[unit.step.key] = unit.step

    def take_out(self, unit: UnitRun) -> None:
        """Let a unit wait no more, as it runs already."""
        unit.step.waiting.pop(unit.unit.first_position, None)

    def finish_unit(self, unit: UnitRun) -> None:
        """Count a unit as done, once."""
        step = unit.step
        self.take_out(unit)
        if not unit.is_counted:
            unit.is_counted = True
            step.left -= 1
        if step.left == 0:
            self._waiting.pop(step.key, None)
            self._advice.forget(step.key)

    def measure_load(self) -> dict[str, Any]:
        """Return what waits and what room there is, as of the last round."""
        now = self._timers.now()
        found = [(worker, worker.find_obstacle(now)) for worker in self._fleet]
        usable = [worker for worker, obstacle in found if not obstacle]
        steps = [step for step in self._waiting.values() if step.waiting and step.is_ready]
        capacity = sum(worker.capacity.processors for worker in usable)
        memory = sum(worker.capacity.memory_mb for worker in usable)
        return {
            "usable_workers": len(usable),
            "unusable_workers": dict(Counter(obstacle for _, obstacle in found if obstacle)),
            "free_processors": round(sum(w.free.processors for w in usable) / max(1, capacity), 3),
            "free_memory": round(sum(w.free.memory_mb for w in usable) / max(1, memory), 3),
            "waiting_steps": len(steps),
            "waiting_gangs": sum(step.message.gang for step in steps),
            "reserved_workers": self._reserved_count,
        }

    def plan(self, *, settled: bool, early_ms: int) -> list[Start]:
        """Return what to start now."""
        now = self._timers.now()
        wall_ms = self._timers.wall_ms()
        round_ = Round(self._fleet, now=now)
        for step in self._list_ready(settled=settled, latest_due_ms=wall_ms + early_ms, now=now):
            queue = self._store.get_queue_in_force(step.run.stored)
            if step.message.gang:
                self._place_gang(step, queue, round_)
            else:
                self._place_tasks(step, queue, round_)
        self._reserved_count = len(round_.reserved)
        return round_.starts

    def _list_ready(self, *, settled: bool, latest_due_ms: int, now: float) -> list[StepRun]:
        """Return the steps that may start, the most pressing first."""
        ranked = []
        for step in list(self._waiting.values()):
            if not step.waiting:
                del self._waiting[step.key]
                continue
            run = step.run
            if run.is_inherited and not settled:
                continue
            if run.get_due_ms(step.occurrence) > latest_due_ms or not step.is_ready:
                continue
            ranked.append((self._rank(step, now), step.key, step))
        ranked.sort(key=lambda item: item[:2])
        return [step for _, _, step in ranked]

    def _rank(self, step: StepRun, now: float) -> tuple[int, int, float]:
        queue = step.run.stored.message.queue
        return compute_rank(
            objective=step.run.objective,
            priority=queue.priority,
            now=now,
            remaining_s=step.run.tails_s[step.index],
        )

    def _list_candidates(
        self, step: StepRun, queue: jobs_pb2.Queue, round_: Round
    ) -> list[FleetWorker]:
        """Return the workers that may run a step now, asking the advisor where none is known."""
        usable = round_.get_usable(queue.pool)
        if not queue.HasField("advisor"):
            return [worker for worker in usable.values() if step.accepts(worker.message.labels)]
        tickets = self._advice.get(step.key).list_valid(round_.now)
        approved = [usable[worker_id] for worker_id in tickets if worker_id in usable]
        if not approved:
            self._ask_advice(step, queue, round_)
        return approved

    def _ask_advice(self, step: StepRun, queue: jobs_pb2.Queue, round_: Round) -> None:
        """Ask which further workers may run a step."""
        if not queue.HasField("advisor") or round_.advice_asked >= MAX_ADVICE_STEPS:
            return
        advice = self._advice.get(step.key)
        if not advice.may_ask(round_.now):
            return
        named = self._choose_named(step, queue, advice, round_)
        if not named:
            return
        round_.advice_asked += 1
        self._advice.ask(
            AdviceRequest(
                key=step.key,
                workers=named,
                expected_s=estimate_call_s(queue.advisor, len(named)),
                rank=self._rank(step, round_.now),
            )
        )

    def _choose_named(
        self, step: StepRun, queue: jobs_pb2.Queue, advice: StepAdvice, round_: Round
    ) -> list[str]:
        """Return workers to ask for, none that were refused, those with most room first."""
        fits = {
            worker.id: count_fitting(step.amounts, round_.get_room(worker))
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

    def _place_gang(self, step: StepRun, queue: jobs_pb2.Queue, round_: Round) -> None:
        candidates = self._list_candidates(step, queue, round_)
        for unit in list(step.waiting.values()):
            if unit.not_before > round_.now or not candidates:
                continue
            open_ = [w for w in candidates if round_.reserved.get(w.id, step) is step]
            chosen = pack_gang(
                step.amounts,
                unit.unit.size,
                [(worker.id, round_.get_room(worker)) for worker in open_],
                limit_per_worker=step.message.max_per_worker,
            )
            if chosen is None:
                self._reserve(step, unit, open_, round_)
                continue
            positions = iter(unit.unit.positions)
            workers = {
                next(positions): worker_id
                for worker_id, count in chosen.items()
                for _ in range(count)
            }
            self._start(step, unit, workers, round_)

    def _reserve(
        self, step: StepRun, unit: UnitRun, open_: list[FleetWorker], round_: Round
    ) -> None:
        """Keep workers for a gang that does not fit yet, those that can hold most of it."""
        if round_.reserved:
            return
        ranked = sorted(
            open_,
            key=lambda worker: -count_fitting(step.amounts, round_.get_room(worker)),
        )
        left = unit.unit.size
        chosen: list[str] = []
        for worker in ranked:
            if left <= 0:
                break
            left -= count_fitting(step.amounts, worker.capacity)
            chosen.append(worker.id)
        if left <= 0:
            round_.reserved.update(dict.fromkeys(chosen, step))

    def _place_tasks(self, step: StepRun, queue: jobs_pb2.Queue, round_: Round) -> None:
        candidates = self._list_candidates(step, queue, round_)
        candidates = [w for w in candidates if w.id not in round_.reserved]
        limit = step.message.max_per_worker
        placed: dict[str, int] = {}
        if limit:
            placed = {worker.id: step.count_on(worker.id) for worker in candidates}

        def score(worker: FleetWorker) -> float | None:
            room = round_.get_room(worker)
            if not step.amounts.fits_in(room):
                return None
            if limit and placed[worker.id] >= limit:
                return None
            return compute_max_free_fraction(step.amounts, room, worker.capacity)

        for unit in list(step.waiting.values()):
            if unit.not_before > round_.now:
                continue
            sound = candidates
            if unit.avoided:
                sound = [w for w in candidates if w.id not in unit.avoided] or candidates
            worker = choose_worker(sound, score=score)
            if worker is None:
                self._ask_advice(step, queue, round_)
                return
            if limit:
                placed[worker.id] += 1
            self._start(step, unit, {unit.unit.first_position: worker.id}, round_)

    def _start(self, step: StepRun, unit: UnitRun, workers: dict[int, str], round_: Round) -> None:
        advice = self._advice.get(step.key)
        tickets = {w: advice.tickets[w] for w in workers.values() if w in advice.tickets}
        for worker_id in workers.values():
            worker = self._fleet.get(worker_id)
            assert worker is not None
            round_.take(worker, step.amounts)
        self.take_out(unit)
        round_.starts.append(Start(unit=unit, workers=workers, tickets=tickets))
