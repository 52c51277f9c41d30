"""Choice of workers for tasks under which a worker has crashed before."""

from collections.abc import Callable

from .fleet_worker import FleetWorker
from .planning_round import PlanningRound
from .runs import UnitRun


def has_suspect(worker: FleetWorker, round_: PlanningRound) -> bool:
    """Return whether a worker runs or gets a task under which another worker crashed."""
    return worker.has_suspect or worker.id in round_.workers_with_suspect


def choose_for_suspect(
    unit: UnitRun,
    candidates: list[FleetWorker],
    round_: PlanningRound,
    *,
    score: Callable[[FleetWorker], float | None],
) -> FleetWorker | None:
    """Return the worker for a task that may crash it, or None if it fits nowhere.

    Prefers workers without another such task, then those with the fewest tasks.
    """
    fitting = [worker for worker in candidates if score(worker) is not None]

    def rank(worker: FleetWorker) -> tuple[bool, bool, int]:
        is_shared = has_suspect(worker, round_)
        return (is_shared, worker.id in unit.avoided, len(worker.placements))

    return min(fitting, key=rank, default=None)
