"""Tells a worker that does not answer from a network that loses answers.

Answers two loads: calls of which many get no answer all over the fleet, which must leave no sound
worker out, and single workers that hang or are cut off, which must be left out after two orders.
"""

import math
import statistics
from collections.abc import Iterable

HALF_LIFE_S = 2.0  # Of a call's weight.
MIN_CALLS = 2.0  # Weight below which the calls of a worker say nothing about the network.
MIN_WORKERS = 3  # With fewer, a lost answer is more likely a worker's fault than the network's.
# Highest probability at which the network alone would have lost so many answers in a row.
MAX_FALSE_SUSPICION = 0.01
MIN_UNANSWERED = 2  # The network may lose a single answer at any time.
MAX_UNANSWERED = 8
MAX_SUSPENDED_FRACTION = 0.25  # Of the fleet, for unanswered orders.


class AnswerCounts:
    """Weights of a worker's recent calls that were answered and that were not."""

    __slots__ = ("_answered", "_unanswered", "_updated_at")

    def __init__(self) -> None:
        self._answered = 0.0
        self._unanswered = 0.0
        self._updated_at = 0.0

    def record(self, *, is_answered: bool, now: float) -> None:
        """Count a call."""
        factor = self._get_factor(now)
        self._answered = self._answered * factor + is_answered
        self._unanswered = self._unanswered * factor + (not is_answered)
        self._updated_at = now

    def _get_factor(self, now: float) -> float:
        return float(0.5 ** ((now - self._updated_at) / HALF_LIFE_S))

    def compute_loss(self, now: float) -> float | None:
        """Return the share of calls without an answer, or None if there were too few calls."""
        calls = self._answered + self._unanswered
        if calls * self._get_factor(now) < MIN_CALLS:
            return None
        return self._unanswered / calls


def compute_network_loss(counts: Iterable[AnswerCounts], now: float) -> float:
    """Return the share of answers that the network loses: the median over the workers.

    A few workers that hang do not change it.
    """
    losses = [loss for loss in (each.compute_loss(now) for each in counts) if loss is not None]
    return statistics.median(losses) if len(losses) >= MIN_WORKERS else 0.0


def count_suspicious(network_loss: float) -> int:
    """Return how many orders a worker must leave unanswered in a row to be suspected."""
    if network_loss <= 0.0:
        return MIN_UNANSWERED
    if network_loss >= 1.0:
        return MAX_UNANSWERED
    needed = math.log(MAX_FALSE_SUSPICION) / math.log(network_loss)
    return min(MAX_UNANSWERED, max(MIN_UNANSWERED, math.ceil(round(needed, 6))))
