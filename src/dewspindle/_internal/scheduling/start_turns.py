"""Turns of steps that have waited long, in which they come before those of higher rank.

Answers a backlog of many ready steps beside free workers. Then not workers are short but what leads
to a start: advice, starts a second, or room below the cap of a team. In rank order the last steps
would get none of it as long as others arrive.
"""

import heapq
from collections.abc import Collection, Iterable
from typing import Generic, TypeVar

K = TypeVar("K")

STALLED_AFTER_S = 1.0  # Without a start, although the step is ready.
MAX_TURNS = 32  # At a time.
TURN_S = 2.0  # After it others have their turn, if any wait for one.
MIN_TURN_S = 0.25  # Also if the step can do nothing.


class StartTurns(Generic[K]):
    """Tracks since when each ready step has no start, and which steps have their turn."""

    def __init__(self) -> None:
        self._stalled_since: dict[K, float] = {}
        self._queued_since: dict[K, float] = {}  # For a turn, also after an earlier one.
        self._turns: dict[K, float] = {}  # With the time of their begin.
        self._held: set[K] = set()  # Turns that go on until a start.

    def has_stalled(self, key: K, *, now: float) -> bool:
        """Return whether a ready step has had no start for long."""
        return now - self._stalled_since.get(key, now) >= STALLED_AFTER_S

    def list_turns(self) -> list[K]:
        """Return the steps that have their turn, those of the earliest turn first."""
        return list(self._turns)

    def update(self, ready: Iterable[K], *, eligible: Collection[K], now: float) -> None:
        """Follow the steps that are ready, and choose those of the eligible ones with a turn."""
        before, queued = self._stalled_since, self._queued_since
        self._stalled_since = {key: before.get(key, now) for key in ready}
        self._queued_since = {key: queued.get(key, at) for key, at in self._stalled_since.items()}
        for key, began_at in list(self._turns.items()):
            if key not in self._stalled_since or key not in eligible:
                self._end(key)
            elif now - began_at >= TURN_S and key not in self._held:
                self._end(key)
                self._queued_since[key] = now
        waiting = (
            (self._queued_since[key], number, key)
            for number, key in enumerate(self._stalled_since)
            if key in eligible and key not in self._turns and self.has_stalled(key, now=now)
        )
        for _, _, key in heapq.nsmallest(MAX_TURNS - len(self._turns), waiting):
            self._turns[key] = now

    def hold(self, key: K) -> None:
        """Let a turn go on until a start."""
        if key in self._turns:
            self._held.add(key)

    def release_idle(self, key: K, *, now: float) -> None:
        """End the turn of a step that can do nothing in it."""
        began_at = self._turns.get(key, now)
        if key not in self._held and now - began_at >= MIN_TURN_S:
            self._end(key)
            self._queued_since[key] = now

    def record_start(self, key: K, *, now: float) -> None:
        """Record that a task of a step starts; others may follow in the same turn."""
        self._held.discard(key)
        if key not in self._turns:
            self._stalled_since[key] = self._queued_since[key] = now

    def _end(self, key: K) -> None:
        del self._turns[key]
        self._held.discard(key)
