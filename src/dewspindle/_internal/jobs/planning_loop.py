"""Plans in rounds, and urgent steps in short passes between them."""

from collections.abc import Callable, Sequence

import anyio

from ..scheduling.start_pacing import StartPacer
from ..utils.timers import Signal, TimerService, wait_for_event
from .advice import AdviceClient
from .load_report import LoadReport
from .planning import JobPlanner
from .planning_round import PlannedStart

PLAN_INTERVAL_S = 0.01  # Minimum time between two rounds, so that one round handles many events.
# Pause after a round as a multiple of its duration, so that planning does not delay answers.
PLAN_PAUSE_FACTOR = 3.0
IDLE_INTERVAL_S = 0.25  # Maximum time between two rounds while work waits, as tickets expire.
PACED_INTERVAL_S = 0.05  # The same after a round that has used up its budget of starts.
URGENT_INTERVAL_S = 0.005  # Minimum time between two passes.
URGENT_PAUSE_FACTOR = 1.0  # Pause after a pass as a multiple of its duration.


class PlanningLoop:
    """Calls the planner while this replica may act as the leader, and starts what it selects."""

    def __init__(
        self,
        *,
        planner: JobPlanner,
        advice: AdviceClient,
        pacer: StartPacer,
        load: LoadReport,
        timers: TimerService,
        early_ms: int,
        may_act: Callable[[], bool],
        check_reconciled: Callable[[], bool],
        start: Callable[[PlannedStart], None],
    ) -> None:
        self._planner = planner
        self._advice = advice
        self._pacer = pacer
        self._load = load
        self._timers = timers
        self._early_ms = early_ms
        self._may_act = may_act
        self._check_reconciled = check_reconciled  # Returns whether all inherited work is known.
        self._start = start
        self._wake = Signal()
        self._passes_s = 0.0  # Duration of the passes since the last round.

    def wake(self) -> None:
        """Trigger a planning round."""
        self._wake.set()

    async def run(self) -> None:
        """Plan until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._plan_urgent_steps)
            await self._plan_rounds()

    async def _plan_rounds(self) -> None:
        while True:
            event = self._wake.event
            began_at = self._timers.now()
            is_out_of_budget = False
            may_act = self._may_act()
            if may_act:
                workers_reconciled = self._check_reconciled()
                start_budget = self._pacer.get_budget(now=began_at)
                starts = self._planner.plan(
                    workers_reconciled=workers_reconciled,
                    early_ms=self._early_ms,
                    start_budget=start_budget,
                    starts_per_s=self._pacer.starts_per_s,
                )
                is_out_of_budget = self._start_all(starts, now=began_at) >= start_budget
            took_s = self._timers.now() - began_at
            self._load.record_round(took_s, is_lapsed=not may_act)
            await self._timers.sleep(max(PLAN_INTERVAL_S, PLAN_PAUSE_FACTOR * took_s))
            # Passes take their time from the rounds, not from what else the leader does.
            passes_s, self._passes_s = self._passes_s, 0.0
            await self._timers.sleep(PLAN_PAUSE_FACTOR * passes_s)
            seconds = PACED_INTERVAL_S if is_out_of_budget else IDLE_INTERVAL_S
            await wait_for_event(self._timers, event=event, seconds=seconds)

    async def _plan_urgent_steps(self) -> None:
        while True:
            event = self._planner.urgent.signal.event
            if not self._planner.urgent:
                await event.wait()
                continue
            began_at = self._timers.now()
            if self._may_act():
                starts = self._planner.plan_urgent(
                    start_budget=self._pacer.get_budget(now=began_at),
                    is_limited=self._pacer.limit is not None,
                )
                self._start_all(starts, now=began_at)
            took_s = self._timers.now() - began_at
            self._passes_s += took_s
            self._load.record_pass(took_s)
            await self._timers.sleep(max(URGENT_INTERVAL_S, URGENT_PAUSE_FACTOR * took_s))

    def _start_all(self, starts: Sequence[PlannedStart], *, now: float) -> int:
        """Start the selected units, send requests for advice, and return the number of tasks."""
        for start in starts:
            self._start(start)
        count = sum(len(start.workers) for start in starts)
        self._pacer.record_starts(count, now=now)
        self._advice.dispatch()
        return count
