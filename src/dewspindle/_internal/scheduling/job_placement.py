"""Which workers get the tasks of a step.

Answers a fleet that is nearly full: tasks fill the workers that leave least behind, so that wide
gangs of large tasks still find whole workers.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from typing import TypeVar

from ..models.resources import Amounts

W = TypeVar("W")

UNBOUNDED = 1_000_000  # Tasks that need nothing and go to one worker.


def count_fitting(amounts: Amounts, room: Amounts) -> int:
    """Return how many tasks of some amounts a room holds."""
    count = UNBOUNDED
    if amounts.processors > 0:
        count = room.processors // amounts.processors
    if amounts.memory_mb > 0:
        count = min(count, room.memory_mb // amounts.memory_mb)
    if amounts.accelerators > 0:
        count = min(count, room.accelerators // amounts.accelerators)
    return max(0, count)


def compute_max_free_fraction(amounts: Amounts, room: Amounts, capacity: Amounts) -> float:
    """Return the largest share of a worker that stays free beside a task."""
    rest = room - amounts
    return max(
        rest.processors / max(1, capacity.processors),
        rest.memory_mb / max(1, capacity.memory_mb),
    )


def pack_gang(
    amounts: Amounts,
    size: int,
    rooms: Sequence[tuple[str, Amounts]],
    *,
    limit_per_worker: int = 0,
) -> Counter[str] | None:
    """Return how many members go to each worker, or None where they do not all fit.

    Uses few workers: those that hold most members come first.
    """
    fits = [(count_fitting(amounts, room), worker) for worker, room in rooms]
    if limit_per_worker:
        fits = [(min(count, limit_per_worker), worker) for count, worker in fits]
    fits.sort(key=lambda item: -item[0])
    chosen: Counter[str] = Counter()
    left = size
    for count, worker in fits:
        if left == 0 or count == 0:
            break
        chosen[worker] = min(count, left)
        left -= chosen[worker]
    return chosen if left == 0 else None


def choose_worker(candidates: Iterable[W], *, score: Callable[[W], float | None]) -> W | None:
    """Return the candidate with the lowest score; None scores do not fit."""
    best: W | None = None
    best_score = float("inf")
    for candidate in candidates:
        value = score(candidate)
        if value is not None and value < best_score:
            best, best_score = candidate, value
    return best
