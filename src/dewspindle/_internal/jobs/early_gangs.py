"""Which workers are set aside for gangs that do not fit yet."""

from ..scheduling.gang_workers import GangWorkers, choose_earliest_workers
from .advice_planner import count_filled_workers
from .fleet_worker import FleetWorker
from .planning_round import PlanningRound
from .runs import StepRun, UnitRun

MAX_WAITING_GANGS = 8  # With such workers in one round, in rank order.
MAX_SET_ASIDE_FRACTION = 0.5  # Of the usable workers of a pool.


def find_early_workers(
    step: StepRun,
    unit: UnitRun,
    workers: list[FleetWorker],
    round_: PlanningRound,
    *,
    pool: str,
) -> GangWorkers | None:
    """Return the workers to keep for a gang until enough tasks on them have ended, if any.

    Such workers stay partly empty, so only a part of a pool is kept, for a few gangs.
    """

    def may_keep(count: int) -> bool:
        return round_.may_set_aside_early(count, pool=pool, fraction=MAX_SET_ASIDE_FRACTION)

    if round_.early_gang_count >= MAX_WAITING_GANGS:
        return None
    if not may_keep(count_filled_workers(step, round_.get_largest_capacity(pool))):
        return None
    chosen = choose_earliest_workers(
        step.amounts,
        unit.unit.size,
        [round_.make_outlook(worker) for worker in workers],
        now=round_.now,
        limit_per_worker=step.message.max_per_worker,
    )
    return chosen if chosen is not None and may_keep(len(chosen.workers)) else None
