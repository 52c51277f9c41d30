"""Check of how long ready steps wait although there is room for them."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from dewspindle._internal.cell.jobs import JobStore
from dewspindle._internal.jobs.advice import AdviceClient, StepKey
from dewspindle._internal.jobs.fleet import Fleet
from dewspindle._internal.jobs.planning import JobPlanner
from dewspindle._internal.jobs.runs import JobRun, StepRun
from dewspindle._internal.models.ids import JobId
from dewspindle._internal.scheduling.job_placement import count_fitting

from .clock import ManualTimerService

MAX_WAIT_S = 3.0  # For a step for which twice its room is free.
ROOM_FACTOR = 2


@dataclass(frozen=True)
class LongWait:
    """A step that has waited too long although there is room for it."""

    step: StepKey
    is_gang: bool
    waiting: int  # Tasks.
    room: int  # For how many of its tasks approved workers have room.
    undecided_room: int  # Of it, on workers on which the advisor has not decided yet.
    ended_room: int  # Of it, on workers whose tickets have ended.
    reserved_room: int  # Of it, on workers set aside for any gang.
    since: float
    valid_tickets: int
    pending: int  # Workers listed in unanswered requests.
    approved: int  # Usable workers that the leader knows to be approved.
    waiting_gangs: int
    reserved_workers: int


class WaitCheck:
    """Finds the steps that wait too long with room for them twice over."""

    def __init__(
        self,
        *,
        runs: Sequence[JobRun],
        fleet: Fleet,
        store: JobStore,
        client: AdviceClient,
        planner: JobPlanner,
        timers: ManualTimerService,
        is_approved: Callable[[StepKey, str], bool],
    ) -> None:
        self._runs = runs
        self._fleet = fleet
        self._store = store
        self._client = client
        self._planner = planner
        self._timers = timers
        self._is_approved = is_approved
        self._began_at = timers.now()
        self._roomy_since: dict[tuple[JobId, int], float] = {}
        self.counts_reserved_room = True  # Whether room on workers set aside for gangs counts.
        self.counts_avoided_workers = False  # Whether room counts where the task ended badly.
        self.long_waits: dict[StepKey, LongWait] = {}
        self.longest_wait_s = 0.0

    def follow(self, *, client: AdviceClient, planner: JobPlanner) -> None:
        """Check the steps of another leader."""
        self._client = client
        self._planner = planner

    def _list_room(self, step: StepRun) -> dict[str, int]:
        """Return how many tasks of a step fit on each usable worker that may run all of them."""
        queue = self._store.get_current_queue(step.run.stored)
        avoided: set[str] = set()
        if not step.message.gang and not self.counts_avoided_workers:
            avoided = avoided.union(*(unit.avoided for unit in step.waiting.values()))
        return {
            worker.id: count_fitting(step.amounts, worker.free)
            for worker in self._fleet
            if worker.message.pool == queue.pool
            and worker.is_usable(self._timers.now())
            and worker.id not in avoided
            and (self.counts_reserved_room or worker.id not in self._planner._set_aside_before)
            and (not queue.HasField("advisor") or self._is_approved(step.key, worker.id))
        }

    def update(self) -> None:
        """Record the steps that have waited too long with room for them twice over."""
        now, before = self._timers.now(), self._roomy_since
        self._roomy_since = {}
        for run in self._runs:
            for step in run.steps.values():
                if not step.waiting or not step.is_ready:
                    continue
                room = sum(self._list_room(step).values())
                if room < ROOM_FACTOR * step.count_waiting_tasks():
                    continue
                for position in step.waiting:
                    key = (run.stored.id, position)
                    since = self._roomy_since[key] = before.get(key, now)
                    self.longest_wait_s = max(self.longest_wait_s, now - since)
                    if now - since > MAX_WAIT_S:
                        self._record_long_wait(step, room, since)

    def _record_long_wait(self, step: StepRun, room: int, since: float) -> None:
        if step.key in self.long_waits:
            return
        advice, load = self._client.get(step.key), self._planner.measure_load()
        by_worker, now = self._list_room(step), self._timers.now()
        self.long_waits[step.key] = LongWait(
            step=step.key,
            is_gang=step.message.gang,
            waiting=step.count_waiting_tasks(),
            room=room,
            undecided_room=sum(n for w, n in by_worker.items() if w not in advice.tickets),
            ended_room=sum(
                n
                for w, n in by_worker.items()
                if w in advice.tickets and not advice.has_ticket(w, now)
            ),
            reserved_room=sum(
                n for w, n in by_worker.items() if w in self._planner._set_aside_before
            ),
            since=round(since - self._began_at, 2),
            valid_tickets=len(advice.list_valid(now)),
            pending=len(advice.pending),
            approved=sum(self._fleet.get(worker) is not None for worker in advice.tickets),
            waiting_gangs=load["waiting_gangs"],
            reserved_workers=load["reserved_workers"],
        )
