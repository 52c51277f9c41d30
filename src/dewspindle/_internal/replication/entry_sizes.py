"""Sizes of consecutive log entries."""

from bisect import bisect_left

from ..schema import peers_pb2
from .frames import HEADER

# Fields of an entry besides its command: index, term and their tags.
_ENTRY_OVERHEAD_BYTES = HEADER.size + 24


class EntrySizes:
    """Running totals of the bytes that consecutive entries take in a log file."""

    def __init__(self) -> None:
        # Total through each entry, preceded by that of the entries before them.
        self._totals = [0]

    def add(self, entry: peers_pb2.Entry) -> None:
        """Add the next entry."""
        self._totals.append(self._totals[-1] + len(entry.command) + _ENTRY_OVERHEAD_BYTES)

    def count_bytes(self, start: int, end: int) -> int:
        """Return the bytes of the entries from position `start` up to `end`, which is excluded."""
        return self._totals[end] - self._totals[start]

    def find_start(self, end: int, *, max_bytes: int) -> int:
        """Return the first position from which the entries up to `end` fit in some bytes."""
        return bisect_left(self._totals, self._totals[end] - max_bytes, hi=end)

    def drop_first(self, count: int) -> None:
        """Drop entries from the start."""
        del self._totals[:count]

    def drop_from(self, position: int) -> None:
        """Drop the entry at a position and all entries after it."""
        del self._totals[position + 1 :]
