"""States and kinds that are words in documents."""

from enum import Enum


class RecordKind(Enum):
    """Kinds of work."""

    SERVICE = "service"
    BATCH = "batch"
    GANG = "gang"


class Priority(Enum):
    """Priorities, the most pressing first."""

    URGENT = "urgent"
    NORMAL = "normal"
    LOW = "low"

    @property
    def rank(self) -> int:
        """Return the place in the order, 0 for the most pressing."""
        return _RANKS[self.value]


_RANKS = {"urgent": 0, "normal": 1, "low": 2}


class Objective(Enum):
    """What a cell weighs most in its placements."""

    WAITING = "waiting"
    PACKING = "packing"


class Role(Enum):
    """Roles of a replica."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ReportState(Enum):
    """States of a task that a worker reports."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    THROTTLED = "throttled"
    CHECKPOINTED = "checkpointed"

    @property
    def is_final(self) -> bool:
        """Tell whether the worker no longer runs the task."""
        return self in (ReportState.SUCCEEDED, ReportState.FAILED, ReportState.STOPPED)


class OrderKind(Enum):
    """Orders to workers."""

    START = "start"
    STOP = "stop"
    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"


class JobStatus(Enum):
    """What a caller may read of a job."""

    WAITING = "waiting"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"


class ExecutionStatus(Enum):
    """Whether a backend server ran a call."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"
