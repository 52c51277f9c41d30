"""Interfaces through which the dispatcher calls workers and the advisor."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from ..models.jobs import TaskRef
from ..schema.jobs_pb2 import EndKind


class NoDefiniteAnswerError(Exception):
    """A worker or the advisor gave no definite answer; an order may run, now or later."""


class AnswerTimeoutError(NoDefiniteAnswerError):
    """The worker did not answer in time; the order may be in transit and its lease begin late."""


class WorkerNotConnectedError(NoDefiniteAnswerError):
    """No connection to the worker could be opened, so an order had no effect."""


class WorkerReplacedError(Exception):
    """Another incarnation answers at the worker's address, so this one is gone."""


class OrderOutcome(Enum):
    """A worker's answer to an order, or why it was not sent."""

    ACCEPTED = "accepted"
    FENCED = "fenced"  # The worker has seen a higher fencing token.
    # Another attempt runs there, or this one or a later one has ended or was ordered to stop.
    SUPERSEDED = "superseded"
    DEADLINE_PASSED = "late"  # The deadline of the order had passed.
    NO_ROOM = "no-room"
    TICKET_INVALID = "ticket-invalid"
    UNHEALTHY = "unhealthy"  # The worker reports a fault or overload; the order had no effect.
    INVALID = "invalid"
    NOT_SENT = "not-sent"  # This replica may not act as the leader any more.


@dataclass(frozen=True, slots=True)
class WorkerEndpoint:
    """One incarnation of a worker and where it is called."""

    id: str
    address: str


@dataclass(frozen=True, slots=True)
class StartOrder:
    """An order to start one attempt of a task under a lease."""

    task: TaskRef
    attempt: int
    payload: str
    deadline_ms: int  # On the worker's clock.
    fencing_token: int
    checkpoint: str = ""
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class StopOrder:
    """An order to stop one attempt of a task, or to prevent its start."""

    task: TaskRef
    attempt: int
    fencing_token: int


@dataclass(frozen=True, slots=True)
class RenewalOrder:
    """A request to renew the lease of all tasks on a worker and to list running and ended tasks."""

    fencing_token: int
    acknowledged_through: int  # Ends up to this number are committed and may be dropped.
    deadline_ms: int | None  # On the worker's clock; if None, the lease is not renewed.
    wait_ms: int  # The worker may wait this long for a task end before it answers.


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
    percent: int  # Percentage of its full speed at which it may run; the leader does not use it.
    # Millicores used recently, for a long-running step its response time; None if not reported.
    processors: float | None


@dataclass(frozen=True, slots=True)
class EndedTask:
    """An end that a worker lists until it is acknowledged."""

    number: int
    task: TaskRef
    attempt: int
    kind: EndKind.ValueType
    checkpoint: str


@dataclass(frozen=True, slots=True)
class RenewalAnswer:
    """The tasks that run on a worker and those that ended there."""

    outcome: OrderOutcome
    clock_ms: int | None
    active: list[ActiveTask]
    ended: list[EndedTask]
    is_incomplete: bool  # A task that the lists omit may still run or have ended there.
    born_ms: int = 0  # When this life of the worker started; 0 if unknown.


@dataclass(frozen=True, slots=True)
class Advice:
    """The workers that may run a step, each with its ticket."""

    tickets: dict[str, str]
    validity_s: float
    is_incomplete: bool = False  # Some approvals could not be read.


class AdvisorBusyError(Exception):
    """The advisor has too many calls waiting from this instance."""


class WorkerGateway(Protocol):
    """Calls workers; raises `NoDefiniteAnswerError` or `WorkerReplacedError`."""

    async def start(
        self, worker: WorkerEndpoint, order: StartOrder, *, timeout_s: float
    ) -> OrderAnswer:
        """Send a start order."""

    async def stop(
        self, worker: WorkerEndpoint, order: StopOrder, *, timeout_s: float
    ) -> OrderAnswer:
        """Send a stop order."""

    async def renew_lease(
        self, worker: WorkerEndpoint, order: RenewalOrder, *, timeout_s: float
    ) -> RenewalAnswer:
        """Renew the worker's lease if the order has a deadline; list running and ended tasks."""

    async def close(self) -> None:
        """Close all connections."""


class AdvisorGateway(Protocol):
    """Calls the advisor; raises `AdvisorBusyError` or `NoDefiniteAnswerError`."""

    async def advise(
        self, job: str, occurrence: int, step: int, workers: list[str], *, timeout_s: float
    ) -> Advice:
        """Ask which of the given workers may run a step."""

    async def close(self) -> None:
        """Close all connections."""
