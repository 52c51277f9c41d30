"""Imports all modules that register command appliers."""

from . import (  # noqa: F401
    call_changes,
    config_changes,
    job_changes,
    record_changes,
    task_changes,
    worker_changes,
)
