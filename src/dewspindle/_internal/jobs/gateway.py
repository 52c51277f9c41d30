"""What the dispatcher needs of the platform: calls to workers and to the advisor."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from ..models.jobs import TaskRef
from ..schema.jobs_pb2 import EndKind


class WorkerUnreachableError(Exception):
    """No clear answer came; the order may be carried out, now or later."""


class WorkerTimeoutError(WorkerUnreachableError):
    """No answer came in time over a connection that held; the order may be on its way."""


class WorkerReplacedError(Exception):
    """Another incarnation answers at the worker's address, so this one is gone."""


class OrderOutcome(Enum):
    """What a worker answered to an order."""

    ACCEPTED = "accepted"
    FENCED = "fenced"  # It has seen a higher fencing token.
    SUPERSEDED = "superseded"  # It has seen this attempt, or a later one, end.
    LATE = "late"  # The deadline of the order had passed.
    NO_ROOM = "no-room"
    TICKET_INVALID = "ticket-invalid"
    UNHEALTHY = "unhealthy"  # It did nothing and says so.
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class WorkerEndpoint:
    """One incarnation of a worker and where it is called."""

    id: str
    address: str


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Start one attempt of a task under a lease."""

    task: TaskRef
    attempt: int
    payload: str
    deadline_ms: int  # On the worker's clock.
    fencing_token: int
    checkpoint: str = ""
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Stop one attempt of a task, or keep it from starting."""

    task: TaskRef
    attempt: int
    fencing_token: int


@dataclass(frozen=True, slots=True)
class HoldOrder:
    """Renew the lease of all that runs on a worker, and read what runs and what ended."""

    fencing_token: int
    acknowledged_through: int  # Ends up to here are committed and may be forgotten.
    deadline_ms: int | None  # On the worker's clock.
    wait_ms: int  # The answer may wait this long for an end.


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """A worker's answer to a start or a stop."""

    outcome: OrderOutcome
    clock_ms: int | None = None


@dataclass(frozen=True, slots=True)
class ActiveTask:
    """A task that runs on a worker."""

    task: TaskRef
    attempt: int
    checkpoint: str
    percent: int  # Share of its full pace that it may work at.
    processors: float | None  # Millicores used a moment ago, where the worker tells.


@dataclass(frozen=True, slots=True)
class EndedTask:
    """An end that a worker lists until it is acknowledged."""

    number: int
    task: TaskRef
    attempt: int
    kind: EndKind.ValueType
    checkpoint: str


@dataclass(frozen=True, slots=True)
class HoldAnswer:
    """What runs on a worker and what ended there."""

    outcome: OrderOutcome
    clock_ms: int | None
    active: list[ActiveTask]
    ended: list[EndedTask]
    is_truncated: bool  # More ends are listed than one answer carries.


@dataclass(frozen=True, slots=True)
class Advice:
    """The workers that may run a step, each with its ticket."""

    tickets: dict[str, str]
    validity_s: float


class AdvisorBusyError(Exception):
    """The advisor has too many calls waiting from this instance."""


class WorkerGateway(Protocol):
    """Calls workers; raises `WorkerUnreachableError` or `WorkerReplacedError`."""

    async def start(
        self, worker: WorkerEndpoint, order: StartOrder, *, timeout_s: float
    ) -> OrderAnswer:
        """Order a start."""

    async def stop(
        self, worker: WorkerEndpoint, order: StopOrder, *, timeout_s: float
    ) -> OrderAnswer:
        """Order a stop."""

    async def hold(
        self, worker: WorkerEndpoint, order: HoldOrder, *, timeout_s: float
    ) -> HoldAnswer:
        """Renew the lease and read both lists."""

    async def close(self) -> None:
        """Close all connections."""


class AdvisorGateway(Protocol):
    """Calls the advisor; raises `AdvisorBusyError` or `WorkerUnreachableError`."""

    async def advise(
        self, job: str, occurrence: int, step: int, workers: list[str], *, timeout_s: float
    ) -> Advice:
        """Ask which of some workers may run a step."""

    async def close(self) -> None:
        """Close all connections."""
