"""Commits the ends of tasks in batches, each in one log entry."""

from dataclasses import dataclass, field

import anyio

from ..replication.replica import Replica
from ..schema import cell_pb2, jobs_pb2
from ..utils.timers import Signal

MAX_BATCH_ENDS = 1000  # Ends in one log entry, about 60 KB.


@dataclass(slots=True)
class EndBatch:
    """Task ends of one worker that wait for their commit."""

    ends: list[jobs_pb2.TaskEnd]
    committed: anyio.Event = field(default_factory=anyio.Event)


class EndReporter:
    """Proposes together the task ends that arrive while a proposal is in flight."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._batches: list[EndBatch] = []
        self._wake = Signal()

    async def commit(self, ends: list[jobs_pb2.TaskEnd]) -> None:
        """Wait until ends are committed, or forever if leadership is lost before."""
        if not ends:
            return
        batch = EndBatch(ends)
        self._batches.append(batch)
        self._wake.set()
        await batch.committed.wait()

    async def run(self) -> None:
        """Commit batches until cancelled; raise `DewspindleError` if leadership is lost."""
        while True:
            event = self._wake.event
            if not self._batches:
                await event.wait()
                continue
            await self._commit_batches()

    async def _commit_batches(self) -> None:
        chosen: list[EndBatch] = []
        count = 0
        while self._batches and count < MAX_BATCH_ENDS:
            chosen.append(self._batches.pop(0))
            count += len(chosen[-1].ends)
        report = jobs_pb2.ReportEnds(ends=[end for batch in chosen for end in batch.ends])
        await self._replica.propose(cell_pb2.Command(report_ends=report))
        for batch in chosen:
            batch.committed.set()
