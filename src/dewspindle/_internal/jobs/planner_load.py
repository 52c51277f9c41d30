"""Figures on the planner's load, and why ready steps wait, for the log."""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any

from ..scheduling.job_placement import count_fitting
from ..utils.logs import get_logger
from ..utils.timers import TimerService
from .advice import AdviceClient
from .fleet import Fleet
from .fleet_worker import FleetWorker
from .runs import StepRun
from .wait_reasons import WaitReason

MAX_EXPLAINED_STEPS = 20  # Steps of highest rank of which one report tells why they wait.

logger = get_logger(__name__)


@dataclass(frozen=True, slots=True)
class StepWorkers:
    """The usable workers that may run a step."""

    approved: list[FleetWorker]
    available: list[FleetWorker]  # Approved, and not set aside for another gang.
    admitted: list[FleetWorker]  # Available, with a valid ticket where the queue has an advisor.
    was_advice_asked: bool
    held_back_by: WaitReason | None  # Why the last round did not look for workers, if it did not.


def find_wait_reason(step: StepRun, workers: StepWorkers, *, now: float) -> WaitReason:
    """Return what keeps the first waiting unit of a step from being placed."""
    unit = next(iter(step.waiting.values()))
    if unit.not_before > now:
        return WaitReason.RETRY_DELAY
    if workers.held_back_by is not None:
        return workers.held_back_by
    if not workers.approved:
        return WaitReason.NOT_APPROVED if workers.was_advice_asked else WaitReason.NOT_ASKED
    for candidates, reason in (
        (workers.approved, WaitReason.NO_CAPACITY),
        (workers.available, WaitReason.SET_ASIDE),
        (workers.admitted, WaitReason.NO_TICKET),
    ):
        if count_room(step, candidates) < unit.unit.size:
            return reason
    return WaitReason.NOT_PLACED


def count_room(step: StepRun, workers: Iterable[FleetWorker]) -> int:
    """Return how many tasks of a step fit in the free capacity of workers."""
    limit = step.message.max_per_worker or step.message.count
    return sum(min(limit, count_fitting(step.amounts, worker.free)) for worker in workers)


class PlannerLoad:
    """Measures waiting work and free capacity, and logs what the oldest waiting step lacks."""

    def __init__(self, *, fleet: Fleet, advice: AdviceClient, timers: TimerService) -> None:
        self._fleet = fleet
        self._advice = advice
        self._timers = timers

    def measure(
        self, ready: Sequence[StepRun], *, list_workers: Callable[[StepRun], StepWorkers]
    ) -> dict[str, Any]:
        """Return figures for the log; `ready` are the waiting steps in rank order."""
        now = self._timers.now()
        found = [(worker, worker.find_unusable_reason(now)) for worker in self._fleet]
        usable = [worker for worker, reason in found if reason is None]
        capacity = sum(worker.capacity.processors for worker in usable)
        memory = sum(worker.capacity.memory_mb for worker in usable)
        explained = ready[:MAX_EXPLAINED_STEPS]
        reasons = Counter(find_wait_reason(s, list_workers(s), now=now).value for s in explained)
        if ready:
            self._log_oldest(ready, list_workers=list_workers, now=now)
        return {
            "usable_workers": len(usable),
            "unusable_workers": dict(Counter(reason.value for _, reason in found if reason)),
            "free_processors": round(sum(w.free.processors for w in usable) / max(1, capacity), 3),
            "free_memory": round(sum(w.free.memory_mb for w in usable) / max(1, memory), 3),
            "waiting_steps": len(ready),
            "waiting_gangs": sum(step.message.gang for step in ready),
            "wait_reasons": dict(reasons),
        }

    def _log_oldest(
        self,
        ready: Sequence[StepRun],
        *,
        list_workers: Callable[[StepRun], StepWorkers],
        now: float,
    ) -> None:
        step = min(ready, key=lambda s: s.run.latency_target.accepted_at)
        workers = list_workers(step)
        advice = self._advice.get(step.key)
        logger.info(
            "oldest waiting step",
            job=step.run.stored.id,
            step=step.index,
            age_s=round(now - step.run.latency_target.accepted_at, 3),
            why=find_wait_reason(step, workers, now=now).value,
            rank_position=ready.index(step),
            is_gang=step.message.gang,
            waiting_tasks=step.count_waiting_tasks(),
            approved=len(workers.approved),
            available=len(workers.available),
            admitted=len(workers.admitted),
            room_if_admitted=count_room(step, workers.available),
            refused=len(advice.refused),
            pending=len(advice.pending),
            may_run_already=step.may_run_already,
        )
