"""Multi-step jobs in the replicated state."""

from collections.abc import Iterable, Mapping

from ..models.ids import JobId
from ..models.jobs import JobLayout, TaskRef
from ..models.resources import Amounts, make_amounts
from ..schema import jobs_pb2
from ..schema.jobs_pb2 import JOB_OPEN
from .cancelled_ids import CancelledIds


class StoredJob:
    """An accepted job and the progress of its tasks, as replicated in the cell state."""

    __slots__ = ("_has_crashes", "_layout", "_message", "_unfinished_units")

    def __init__(self, message: jobs_pb2.Job) -> None:
        self._message = message
        self._layout = JobLayout(message.spec)
        units = [unit.first_position for unit in self._layout.list_units()]
        self._has_crashes = any(progress.crashes for progress in message.tasks.values())
        self._unfinished_units = sum(not self.is_done(position) for position in units)

    @property
    def id(self) -> JobId:
        """Return the job id."""
        return JobId(self._message.id)

    @property
    def message(self) -> jobs_pb2.Job:
        """Return the job as it is stored in the cell state."""
        return self._message

    @property
    def team(self) -> str:
        """Return the team that submitted the job, empty if it is not known."""
        return self._message.team

    @property
    def layout(self) -> JobLayout:
        """Return the mapping between task positions and steps."""
        return self._layout

    @property
    def is_open(self) -> bool:
        """Return whether the job has not ended."""
        return self._message.state == JOB_OPEN

    @property
    def has_succeeded(self) -> bool:
        """Return whether every task has succeeded."""
        return self._unfinished_units == 0

    def make_ref(self, position: int) -> TaskRef:
        """Return the reference by which orders name the task at a position."""
        return TaskRef(self.id, *self._layout.locate(position))

    def get_amounts(self, position: int) -> Amounts:
        """Return what the task at a position takes on its worker."""
        _, step, _ = self._layout.locate(position)
        return make_amounts(self._message.spec.steps[step].resources)

    def is_done(self, position: int) -> bool:
        """Return whether the task at a position, or its gang, has succeeded."""
        unit_position = self._layout.get_unit_position(position)
        return unit_position in self._message.tasks and self._message.tasks[unit_position].done

    def get_progress(self, position: int) -> jobs_pb2.TaskProgress | None:
        """Return the progress stored at a position, or None.

        The first position of a gang also holds the progress of the whole gang, which exists
        from the first end of any of its tasks.
        """
        return self._message.tasks.get(position)

    @property
    def has_crashes(self) -> bool:
        """Return whether a worker is known to have crashed under any task."""
        return self._has_crashes

    def count_crashes(self, position: int) -> int:
        """Return how many workers are known to have crashed under the task at a position."""
        progress = self.get_progress(position)
        return 0 if progress is None else progress.crashes

    def count_crashes_as_newest(self, position: int) -> int:
        """Return how many of the crashes came while no later task ran on the worker."""
        progress = self.get_progress(position)
        return 0 if progress is None else progress.crashes_as_newest

    def apply_end(self, end: jobs_pb2.TaskEnd) -> bool:
        """Record a task end, or a crash that ended it, and return whether it was new."""
        progress = self._message.tasks[end.position]
        is_new_crash = (
            end.kind == jobs_pb2.END_CRASHED and end.attempt > progress.last_crashed_attempt
        )
        if is_new_crash:
            progress.last_crashed_attempt = end.attempt
            progress.crashes += 1
            self._has_crashes = True
            progress.crashes_as_newest += end.was_newest
        if end.attempt <= progress.last_ended_attempt:
            return is_new_crash
        progress.last_ended_attempt = end.attempt
        unit_progress = self._message.tasks[self._layout.get_unit_position(end.position)]
        if end.checkpoint:
            unit_progress.checkpoint = end.checkpoint
        is_long_running = self._message.spec.steps[
            self._layout.locate(end.position)[1]
        ].long_running
        if end.kind == jobs_pb2.END_DONE and not unit_progress.done and not is_long_running:
            unit_progress.done = True
            self._unfinished_units -= 1
        elif end.kind == jobs_pb2.END_FAILED and end.attempt > unit_progress.last_failed_attempt:
            # All tasks of a gang share an attempt, so their failures count once.
            unit_progress.last_failed_attempt = end.attempt
            unit_progress.failures += 1
        return True

    def has_exhausted_attempts(self, position: int) -> bool:
        """Return whether the failures of a task, or of its gang, have reached `max_attempts`.

        The limit is that of the queue at the job's acceptance. Attempts that ended in another
        way than a failure do not count.
        """
        _, step, _ = self._layout.locate(position)
        if self._message.spec.steps[step].long_running:
            return False
        unit_progress = self.get_progress(self._layout.get_unit_position(position))
        limit = self._message.queue.max_attempts
        return (
            unit_progress is not None
            and not unit_progress.done
            and 0 < limit <= unit_progress.failures
        )

    def belongs_to(self, queue: jobs_pb2.Queue) -> bool:
        """Return whether the job was submitted to a queue, whatever its settings are by now."""
        return self.is_of_queue(queue.host, queue.path_prefix)

    def is_of_queue(self, host: str, path_prefix: str) -> bool:
        """Return whether the job was submitted to the queue at a host and path prefix."""
        own = self._message.queue
        return (own.host, own.path_prefix) == (host, path_prefix)


class JobStore:
    """All known jobs, and the called workers and queues that they use."""

    def __init__(self) -> None:
        self.jobs: dict[JobId, StoredJob] = {}
        self.cancelled_ids = CancelledIds()
        self.workers: dict[str, jobs_pb2.CalledWorker] = {}
        self._queue_table = jobs_pb2.QueueTable()
        self._teams: dict[str, jobs_pb2.Team] = {}
        self._team_by_key: dict[bytes, jobs_pb2.Team] = {}  # By digest.
        self._queues: dict[str, dict[str, jobs_pb2.Queue]] = {}  # By host, then path prefix.
        self._prefix_lengths: dict[str, list[int]] = {}  # By host, without doubles, longest first.

    @property
    def queue_table(self) -> jobs_pb2.QueueTable:
        """Return the current queue table."""
        return self._queue_table

    @queue_table.setter
    def queue_table(self, table: jobs_pb2.QueueTable) -> None:
        self._queue_table = table
        self._teams = {team.name: team for team in table.teams}
        self._team_by_key = {digest: team for team in table.teams for digest in team.key_digests}
        self._queues = {}
        for queue in table.queues:
            self._queues.setdefault(queue.host, {})[queue.path_prefix] = queue
        self._prefix_lengths = {
            host: sorted({len(prefix) for prefix in by_prefix}, reverse=True)
            for host, by_prefix in self._queues.items()
        }

    @property
    def teams(self) -> Mapping[str, jobs_pb2.Team]:
        """Return the configured teams by name."""
        return self._teams

    def find_team_by_key(self, key_digest: bytes) -> jobs_pb2.Team | None:
        """Return the team that holds a key, or None."""
        return self._team_by_key.get(key_digest)

    def add(self, message: jobs_pb2.Job) -> StoredJob:
        """Add a job."""
        job = StoredJob(message)
        self.jobs[job.id] = job
        return job

    def find_queue(self, host: str, path: str) -> jobs_pb2.Queue | None:
        """Return the queue with the longest path prefix that matches, or None."""
        by_prefix = self._queues.get(host, {})
        for length in self._prefix_lengths.get(host, ()):
            queue = by_prefix.get(path[:length])
            if queue is not None:
                return queue
        return None

    def get_current_queue(self, job: StoredJob) -> jobs_pb2.Queue:
        """Return a job's queue as configured now, or as it was at acceptance if it was removed."""
        accepted = job.message.queue
        return self._queues.get(accepted.host, {}).get(accepted.path_prefix, accepted)

    def restore(
        self,
        jobs: Iterable[jobs_pb2.Job],
        workers: Iterable[jobs_pb2.CalledWorker],
        queue_table: jobs_pb2.QueueTable,
        cancelled_ids: Iterable[jobs_pb2.JobCancellation],
    ) -> None:
        """Load the jobs, workers and queues of a snapshot."""
        self.cancelled_ids = CancelledIds(cancelled_ids)
        for message in jobs:
            self.add(message)
        self.workers = {worker.id: worker for worker in workers}
        self.queue_table = queue_table
