"""Advancing the clock from a step.

The limits of `environment.run_limited` apply to each stride, not to the sum of a long step.
"""

from typing import Any

MAX_STRIDE_S = 1.0


def advance(context: Any, seconds: float) -> None:
    """Advance the clock of the scenario's cell."""
    remaining_s = float(seconds)
    while remaining_s > 0:
        context.run(context.cell.clock.advance(min(MAX_STRIDE_S, remaining_s)))
        remaining_s -= MAX_STRIDE_S
