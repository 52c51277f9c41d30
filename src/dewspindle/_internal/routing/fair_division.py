"""Max-min fair division of a backend server's slots."""

from collections.abc import Mapping
from functools import lru_cache
from typing import TypeVar

import google_crc32c

N = TypeVar("N", bound=str)


@lru_cache(maxsize=65536)
def _hash(salt: str, name: str) -> int:
    return int(google_crc32c.value(f"{salt}{name}".encode()))


def divide_fairly(total: int, demands: Mapping[N, int], *, salt: str = "") -> dict[N, int]:
    """Return a max-min fair division: no share can grow without cutting a share that is no larger.

    A remainder that cannot be divided evenly is given out one by one, in an order that depends on
    the salt, so that over many divisions no participant is always last.
    """
    if sum(demands.values()) <= total:
        return dict(demands)
    granted = dict.fromkeys(demands, 0)
    remaining = total
    unsatisfied = [name for name, demand in demands.items() if demand > 0]
    unsatisfied.sort(key=lambda name: _hash(salt, name))
    while unsatisfied and remaining > 0:
        each = max(1, remaining // len(unsatisfied))
        for name in unsatisfied:
            extra = min(each, demands[name] - granted[name], remaining)
            granted[name] += extra
            remaining -= extra
        unsatisfied = [name for name in unsatisfied if granted[name] < demands[name]]
    return granted
