"""Where tasks of an inherited step may run that no worker has listed yet.

Answers a change of leader while some workers are cut off or gone. Work that an earlier leader may
have started on one of them must not start elsewhere until its lease is over. A step that none of
them may run need not wait.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SilentWorker:
    """A worker that has not told this leader yet what runs on it."""

    id: str
    labels: Collection[str]


def list_possible_workers(
    silent: Iterable[SilentWorker], *, required_label: str, refused: Collection[str]
) -> list[str]:
    """Return the silent workers on which tasks of a step may run.

    The advisor's decision on a worker does not change, and a worker starts nothing without it. So
    no task of the step runs on a worker that the advisor refuses for it.
    """
    return [
        worker.id
        for worker in silent
        if worker.id not in refused and (not required_label or required_label in worker.labels)
    ]
