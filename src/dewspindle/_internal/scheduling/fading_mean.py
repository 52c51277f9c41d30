"""Mean of recent values, of which older ones count less."""

import math
from dataclasses import dataclass

# Lowest standard deviation of a value. Few values that happen to be alike would otherwise make a
# mean seem certain.
MIN_DEVIATION = 0.08


@dataclass(slots=True)
class FadingMean:
    """Mean and variance whose weight is halved in each half-life and limited to a window."""

    half_life_s: float
    window: float  # Largest number of values that count in full.
    mean: float = 0.0
    _variance: float = 0.0
    _weight: float = 0.0
    _updated_at: float = 0.0

    def get_weight(self, now: float) -> float:
        """Return how many recent values the mean stands for."""
        if not self._weight:
            return 0.0
        age_s = max(0.0, now - self._updated_at)
        return float(self._weight * 0.5 ** (age_s / self.half_life_s))

    def get_age_s(self, now: float) -> float:
        """Return how long ago the last value was added."""
        return max(0.0, now - self._updated_at)

    def add(self, value: float, now: float) -> None:
        """Add a value."""
        self._weight = min(self.get_weight(now) + 1.0, self.window)
        share = 1.0 / self._weight
        difference = value - self.mean
        self.mean += share * difference
        self._variance = (1.0 - share) * (self._variance + share * difference**2)
        self._updated_at = max(self._updated_at, now)

    def compute_error(self, now: float) -> float:
        """Return the standard error of the mean, infinity without values."""
        weight = self.get_weight(now)
        if weight <= 0.0:
            return math.inf
        return math.sqrt(max(self._variance, MIN_DEVIATION**2) / weight)
