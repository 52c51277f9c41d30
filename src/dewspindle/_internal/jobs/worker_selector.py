"""Selects the workers on which a step may run, by what the advisor has approved."""

from ..cell.jobs import JobStore
from ..schema import jobs_pb2
from .advice import AdviceClient
from .fleet_worker import FleetWorker
from .planner_load import StepWorkers
from .planning_round import PlanningRound
from .runs import StepRun


class WorkerSelector:
    """Lists the usable workers for a step in a planning round."""

    def __init__(self, *, advice: AdviceClient, store: JobStore) -> None:
        self._advice = advice
        self._store = store

    def list_approved(
        self, step: StepRun, queue: jobs_pb2.Queue, round_: PlanningRound
    ) -> list[FleetWorker]:
        """Return the usable workers that may run a step, whether their tickets are valid or not."""
        usable = round_.get_usable(queue.pool)
        if not queue.HasField("advisor"):
            return [worker for worker in usable.values() if step.accepts(worker.message.labels)]
        tickets = self._advice.get(step.key).tickets
        return [usable[worker_id] for worker_id in tickets if worker_id in usable]

    def select_admitted(
        self,
        step: StepRun,
        queue: jobs_pb2.Queue,
        workers: list[FleetWorker],
        *,
        now: float,
    ) -> list[FleetWorker]:
        """Return the workers on which a step may start now."""
        if not queue.HasField("advisor"):
            return workers
        advice = self._advice.get(step.key)
        return [worker for worker in workers if advice.has_ticket(worker.id, now)]

    def list_candidates(self, step: StepRun, round_: PlanningRound) -> list[FleetWorker]:
        """Return the workers on which a task of a step may start now."""
        queue = self._store.get_current_queue(step.run.stored)
        approved = self.list_approved(step, queue, round_)
        admitted = self.select_admitted(step, queue, approved, now=round_.now)
        return [worker for worker in admitted if round_.may_use(worker.id, step)]

    def list_step_workers(self, step: StepRun, round_: PlanningRound, *, now: float) -> StepWorkers:
        """Return the workers for a step as a round has left them."""
        queue = self._store.get_current_queue(step.run.stored)
        approved = self.list_approved(step, queue, round_)
        available = [worker for worker in approved if round_.may_use(worker.id, step)]
        admitted = self.select_admitted(step, queue, available, now=now)
        return StepWorkers(
            approved,
            available,
            admitted,
            was_advice_asked=not queue.HasField("advisor") or self._advice.get(step.key).was_asked,
            held_back_by=round_.get_hold_back_reason(step),
        )
