"""Decides whether failed tasks are the fault of their worker or of their job.

Answers two loads: jobs that can never be done, whose failures must not take sound workers away from
the others, and workers that fail all that they start, many at once too.
"""

from collections.abc import Mapping

from ..models.ids import JobId

SUSPECT_JOBS = 2  # Different jobs that failed on a worker with no success in between.
# Failures of a single job after which its worker is suspect all the same, as a fleet may run little
# else.
SUSPECT_FAILURES = 5


def is_worker_suspect(failures: Mapping[JobId, int]) -> bool:
    """Return whether the failures since a worker's last success point to the worker."""
    return len(failures) >= SUSPECT_JOBS or sum(failures.values()) >= SUSPECT_FAILURES
