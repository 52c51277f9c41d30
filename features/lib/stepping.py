"""Moving the time from a step, in strides that each come under the harness's limit alone."""

from typing import Any

MAX_STRIDE_S = 1.0


def advance(context: Any, seconds: float) -> None:
    """Move the time of the scenario's cell."""
    remaining_s = float(seconds)
    while remaining_s > 0:
        context.run(context.cell.clock.advance(min(MAX_STRIDE_S, remaining_s)))
        remaining_s -= MAX_STRIDE_S
