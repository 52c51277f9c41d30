"""Turns of steps that have waited long, in which they come before those of higher rank.

Answers a backlog of many ready steps beside free workers. Then not workers are short but what leads
to a start: advice, starts a second, or room below the cap of a team. In rank order the last steps
would get none of it as long as others arrive.
"""

import heapq
from collections.abc import Iterable
from typing import Generic, TypeVar

K = TypeVar("K")

STALLED_AFTER_S = 1.0  # Without a start, although the step is ready.
MAX_TURNS = 32  # At a time.
TURN_S = 3.0  # After it others have their turn, if any wait for one.


class StartTurns(Generic[K]):
    """Tracks since when each ready step has no start, and which steps have their turn."""

    def __init__(self) -> None:
        self._stalled_since: dict[K, float] = {}
        self._queued_since: dict[K, float] = {}  # For a turn, also after an earlier one.
        self._turns: dict[K, float] = {}  # With the time of their begin.

    def get_stalled_since(self, key: K) -> float | None:
        """Return since when a ready step has no start, or None if it is not known."""
        return self._stalled_since.get(key)

    def update(self, ready: Iterable[K], *, now: float) -> None:
        """Follow the steps that are ready, and choose those that have their turn."""
        before, queued = self._stalled_since, self._queued_since
        self._stalled_since = {key: before.get(key, now) for key in ready}
        self._queued_since = {key: queued.get(key, at) for key, at in self._stalled_since.items()}
        for key, began_at in list(self._turns.items()):
            if key not in self._stalled_since:
                del self._turns[key]
            elif now - began_at >= TURN_S:
                del self._turns[key]
                self._queued_since[key] = now
        waiting = (
            (self._queued_since[key], number, key)
            for number, (key, at) in enumerate(self._stalled_since.items())
            if now - at >= STALLED_AFTER_S and key not in self._turns
        )
        for _, _, key in heapq.nsmallest(MAX_TURNS - len(self._turns), waiting):
            self._turns[key] = now

    def record_start(self, key: K) -> None:
        """Record that a task of a step starts, which ends its turn."""
        self._stalled_since.pop(key, None)
        self._queued_since.pop(key, None)
        self._turns.pop(key, None)

    def list_turns(self) -> list[K]:
        """Return the steps that have their turn, those of the earliest turn first."""
        return list(self._turns)
