"""Finds the inherited steps whose tasks may run on workers that have not listed theirs yet."""

from ..scheduling.inherited_work import SilentWorker, list_possible_workers
from ..schema import jobs_pb2
from .advice import AdviceClient
from .advice_planner import AdvicePlanner, Rank
from .fleet import Fleet
from .planning_round import PlanningRound
from .runs import StepRun


class InheritedSteps:
    """Checks steps that an earlier leader may have started against the silent workers."""

    def __init__(
        self, *, fleet: Fleet, advice: AdviceClient, advice_planner: AdvicePlanner
    ) -> None:
        self._fleet = fleet
        self._advice = advice
        self._advice_planner = advice_planner

    def list_silent(self) -> list[SilentWorker]:
        """Return the workers that have not told this leader yet what runs on them."""
        return [
            SilentWorker(worker.id, worker.message.labels)
            for worker in self._fleet
            if worker.may_hold_inherited_work
        ]

    def may_run_on(
        self,
        silent: list[SilentWorker],
        step: StepRun,
        queue: jobs_pb2.Queue,
        round_: PlanningRound,
        *,
        rank: Rank,
    ) -> bool:
        """Return whether tasks of an inherited step may run on a silent worker."""
        # The step may have started before its queue had an advisor.
        is_advised = step.run.stored.message.queue.HasField("advisor")
        workers = list_possible_workers(
            silent,
            required_label=step.message.required_label,
            refused=self._advice.get(step.key).refused if is_advised else (),
        )
        if is_advised:
            self._advice_planner.ask_about_silent(step, queue, round_, workers, rank=rank)
        return bool(workers)
