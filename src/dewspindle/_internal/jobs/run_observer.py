"""Reads from the ends of tasks how long they ran, and beside which others."""

from ..scheduling.run_times import MIN_RUN_S, IgnoredRunTime, RunTime, add_period
from ..scheduling.slowdowns import Slowdowns
from ..schema import jobs_pb2
from ..utils.timers import TimerService
from .gateway import ActiveTask
from .placements import Placement
from .runs import UnitRun

FULL_SPEED_PERCENT = 100


class RunObserver:
    """Observes the tasks on called workers, and passes on the run times that can be compared."""

    def __init__(self, slowdowns: Slowdowns, *, timers: TimerService) -> None:
        self._slowdowns = slowdowns
        self._timers = timers

    def record_active(self, placement: Placement, active: ActiveTask) -> None:
        """Record that a running task may not use the full speed of its worker."""
        if active.percent < FULL_SPEED_PERCENT:
            placement.is_throttled = True

    def record_end(
        self, placement: Placement, kind: jobs_pb2.EndKind.ValueType, unit: UnitRun | None
    ) -> None:
        """Record the end of a task that its worker no longer runs."""
        if not self._slowdowns.is_enabled:
            return
        now = self._timers.now()
        self._record_overlaps(placement, now)
        why = self._find_reason_to_ignore(placement, kind, unit, now)
        if why is not None or unit is None:
            self._slowdowns.count_ignored(why or IgnoredRunTime.NOT_COMPARABLE)
            return
        step, ran_s = unit.step, now - placement.placed_at
        self._slowdowns.record(
            RunTime(
                kind=placement.kind,
                step=step.key,
                step_size=step.message.count,
                worker=placement.worker.id,
                ran_s=ran_s,
                estimate_s=placement.estimate_s,
                beside=placement.beside,
            )
        )

    @staticmethod
    def _record_overlaps(placement: Placement, now: float) -> None:
        """Record, for an ended task and those that still run, how long they ran side by side."""
        for other in placement.worker.placements.values():
            _add_overlap(placement, other, now)
            _add_overlap(other, placement, now)

    @staticmethod
    def _find_reason_to_ignore(
        placement: Placement,
        kind: jobs_pb2.EndKind.ValueType,
        unit: UnitRun | None,
        now: float,
    ) -> IgnoredRunTime | None:
        # The members of a gang wait for each other, so that none shows the speed of its worker.
        is_whole = (
            kind == jobs_pb2.END_DONE
            and unit is not None
            and unit.unit.size == 1
            and now - placement.placed_at >= MIN_RUN_S
            and not placement.is_lasting
            and not placement.is_adopted
            and not placement.is_resumed
            and not placement.is_throttled
            and not placement.is_stop_ordered
        )
        if not is_whole:
            return IgnoredRunTime.NOT_COMPARABLE
        if placement.worker.recovered_at >= placement.placed_at:
            return IgnoredRunTime.LATE
        return None


def _add_overlap(placement: Placement, other: Placement, now: float) -> None:
    """Add when another placement on the worker ran beside one."""
    if not other.kind:
        return
    periods = placement.beside.get(other.kind)
    if periods is None:
        periods = placement.beside[other.kind] = []
    from_s = max(0.0, other.placed_at - placement.placed_at)
    add_period(periods, from_s, now - placement.placed_at)
