"""Places gangs in a planning round, whose members all start at once or not at all."""

from collections import Counter
from collections.abc import Callable

from ..scheduling.gang_workers import GangWorkers
from ..scheduling.job_placement import pack_gang
from ..schema import jobs_pb2
from .advice import AdviceClient
from .advice_planner import AdvicePlanner, Rank
from .early_gangs import find_early_workers
from .fleet_worker import FleetWorker
from .planning_round import PlanningRound
from .runs import StepRun, UnitRun
from .suspect_placement import has_suspect
from .worker_selector import WorkerSelector

GangStarter = Callable[[StepRun, UnitRun, dict[int, str], PlanningRound], None]


class GangPlacer:
    """Starts gangs, and keeps workers and room below a cap for those that cannot start yet."""

    def __init__(
        self,
        *,
        advice: AdviceClient,
        advice_planner: AdvicePlanner,
        workers: WorkerSelector,
        start: GangStarter,
    ) -> None:
        self._advice = advice
        self._advice_planner = advice_planner
        self._workers = workers
        self._start = start

    def place(
        self, step: StepRun, queue: jobs_pb2.Queue, round_: PlanningRound, *, rank: Rank
    ) -> None:
        """Start the gangs of a step that fit, and prepare the start of the others."""
        approved = self._workers.list_approved(step, queue, round_)
        for unit in list(step.waiting.values()):
            if unit.not_before > round_.now:
                continue
            available = [w for w in approved if round_.may_use(w.id, step)]
            if not round_.check_cap(step, step.amounts * unit.unit.size):
                self._keep_cap(step, unit, available, round_)
                if round_.is_cap_ready_soon(step):
                    self._set_aside(step, queue, unit, approved, round_, rank=rank)
                continue
            admitted = self._workers.select_admitted(step, queue, available, now=round_.now)
            chosen = None
            if unit.is_suspect:
                apart = [worker for worker in admitted if not has_suspect(worker, round_)]
                chosen = self._pack(step, unit, apart, round_)
            chosen = chosen or self._pack(step, unit, admitted, round_)
            if chosen is not None and round_.start_budget <= 0:
                round_.defer(step)
                chosen = None
            if chosen is None:
                self._keep_cap(step, unit, available, round_)
                self._set_aside(step, queue, unit, approved, round_, rank=rank)
                continue
            positions = iter(unit.unit.positions)
            workers = {
                next(positions): worker_id
                for worker_id, count in chosen.items()
                for _ in range(count)
            }
            if unit.is_suspect:
                round_.workers_with_suspect.update(chosen)
            self._start(step, unit, workers, round_)
        if step.waiting:
            self._advice_planner.ask_for_gang(step, queue, round_, approved, rank=rank)

    def _keep_cap(
        self, step: StepRun, unit: UnitRun, available: list[FleetWorker], round_: PlanningRound
    ) -> None:
        """Reserve room below a cap, unless the gang waits for room on its workers as well."""
        if step.key in round_.in_turn and self._pack(step, unit, available, round_) is not None:
            round_.keep_cap(step, step.amounts * unit.unit.size)

    def _pack(
        self, step: StepRun, unit: UnitRun, workers: list[FleetWorker], round_: PlanningRound
    ) -> Counter[str] | None:
        """Return how many members of a gang each worker gets, or None if they do not all fit."""
        return pack_gang(
            step.amounts,
            unit.unit.size,
            [(worker.id, round_.get_free(worker)) for worker in workers],
            limit_per_worker=step.message.max_per_worker,
        )

    def _set_aside(
        self,
        step: StepRun,
        queue: jobs_pb2.Queue,
        unit: UnitRun,
        approved: list[FleetWorker],
        round_: PlanningRound,
        *,
        rank: Rank,
    ) -> None:
        """Set aside the workers on which a gang fits first, and keep their tickets valid.

        A gang that fits already lacks only tickets, and keeps its workers for the call that brings
        them. Limits hold for the others, whose workers stay partly empty until tasks end.
        """
        apart = [worker for worker in approved if not round_.is_set_aside(worker.id)]
        members = self._pack(step, unit, apart, round_)
        if members is not None:
            chosen = GangWorkers(frozenset(members), round_.now)
            if not self._advice.get(step.key).failures:
                round_.set_aside(step, chosen, pool=queue.pool)
        else:
            early = find_early_workers(step, unit, apart, round_, pool=queue.pool)
            if early is None:
                return
            chosen = early
            round_.set_aside(step, chosen, pool=queue.pool)
        self._advice_planner.renew_for_gang(step, queue, round_, chosen, approved=apart, rank=rank)
