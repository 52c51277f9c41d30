"""The open jobs that the leader runs, and lookups of their tasks."""

from collections.abc import Iterator

from ..cell.jobs import JobStore
from ..models.ids import JobId
from ..models.jobs import TaskRef
from ..models.resources import Amounts
from ..scheduling.crash_blame import CrashHistory
from ..schema import jobs_pb2
from .placements import JobTaskKey
from .runs import JobRun, UnitRun, get_last_attempt


class OpenJobs:
    """Open jobs by id."""

    def __init__(self, store: JobStore) -> None:
        self._store = store
        self._runs: dict[JobId, JobRun] = {}

    def __iter__(self) -> Iterator[JobRun]:
        return iter(self._runs.values())

    def __len__(self) -> int:
        return len(self._runs)

    def add(self, run: JobRun) -> None:
        """Add an open job."""
        self._runs[run.stored.id] = run

    def pop(self, job_id: JobId) -> JobRun | None:
        """Remove a job and return it, or None if it is unknown."""
        return self._runs.pop(job_id, None)

    def find_key(self, task: TaskRef) -> JobTaskKey | None:
        """Return the key of a task, of a job that may have ended; None if it is unknown."""
        stored = self._store.jobs.get(task.job)
        if stored is None:
            return None
        position = stored.layout.get_position(task.occurrence, task.step, task.index)
        return None if position is None else (task.job, position)

    def may_have_started(self, key: JobTaskKey, attempt: int, *, term: int) -> bool:
        """Return whether a leader of up to a term can have started an attempt of a known job."""
        accepted_term = self._store.jobs[key[0]].message.accepted_term
        return 0 < attempt <= get_last_attempt(accepted_term, term=term)

    def find_unit(self, key: JobTaskKey) -> UnitRun | None:
        """Return the unit of a task of an open job, or None."""
        run = self._runs.get(key[0])
        return run.find_unit(key[1]) if run is not None else None

    def make_crash_history(self, key: JobTaskKey, *, was_newest: bool) -> CrashHistory | None:
        """Return the crashes under a task, with one that is new; None if its job is forgotten."""
        stored = self._store.jobs.get(key[0])
        if stored is None:
            return None
        return CrashHistory(
            crashes=stored.count_crashes(key[1]) + 1,
            crashes_as_newest=stored.count_crashes_as_newest(key[1]) + was_newest,
            was_newest=was_newest,
        )

    def find_amounts(self, task: TaskRef) -> Amounts | None:
        """Return what a task takes on its worker, also of a job that has ended.

        Returns None if the task is unknown.
        """
        key = self.find_key(task)
        return None if key is None else self._store.jobs[key[0]].get_amounts(key[1])

    def find_team(self, task: TaskRef) -> str:
        """Return the team of a task, also of a job that has ended; empty if there is none."""
        stored = self._store.jobs.get(task.job)
        return "" if stored is None else stored.team

    def count_waiting(self, queue: jobs_pb2.Queue) -> int:
        """Return how many open jobs of a queue have no task that was started."""
        return sum(
            not run.has_started and run.stored.belongs_to(queue) for run in self._runs.values()
        )

    def has_started(self, job_id: JobId) -> bool:
        """Return whether the start of any task of an open job was ordered.

        An order that a worker then rejects counts. Of the starts that an earlier leader ordered,
        only those whose tasks have ended or were found running are known.
        """
        run = self._runs.get(job_id)
        return run is not None and run.has_started
