"""Percentiles, linear fits and JSON output of measured values."""

import json
import math
import sys
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Fit:
    """A line fitted to measured points, with its error."""

    slope: float
    intercept: float
    max_relative_error: float  # Relative to the measured value.


def compute_percentile(values: Sequence[float], percent: float) -> float:
    """Return a percentile by the nearest-rank method."""
    ordered = sorted(values)
    rank = max(1, math.ceil(percent / 100 * len(ordered)))
    return ordered[rank - 1]


def summarize_ms(seconds: Sequence[float]) -> dict[str, float]:
    """Return the 50th, 95th and 99th percentiles of durations, in milliseconds."""
    return {
        f"p{percent}_ms": round(compute_percentile(seconds, percent) * 1000, 3)
        for percent in (50, 95, 99)
    }


def fit_line(points: Sequence[tuple[float, float]]) -> Fit:
    """Return the least-squares fit of a line to points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    sum_squares_x = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_squares_x
    intercept = mean_y - slope * mean_x
    errors = [abs(slope * x + intercept - y) / y for x, y in points if y]
    return Fit(slope=slope, intercept=intercept, max_relative_error=max(errors, default=0.0))


def print_measurement(name: str, results: dict[str, Any]) -> None:
    """Print the results of a measurement as one JSON object."""
    json.dump({"measurement": name, **results}, sys.stdout, default=_encode)
    print(flush=True)


def _encode(value: Any) -> Any:
    return asdict(value)
