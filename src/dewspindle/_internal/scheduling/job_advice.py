"""Choice of the workers that an advisor request lists for a step.

Only some workers of a fleet may run a step, and the advisor's decision time grows with each worker
listed. A request therefore lists few workers, those that fit most tasks first. For each worker
that it approves, the advisor issues a ticket, which is needed to start a task there.
"""

from collections.abc import Collection, Mapping

MAX_LISTED_WORKERS = 100  # Limit of one advisor request.
DECISION_TIME_FRACTION = 0.5  # Time added by the listed workers, relative to `decision_ms`.
MIN_LISTED_WORKERS = 8  # The advisor approves only some of those listed.


def choose_advice_candidates(
    fitting_tasks: Mapping[str, int],
    *,
    approved_before: Collection[str],
    needed: int,
    may_include_full: bool,
    is_gang: bool = False,
    decision_ms: float,
    per_worker_ms: float,
) -> list[str]:
    """Return the workers to list, given how many tasks fit on each.

    Workers that were approved before stay approved, so no others are listed if they fit all
    tasks. Full workers may have free capacity by the time of the answer, so they are listed if
    no other worker is left, but not in addition to workers that are already approved. A gang
    waits for full workers to drain and needs all its tickets at the same time, so its request
    always includes them.
    """
    affordable = int(decision_ms * DECISION_TIME_FRACTION / max(per_worker_ms, 0.001))
    count = min(MAX_LISTED_WORKERS, max(MIN_LISTED_WORKERS, affordable, needed))
    if is_gang:
        return sorted(fitting_tasks, key=lambda w: -fitting_tasks[w])[:count]
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
