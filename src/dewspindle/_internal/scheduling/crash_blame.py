"""Decides when a task is given up because its workers crash.

Answers two loads: tasks that crash each worker that starts them, which would take one sound worker
after the other from all other tasks; and workers that crash by themselves, many at once too, whose
tasks must not be given up. All tasks on a crashed worker are suspect, and are then placed on
different workers where possible. The newest task on a worker is the likeliest cause of its crash.
"""

from dataclasses import dataclass

MAX_CRASHES = 4  # After which a task is given up, whatever else ran on its workers.
MAX_CRASHES_IF_NEWEST = 3  # The same, if it was the newest task on the last worker.
MAX_CRASHES_AS_NEWEST = 2  # The same, if it was the newest task on each of that many workers.
# Tasks that started within this time of each other count as equally new.
NEWEST_WINDOW_S = 0.1
# A lasting task that has run for longer is not blamed for a crash of its worker.
MAX_BLAMED_RUN_S = 10.0


@dataclass(frozen=True, slots=True)
class CrashHistory:
    """The crashes under one task, the last one included."""

    crashes: int
    crashes_as_newest: int  # Those before which no other task had started later on its worker.
    was_newest: bool  # On the last worker.


def may_be_blamed(*, is_lasting: bool, ran_s: float) -> bool:
    """Return whether a task may have crashed its worker."""
    return not is_lasting or ran_s <= MAX_BLAMED_RUN_S


def was_newest(placed_at: float, last_placed_at: float) -> bool:
    """Return whether a task was among the newest of its worker."""
    return placed_at >= last_placed_at - NEWEST_WINDOW_S


def should_give_up(history: CrashHistory) -> bool:
    """Return whether a task is given up after the last crash."""
    return (
        history.crashes >= MAX_CRASHES
        or (history.was_newest and history.crashes >= MAX_CRASHES_IF_NEWEST)
        or history.crashes_as_newest >= MAX_CRASHES_AS_NEWEST
    )
