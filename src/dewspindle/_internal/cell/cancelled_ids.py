"""Ids of jobs that were cancelled before their submission arrived."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from ..schema.jobs_pb2 import Job, JobCancellation


class _JobPath(NamedTuple):
    """Where callers find a job."""

    host: str
    path_prefix: str
    id: str


class CancelledIds:
    """Cancellations of unknown jobs, which hold for submissions that are still under way."""

    def __init__(self, messages: Iterable[JobCancellation] = ()) -> None:
        # By team of the caller. The paths are in the order of their newest cancellation.
        self._by_path: dict[_JobPath, dict[str, JobCancellation]] = {}
        for message in messages:
            self.add(message, at_ms=message.at_ms)

    def __iter__(self) -> Iterator[JobCancellation]:
        for by_team in self._by_path.values():
            yield from by_team.values()

    def __len__(self) -> int:
        return len(self._by_path)

    def add(self, cancellation: JobCancellation, *, at_ms: int) -> None:
        """Remember a cancellation."""
        path = _JobPath(cancellation.host, cancellation.path_prefix, cancellation.id)
        cancellation.at_ms = at_ms
        by_team = self._by_path.pop(path, {})
        by_team[cancellation.team] = cancellation
        self._by_path[path] = by_team

    def includes(self, job: Job) -> bool:
        """Return whether a job was cancelled by a caller that may cancel it."""
        by_team = self._by_path.get(_JobPath(job.queue.host, job.queue.path_prefix, job.id), {})
        return job.team in by_team if job.team else bool(by_team)

    def expire(self, before_ms: int) -> None:
        """Forget cancellations before a point in log time."""
        while self._by_path:
            path, by_team = next(iter(self._by_path.items()))
            if max(cancellation.at_ms for cancellation in by_team.values()) >= before_ms:
                return
            del self._by_path[path]
