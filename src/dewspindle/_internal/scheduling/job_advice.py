"""Which workers the advisor is asked about for a step.

Answers a fleet of which only some workers may run a step, and an advisor that takes a time for
each worker named: few are named, those that are likely to be of use first.
"""

from collections.abc import Collection, Mapping

MAX_NAMED = 100  # Workers that one call may name.
NAMING_SHARE = 0.5  # Naming workers may cost this share of the advisor's decision time.
LEAST_NAMED = 8  # Workers named at least, as only some are approved.


def choose_advice_candidates(
    fits: Mapping[str, int],
    *,
    approved_before: Collection[str],
    needed: int,
    may_include_full: bool,
    is_gang: bool = False,
    decision_ms: float,
    per_worker_ms: float,
) -> list[str]:
    """Return the workers to name, given how many tasks fit on each.

    Workers that were approved before stay approved, so they suffice where they have the room.
    Full workers may be free by the answer, so they are named where no other is left, but not
    in addition to workers that are approved already. A gang waits for full workers to drain and
    needs all its tickets at the same moment, so it always names them.
    """
    affordable = int(decision_ms * NAMING_SHARE / max(per_worker_ms, 0.001))
    count = min(MAX_NAMED, max(LEAST_NAMED, affordable, needed))
    if is_gang:
        return sorted(fits, key=lambda w: -fits[w])[:count]
    known = sorted((w for w in approved_before if fits.get(w)), key=lambda w: -fits[w])
    if known and sum(fits[worker] for worker in known) >= needed:
        return known[:MAX_NAMED]
    with_room = [worker for worker in fits if fits[worker] > 0]
    if not with_room and not may_include_full:
        return []
    ranked = sorted(with_room or fits, key=lambda w: -fits[w])
    return ranked[:count]
