"""Workers that are kept for gangs which do not fit yet.

Answers a fleet that small tasks keep nearly full: a gang of large tasks needs many workers empty
at the same moment, which never comes by itself. Workers are kept from round to round, so that
they drain. Few are kept at a time, as what drains stands partly idle meanwhile.
"""

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar

K = TypeVar("K")

KEPT_SHARE = 0.1  # Of the workers, where more than one gang waits; half served fewer jobs in time.


@dataclass(frozen=True, slots=True)
class Fit:
    """How many members of a gang a worker holds."""

    now: int
    when_empty: int


class Reservations(Generic[K]):
    """Which gang each worker is kept for."""

    def __init__(self) -> None:
        self._holders: dict[str, K] = {}
        self._ranks: dict[K, tuple[float, ...]] = {}

    def __len__(self) -> int:
        return len(self._holders)

    def is_open(self, worker: str, *, to: K) -> bool:
        """Tell whether a gang may use a worker."""
        return self._holders.get(worker, to) == to

    def may_pass(self, worker: str, rank: tuple[float, ...]) -> bool:
        """Tell whether a step of a rank may use a worker: one that nobody waits for longer."""
        holder = self._holders.get(worker)
        return holder is None or rank < self._ranks[holder]

    def is_free(self, worker: str) -> bool:
        """Tell whether a worker is kept for nobody."""
        return worker not in self._holders

    def release(self, gang: K) -> None:
        """Keep nothing for a gang any more."""
        self._holders = {w: holder for w, holder in self._holders.items() if holder != gang}
        self._ranks.pop(gang, None)

    def keep_only(self, *, is_waiting: Callable[[K], bool], usable: Collection[str]) -> None:
        """Give up workers that cannot be used, and those of gangs that wait no more."""
        self._holders = {
            worker: holder
            for worker, holder in self._holders.items()
            if worker in usable and is_waiting(holder)
        }
        holders = set(self._holders.values())
        self._ranks = {gang: rank for gang, rank in self._ranks.items() if gang in holders}

    def top_up(
        self,
        gang: K,
        *,
        size: int,
        rank: tuple[float, ...],
        fits: Mapping[str, Fit],
        workers: int,
    ) -> bool:
        """Keep workers until they hold a gang once empty; return whether that could be done.

        Takes those with most room now, as they are empty first. `workers` is the fleet's size.
        """
        kept = [worker for worker in fits if self._holders.get(worker) == gang]
        missing = size - sum(fits[worker].when_empty for worker in kept)
        others = [w for w in fits if w not in self._holders and fits[w].when_empty > 0]
        others.sort(key=lambda worker: -fits[worker].now)
        chosen: list[str] = []
        for worker in others:
            if missing <= 0:
                break
            missing -= fits[worker].when_empty
            chosen.append(worker)
        is_only_one = all(holder == gang for holder in self._holders.values())
        is_too_much = len(self._holders) + len(chosen) > workers * KEPT_SHARE
        if missing > 0 or (is_too_much and not is_only_one):
            self.release(gang)
            return False
        self._holders.update(dict.fromkeys(chosen, gang))
        self._ranks[gang] = rank
        return True
