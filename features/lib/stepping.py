"""Advancing the clock from a step, in strides that are each subject to the step limits alone."""

from typing import Any

MAX_STRIDE_S = 1.0


def advance(context: Any, seconds: float) -> None:
    """Advance the clock of the scenario's cell."""
    remaining_s = float(seconds)
    while remaining_s > 0:
        context.run(context.cell.clock.advance(min(MAX_STRIDE_S, remaining_s)))
        remaining_s -= MAX_STRIDE_S
