"""Moving the time from a step, in strides that each come under the harness's limit alone."""

from typing import Any

STRIDE_S = 1.0


def advance(context: Any, seconds: float) -> None:
    """Move the time of the scenario's cell."""
    left = float(seconds)
    while left > 0:
        context.run(context.cell.clock.advance(min(STRIDE_S, left)))
        left -= STRIDE_S
