"""Fair division of a backend server's slots."""

from collections.abc import Mapping
from functools import lru_cache
from typing import TypeVar

import google_crc32c

N = TypeVar("N", bound=str)


@lru_cache(maxsize=65536)
def _rank(salt: str, name: str) -> int:
    return int(google_crc32c.value(f"{salt}{name}".encode()))


def divide_fairly(total: int, wants: Mapping[N, int], *, salt: str = "") -> dict[N, int]:
    """Return a max-min fair division: nobody gets more by another getting less than it.

    What cannot be divided evenly goes one each, in an order that the salt decides, so that over
    many divisions nobody is always last.
    """
    if sum(wants.values()) <= total:
        return dict(wants)
    given = dict.fromkeys(wants, 0)
    left = total
    hungry = [name for name, want in wants.items() if want > 0]
    hungry.sort(key=lambda name: _rank(salt, name))
    while hungry and left > 0:
        each = max(1, left // len(hungry))
        for name in hungry:
            extra = min(each, wants[name] - given[name], left)
            given[name] += extra
            left -= extra
        hungry = [name for name in hungry if given[name] < wants[name]]
    return given
