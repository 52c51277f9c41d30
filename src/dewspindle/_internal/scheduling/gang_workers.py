"""Choice of the workers that are set aside for a gang that does not fit yet.

Answers the load of a nearly full fleet in which small tasks take each free part of a worker before
a wide gang finds enough of them. The gang keeps the workers on which its tasks are expected to fit
first; other tasks run there meanwhile only if they are expected to end in time.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from ..models.resources import Amounts
from .job_placement import count_fitting


@dataclass(frozen=True, slots=True)
class Release:
    """Capacity of a worker that is expected to become free."""

    at: float
    amounts: Amounts


@dataclass(frozen=True, slots=True)
class WorkerOutlook:
    """The free capacity of a worker now and its expected releases, in order of time."""

    worker: str
    free: Amounts
    releases: Sequence[Release]


@dataclass(frozen=True, slots=True)
class GangWorkers:
    """Workers that a gang keeps, and when it is expected to fit on them."""

    workers: frozenset[str]
    ready_at: float


def choose_earliest_workers(
    amounts: Amounts,
    size: int,
    outlooks: Sequence[WorkerOutlook],
    *,
    now: float,
    limit_per_worker: int = 0,
) -> GangWorkers | None:
    """Return the workers on which a gang is expected to fit first, or None if it never does."""
    limit = limit_per_worker or size
    free = {outlook.worker: outlook.free for outlook in outlooks}
    counts = {worker: min(limit, count_fitting(amounts, free[worker])) for worker in free}
    total = sum(counts.values())
    ready_at = now
    events = [
        (release.at, outlook.worker, release.amounts)
        for outlook in outlooks
        for release in outlook.releases
    ]
    events.sort(key=lambda event: event[0])
    for at, worker, released in events:
        if total >= size:
            break
        free[worker] += released
        total -= counts[worker]
        counts[worker] = min(limit, count_fitting(amounts, free[worker]))
        total += counts[worker]
        ready_at = max(now, at)
    if total < size:
        return None
    return GangWorkers(_choose_fewest(counts, size), ready_at)


def _choose_fewest(counts: dict[str, int], size: int) -> frozenset[str]:
    """Return as few workers as hold a gang together."""
    chosen = []
    remaining = size
    for worker in sorted(counts, key=lambda name: -counts[name]):
        if remaining <= 0:
            break
        chosen.append(worker)
        remaining -= counts[worker]
    return frozenset(chosen)
