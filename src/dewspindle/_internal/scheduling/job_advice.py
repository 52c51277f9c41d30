"""Choice of the workers that an advisor request lists for a step.

Only some workers of a fleet may run a step, and the advisor's decision time grows with each worker
listed. A request therefore lists few workers, those that fit most tasks first. For each worker
that it approves, the advisor issues a ticket, which is needed to start a task there.
"""

import math
from collections.abc import Collection, Mapping, Sequence

MAX_LISTED_WORKERS = 100  # Limit of one advisor request.
DECISION_TIME_FRACTION = 0.5  # Time added by the listed workers, relative to `decision_ms`.
MIN_LISTED_WORKERS = 8  # The advisor approves only some of those listed.

# Members of a gang for which free capacity on approved workers is looked for, as a multiple of its
# size: other tasks take some of it until the advisor has answered.
GANG_ROOM_FACTOR = 1.5
# Approved workers that a gang needs in all, as a multiple of those that it fills: only some of
# them become free at the same time.
GANG_CHOICE_FACTOR = 8.0
PRIOR_LISTED = 20  # Weight of the odds assumed before any decision, in listed workers.
PRIOR_ODDS = 0.4
ODDS_MEMORY = 2000  # Listed workers after which older decisions count half.


class ApprovalOdds:
    """Fraction of the listed workers that the advisor approves, learnt by queue."""

    def __init__(self) -> None:
        self._listed: dict[str, float] = {}
        self._approved: dict[str, float] = {}

    def record(self, queue: str, *, listed: int, approved: int) -> None:
        """Record a decision on workers that were not listed for the step before."""
        self._listed[queue] = self._listed.get(queue, 0.0) + listed
        self._approved[queue] = self._approved.get(queue, 0.0) + approved
        if self._listed[queue] > ODDS_MEMORY:
            self._listed[queue] /= 2
            self._approved[queue] /= 2

    def get(self, queue: str) -> float:
        """Return the expected fraction, which is never 0."""
        approved = self._approved.get(queue, 0.0) + PRIOR_LISTED * PRIOR_ODDS
        return max(0.01, approved / (self._listed.get(queue, 0.0) + PRIOR_LISTED))


def compute_affordable(*, decision_ms: float, per_worker_ms: float) -> int:
    """Return how many workers a request may list without making its answer much later."""
    affordable = int(decision_ms * DECISION_TIME_FRACTION / max(per_worker_ms, 0.001))
    return min(MAX_LISTED_WORKERS, max(MIN_LISTED_WORKERS, affordable))


def count_workers_to_list(*, filled: int, approved: int, odds: float) -> int:
    """Return how many more workers to list for a gang.

    A gang of wide tasks fills several whole workers at once, and the advisor approves few of a
    full fleet. So many are listed that the approved ones are expected to leave a choice. `filled`
    is the number of workers that the gang fills.
    """
    missing = math.ceil(filled * GANG_CHOICE_FACTOR) - approved
    return max(MIN_LISTED_WORKERS, math.ceil(missing / odds)) if missing > 0 else 0


def choose_gang_candidates(
    fitting_tasks: Mapping[str, int], *, choice: int, size: int, expected: float, odds: float
) -> list[str]:
    """Return the undecided workers to list for a gang, given how many members fit on each.

    `choice` workers are listed, full or not, to leave the gang a choice. If it has one, those with
    free capacity are, until the approved ones are expected to hold the gang; none are if too little
    is free. `expected` members fit on the workers approved so far.
    """
    ranked = sorted(fitting_tasks, key=lambda w: -fitting_tasks[w])
    if choice:
        return ranked[:choice]
    needed = size * GANG_ROOM_FACTOR
    for count, worker in enumerate(ranked):
        if expected >= needed:
            return ranked[:count]
        expected += odds * fitting_tasks[worker]
    return ranked if expected >= needed else []


def split_request(workers: Sequence[str], *, affordable: int) -> list[list[str]]:
    """Return the workers to list by request, for requests that are made at the same time."""
    return [list(workers[i : i + affordable]) for i in range(0, len(workers), affordable)]


def choose_advice_candidates(
    fitting_tasks: Mapping[str, int],
    *,
    approved_before: Collection[str],
    needed: int,
    may_include_full: bool,
    decision_ms: float,
    per_worker_ms: float,
) -> list[str]:
    """Return the workers to list, given how many tasks fit on each.

    Workers that were approved before stay approved, so no others are listed if they fit all
    tasks. Full workers may have free capacity by the time of the answer, so they are listed if
    no other worker is left, but not in addition to workers that are already approved.
    """
    affordable = compute_affordable(decision_ms=decision_ms, per_worker_ms=per_worker_ms)
    count = min(MAX_LISTED_WORKERS, max(affordable, needed))
    approved = sorted(
        (w for w in approved_before if fitting_tasks.get(w)), key=lambda w: -fitting_tasks[w]
    )
    if approved and sum(fitting_tasks[worker] for worker in approved) >= needed:
        return approved[:MAX_LISTED_WORKERS]
    with_capacity = [worker for worker in fitting_tasks if fitting_tasks[worker] > 0]
    if not with_capacity and not may_include_full:
        return []
    ranked = sorted(with_capacity or fitting_tasks, key=lambda w: -fitting_tasks[w])
    return ranked[:count]
