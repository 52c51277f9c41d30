"""Decides whether failed tasks are the fault of their worker or of their job.

Answers two loads: many jobs that can never be done, whose failures must not take sound workers away
from the others, and workers that fail all that they start. A job that failed on several workers is
at fault; a worker is suspect where several jobs failed that are not at fault themselves.
"""

from collections import Counter, defaultdict

from ..models.ids import JobId

SUSPECT_JOBS = 2  # Different jobs that failed on a worker with no success in between.
# Failures of a single job after which its worker is suspect all the same, as a fleet may run little
# else.
SUSPECT_FAILURES = 5
WORKERS_PER_JOB_AT_FAULT = 2  # Different workers on which a job at fault has failed.


class FailureLedger:
    """Failures of open jobs by worker, each since the worker's last success."""

    def __init__(self) -> None:
        self._failures: dict[str, Counter[JobId]] = defaultdict(Counter)  # By worker.
        self._workers: dict[JobId, set[str]] = defaultdict(set)  # Those on which a job has failed.

    def record_success(self, worker_id: str) -> None:
        """Forget the failures on a worker that has completed a task."""
        self._failures.pop(worker_id, None)

    def record_failure(self, worker_id: str, job: JobId) -> list[str]:
        """Record a failure; return the workers that it clears, as the job proves to be at fault."""
        workers = self._workers[job]
        workers.add(worker_id)
        if len(workers) < WORKERS_PER_JOB_AT_FAULT:
            self._failures[worker_id][job] += 1
            return []
        suspects = [worker for worker in workers if self.is_suspect(worker)]
        for worker in workers:
            self._failures[worker].pop(job, None)
        return [worker for worker in suspects if not self.is_suspect(worker)]

    def is_suspect(self, worker_id: str) -> bool:
        """Return whether the failures on a worker point to the worker."""
        failures = self._failures.get(worker_id)
        if failures is None:
            return False
        return len(failures) >= SUSPECT_JOBS or failures.total() >= SUSPECT_FAILURES

    def forget_job(self, job: JobId) -> None:
        """Forget on which workers a job that ended has failed; what it tells of them stays."""
        self._workers.pop(job, None)

    def forget_worker(self, worker_id: str) -> None:
        """Forget the failures on a worker that is gone."""
        self._failures.pop(worker_id, None)
