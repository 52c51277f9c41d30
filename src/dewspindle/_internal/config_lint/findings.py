"""Findings of the configuration check, and what its checks are given."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

from google.protobuf.message import Message

from ..schema import jobs_pb2
from .fleet import Fleet

M = TypeVar("M", bound=Message)

Path = tuple[str | int, ...]  # Names of message fields, positions in lists and keys of maps.


class Severity(Enum):
    """Severities of findings, the worst first."""

    ERROR = "error"  # The cell refuses the configuration, or it does not do what it says.
    WARNING = "warning"
    CHANGE = "change"  # Difference from the version in force; not a fault.


class Need(Enum):
    """What a check needs to know beyond the file."""

    VALID_FILE = "a file that the cell accepts"
    CURRENT = "the version in force"
    WORKERS = "the workers"
    POOLS = "the workers' pools"
    LABELS = "the workers' labels"
    SAMPLES = "sample jobs"


@dataclass(frozen=True, slots=True)
class Violation:
    """What a check found, before it is described in the terms of the file."""

    path: Path
    message: str


@dataclass(frozen=True, slots=True)
class Finding:
    """Finding in the terms of the file."""

    severity: Severity
    path: str
    code: str
    message: str
    hint: str


@dataclass(frozen=True, slots=True)
class SkippedCheck:
    """Check that was not made, with what it lacked."""

    code: str
    missing: tuple[Need, ...]


@dataclass(frozen=True, slots=True)
class SampleJob:
    """Job as the callers of a queue submit it."""

    queue: str
    source: str  # File that holds the job.
    spec: jobs_pb2.JobSpec


@dataclass(frozen=True, slots=True)
class CheckInput(Generic[M]):
    """Decoded configuration and what is known about the cell."""

    document: M
    current: M | None = None
    fleet: Fleet | None = None
    samples: Sequence[SampleJob] = ()

    @property
    def known(self) -> frozenset[Need]:
        """Return which needs are met."""
        fleet = self.fleet
        met = {
            Need.VALID_FILE: True,
            Need.CURRENT: self.current is not None,
            Need.WORKERS: fleet is not None,
            Need.POOLS: fleet is not None and fleet.has_pools,
            Need.LABELS: fleet is not None and fleet.has_labels,
            Need.SAMPLES: bool(self.samples),
        }
        return frozenset(need for need, is_met in met.items() if is_met)

    def require_fleet(self) -> Fleet:
        """Return the fleet, for checks that need the workers."""
        if self.fleet is None:
            raise ValueError("the check does not declare that it needs the workers")
        return self.fleet
