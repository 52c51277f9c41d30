"""Sets and names of the states of records and their tasks."""

from ..schema.cell_pb2 import (
    RECORD_CANCELLED,
    RECORD_FAILED,
    RECORD_REFUSED,
    RECORD_SUCCEEDED,
    RECORD_UNKNOWN,
    TASK_CANCELLED,
    TASK_FAILED,
    TASK_PLACED,
    TASK_REFUSED,
    TASK_RUNNING,
    TASK_STOPPING,
    TASK_SUCCEEDED,
    TASK_UNKNOWN,
    RecordState,
    TaskState,
)

ACTIVE_TASK_STATES = frozenset((TASK_PLACED, TASK_RUNNING, TASK_STOPPING))
FINAL_TASK_STATES = frozenset(
    (TASK_SUCCEEDED, TASK_FAILED, TASK_CANCELLED, TASK_REFUSED, TASK_UNKNOWN)
)
FINAL_RECORD_STATES = frozenset(
    (RECORD_SUCCEEDED, RECORD_FAILED, RECORD_CANCELLED, RECORD_REFUSED, RECORD_UNKNOWN)
)


def get_task_state_name(state: int) -> str:
    """Return the name of a task state in responses and logs."""
    return TaskState.Name(TaskState.ValueType(state)).removeprefix("TASK_").lower()


def get_record_state_name(state: int) -> str:
    """Return the name of a record state in responses and logs."""
    return RecordState.Name(RecordState.ValueType(state)).removeprefix("RECORD_").lower()
