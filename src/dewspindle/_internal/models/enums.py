"""Enumerations whose values appear in documents or in messages between instances."""

from enum import Enum


class RecordKind(Enum):
    """Kinds of records."""

    SERVICE = "service"
    BATCH = "batch"
    GANG = "gang"


class Priority(Enum):
    """Priorities, highest first."""

    URGENT = "urgent"
    NORMAL = "normal"
    LOW = "low"

    @property
    def rank(self) -> int:
        """Return the rank, 0 for the highest priority."""
        return _RANKS[self.value]


_RANKS = {"urgent": 0, "normal": 1, "low": 2}


class Objective(Enum):
    """Objectives that placement can optimize for."""

    WAITING = "waiting"
    PACKING = "packing"


class Role(Enum):
    """Roles of a replica."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ReportState(Enum):
    """Task states that polling workers report."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    THROTTLED = "throttled"
    CHECKPOINTED = "checkpointed"

    @property
    def is_final(self) -> bool:
        """Return whether the worker no longer runs the task."""
        return self in (ReportState.SUCCEEDED, ReportState.FAILED, ReportState.STOPPED)


class OrderKind(Enum):
    """Kinds of orders to polling workers."""

    START = "start"
    STOP = "stop"
    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"


class JobStatus(Enum):
    """Job statuses in the leader's answers; callers read `platform.job_bodies.STATUS_NAMES`."""

    WAITING = "waiting"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"


class ExecutionStatus(Enum):
    """Whether a backend server executed a call."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"
