"""Urgent steps that something has just happened to, and that a short pass can decide on.

Answers the load of many urgent short jobs beside a long backlog. In planning rounds each of them
would wait for the round that asks for advice, and for another one that uses it, and the pauses
between rounds grow with the backlog. A pass looks at a few steps only.
"""

import heapq
from collections.abc import Callable

from ..cell.jobs import JobStore
from ..scheduling.job_order import Timeliness
from ..schema import jobs_pb2
from ..utils.timers import Signal
from .advice import LONG_CALL_S, StepKey, estimate_call_s
from .advice_planner import Rank, count_listed
from .runs import StepRun

MAX_TASKS = 32  # Of a step; placing more takes as long as a round.
MAX_STEPS_PER_PASS = 8
MAX_EARLIER_STEPS = 4  # That an earlier pass found no room for, in addition.


class UrgentSteps:
    """Keeps urgent steps in the order in which something happened to them."""

    def __init__(self, store: JobStore) -> None:
        self._store = store
        self._touched: dict[StepKey, StepRun] = {}
        self._passed_over: dict[StepKey, StepRun] = {}  # By passes that found no room for them.
        self._signal = Signal()
        self._highest: dict[str, int] = {}  # Priority of any queue, by pool.
        self._queues_version = -1  # Of the queue table whose priorities are kept.

    @property
    def signal(self) -> Signal:
        """Return the signal that is set when a step is added."""
        return self._signal

    def __len__(self) -> int:
        return len(self._touched)

    def add(self, step: StepRun, *, now: float) -> None:
        """Add a step that became ready or was advised, unless it has to wait for a round."""
        if step.waiting and step.is_ready and self._is_urgent(step, now):
            self._touched[step.key] = step
            self._signal.set()

    def remove(self, step: StepRun) -> None:
        """Remove a step of a job that ended."""
        self._touched.pop(step.key, None)
        self._passed_over.pop(step.key, None)

    def take(self, *, now: float, get_rank: Callable[[StepRun], Rank]) -> list[StepRun]:
        """Return the steps of the next pass in rank order.

        With them come some that found no room before, so that they get what has become free since.
        """
        keys = list(self._touched)[:MAX_STEPS_PER_PASS]
        self._passed_over = {
            key: step
            for key, step in self._passed_over.items()
            if key not in keys and step.waiting and self._is_urgent(step, now)
        }
        earlier = heapq.nsmallest(MAX_EARLIER_STEPS, self._passed_over.values(), key=get_rank)
        return sorted([*earlier, *(self._touched.pop(key) for key in keys)], key=get_rank)

    def pass_over(self, step: StepRun) -> None:
        """Let later passes look again at a step that found no room."""
        self._passed_over[step.key] = step

    def _is_urgent(self, step: StepRun, now: float) -> bool:
        """Return whether a step ranks before all that waits for rounds, and is decided quickly."""
        job = step.run.stored.message
        if job.is_beyond_share or step.may_run_already or step.message.long_running:
            return False
        if step.message.count > MAX_TASKS or step.run.get_due_ms(step.occurrence):
            return False
        timeliness = step.run.latency_target.classify(
            now=now, remaining_s=step.run.longest_paths_s[step.index]
        )
        if timeliness is not Timeliness.IN_TIME:
            return False
        queue = self._store.get_current_queue(step.run.stored)
        if job.queue.priority > self._get_highest_priority(queue.pool):
            return False
        return is_decided_quickly(queue)

    def _get_highest_priority(self, pool: str) -> int:
        """Return the priority of the most urgent queue of a pool; 0 comes first."""
        table = self._store.queue_table
        if table.version != self._queues_version:
            self._queues_version = table.version
            self._highest = {}
            for queue in table.queues:
                known = self._highest.get(queue.pool, queue.priority)
                self._highest[queue.pool] = min(known, queue.priority)
        return self._highest.get(pool, 0)


def is_decided_quickly(queue: jobs_pb2.Queue) -> bool:
    """Return whether a queue has no advisor, or one that answers a request at once."""
    if not queue.HasField("advisor"):
        return True
    return estimate_call_s(queue.advisor, count_listed(queue.advisor)) <= LONG_CALL_S
