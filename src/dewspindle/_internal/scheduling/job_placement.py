"""Choice of the workers that run the tasks of a step.

In a nearly full fleet, best-fit placement keeps whole workers free for wide gangs of large tasks.
"""

import heapq
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import Generic, TypeVar

from ..models.resources import Amounts

W = TypeVar("W")

UNBOUNDED_COUNT = 1_000_000  # For tasks that require no resources.


def count_fitting(amounts: Amounts, available: Amounts) -> int:
    """Return how many tasks of the given amounts fit in the available resources."""
    count = UNBOUNDED_COUNT
    if amounts.processors > 0:
        count = available.processors // amounts.processors
    if amounts.memory_mb > 0:
        count = min(count, available.memory_mb // amounts.memory_mb)
    if amounts.accelerators > 0:
        count = min(count, available.accelerators // amounts.accelerators)
    return max(0, count)


def compute_max_free_fraction(amounts: Amounts, available: Amounts, capacity: Amounts) -> float:
    """Return the larger fraction of processors or memory that a task leaves free on a worker."""
    return max(
        (available.processors - amounts.processors) / max(1, capacity.processors),
        (available.memory_mb - amounts.memory_mb) / max(1, capacity.memory_mb),
    )


def pack_gang(
    amounts: Amounts,
    size: int,
    available_by_worker: Sequence[tuple[str, Amounts]],
    *,
    limit_per_worker: int = 0,
) -> Counter[str] | None:
    """Return how many members of a gang go to each worker, or None if they do not all fit.

    Uses as few workers as possible: those that fit most members come first.
    """
    counts = [
        (count_fitting(amounts, available), worker) for worker, available in available_by_worker
    ]
    if limit_per_worker:
        counts = [(min(count, limit_per_worker), worker) for count, worker in counts]
    counts.sort(key=lambda item: -item[0])
    members: Counter[str] = Counter()
    remaining = size
    for count, worker in counts:
        if remaining == 0 or count == 0:
            break
        members[worker] = min(count, remaining)
        remaining -= members[worker]
    return members if remaining == 0 else None


class CandidateQueue(Generic[W]):
    """Candidates for the tasks of one step by score; a score of None excludes a candidate.

    A placement changes the score of the chosen candidate only, so no other is scored again.
    """

    def __init__(self, candidates: Iterable[W], *, score: Callable[[W], float | None]) -> None:
        self._candidates = list(candidates)
        self._score = score
        self._heap: list[tuple[float, int]] = []
        for number in range(len(self._candidates)):
            self._push(number)
        self._taken: int | None = None

    def _push(self, number: int) -> None:
        value = self._score(self._candidates[number])
        if value is not None:
            heapq.heappush(self._heap, (value, number))

    def take(self, *, avoided: Collection[W] = ()) -> W | None:
        """Return the candidate with the lowest score, one to avoid only if there are no others."""
        if self._taken is not None:
            self._push(self._taken)
        passed = []
        number = None
        while self._heap:
            entry = heapq.heappop(self._heap)
            if self._candidates[entry[1]] not in avoided:
                number = entry[1]
                break
            passed.append(entry)
        if number is None and passed and len(avoided) == len(self._candidates):
            number = passed.pop(0)[1]
        for entry in passed:
            heapq.heappush(self._heap, entry)
        self._taken = number
        return None if number is None else self._candidates[number]
