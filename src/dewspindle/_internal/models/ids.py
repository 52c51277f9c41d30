"""Id types."""

import re
from typing import NewType

InstanceId = NewType("InstanceId", str)
ReplicaId = NewType("ReplicaId", str)
RecordId = NewType("RecordId", str)
TaskId = NewType("TaskId", str)
WorkerId = NewType("WorkerId", str)
BackendId = NewType("BackendId", str)
JobId = NewType("JobId", str)
TaskKind = NewType(
    "TaskKind", str
)  # Tasks that are expected to behave alike; see `Placement.kind`.

UNKNOWN_KIND = TaskKind("")

# Names of tasks are made of the job id and numbers, with dots between them.
_JOB_ID_PATTERN = re.compile(r"[A-Za-z0-9_-]{1,64}")


def is_valid_job_id(text: str) -> bool:
    """Return whether a text that a caller chose may name a job."""
    return _JOB_ID_PATTERN.fullmatch(text) is not None


def make_task_id(record: str, index: int) -> TaskId:
    """Return the id of a record's task."""
    return TaskId(f"{record}.{index}")


def parse_task_id(task: str) -> tuple[RecordId, int]:
    """Parse a task id into its record id and index, or raise `ValueError`."""
    record, separator, index = task.rpartition(".")
    if not separator or not index.isascii() or not index.isdigit():
        raise ValueError(f"{task!r} is not a task id")
    return RecordId(record), int(index)
