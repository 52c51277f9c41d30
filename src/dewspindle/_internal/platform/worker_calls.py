"""Calls to workers."""

from typing import Any

from ..exceptions import InvalidDocumentError, ServerUnreachableError
from ..jobs.gateway import (
    ActiveTask,
    EndedTask,
    HoldAnswer,
    HoldOrder,
    OrderAnswer,
    OrderOutcome,
    StartOrder,
    StopOrder,
    WorkerEndpoint,
    WorkerReplacedError,
    WorkerSilentError,
    WorkerUnreachableError,
)
from ..models.ids import JobId
from ..models.jobs import TaskRef
from ..network.json_sender import JsonResponse, JsonSender
from ..schema.jobs_pb2 import (
    END_ALONE,
    END_BROKEN,
    END_DONE,
    END_FAILED,
    END_LAPSED,
    END_STOPPED,
)
from ..utils.logs import get_logger

EXPECTED_INSTANCE = "X-Dewspindle-Expected-Instance"  # The worker's incarnation, not an instance.
CONNECTIONS_PER_WORKER = 8  # One waits for ends; the rest carry the starts of a gang.
LISTED_ENDS = 500  # Ends that one answer lists at most.

REJECTIONS = {
    "fence": OrderOutcome.FENCED,
    "old": OrderOutcome.SUPERSEDED,
    "late": OrderOutcome.LATE,
    "room": OrderOutcome.NO_ROOM,
    "ticket": OrderOutcome.TICKET_INVALID,
}
END_KINDS = {
    "done": END_DONE,
    "failed": END_FAILED,
    "stopped": END_STOPPED,
    "lapsed": END_LAPSED,
    "broken": END_BROKEN,
    "alone": END_ALONE,
}

logger = get_logger(__name__)


def make_task_name(task: TaskRef) -> str:
    """Return the name of a task on the wire."""
    return f"{task.job}.{task.occurrence}.{task.step}.{task.index}"


def parse_task_name(name: Any) -> TaskRef:
    """Return the task that a name on the wire stands for, or raise `InvalidDocumentError`."""
    try:
        job, occurrence, step, index = name.split(".")
        return TaskRef(JobId(job), int(occurrence), int(step), int(index))
    except (AttributeError, ValueError):
        raise InvalidDocumentError(f"{name!r} is not the name of a task", field="task") from None


class WorkerCalls:
    """Calls workers over connections that are kept for each address."""

    def __init__(self, client: JsonSender) -> None:
        self._client = client

    async def start(
        self, worker: WorkerEndpoint, order: StartOrder, *, timeout_s: float
    ) -> OrderAnswer:
        """Order a start."""
        body: dict[str, Any] = {
            "task": make_task_name(order.task),
            "attempt": order.attempt,
            "spec": order.payload,
            "deadline_ms": order.deadline_ms,
            "fencing_token": order.fencing_token,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        return decode_order(await self._call(worker, "/run-start", body, timeout_s))

    async def stop(
        self, worker: WorkerEndpoint, order: StopOrder, *, timeout_s: float
    ) -> OrderAnswer:
        """Order a stop."""
        body = {
            "task": make_task_name(order.task),
            "attempt": order.attempt,
            "fencing_token": order.fencing_token,
        }
        return decode_order(await self._call(worker, "/run-stop", body, timeout_s))

    async def hold(
        self, worker: WorkerEndpoint, order: HoldOrder, *, timeout_s: float
    ) -> HoldAnswer:
        """Renew the lease and read both lists."""
        body = {
            "fencing_token": order.fencing_token,
            "ack_cursor": order.acknowledged_through,
            "wait_ms": order.wait_ms,
        }
        if order.deadline_ms is not None:
            body["deadline_ms"] = order.deadline_ms
        return decode_hold(await self._call(worker, "/hold", body, timeout_s))

    async def _call(
        self, worker: WorkerEndpoint, path: str, body: dict[str, Any], timeout_s: float
    ) -> JsonResponse:
        try:
            answer = await self._client.post(
                worker.address,
                path,
                body=body,
                headers={EXPECTED_INSTANCE: worker.id},
                timeout_s=timeout_s,
            )
        except TimeoutError:
            raise WorkerSilentError("no answer in time") from None
        except ServerUnreachableError as error:
            raise WorkerUnreachableError(error.detail) from None
        if answer.status == 421:
            raise WorkerReplacedError(worker.id)
        return answer

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()


def _get_clock(answer: JsonResponse) -> int | None:
    clock = answer.body.get("clock_ms") if isinstance(answer.body, dict) else None
    return clock if isinstance(clock, int) and not isinstance(clock, bool) else None


def decode_order(answer: JsonResponse) -> OrderAnswer:
    """Return the outcome of an order; raise `WorkerUnreachableError` where it is not clear."""
    clock_ms = _get_clock(answer)
    if answer.status == 200:
        return OrderAnswer(OrderOutcome.ACCEPTED, clock_ms)
    if answer.status in (429, 503):
        return OrderAnswer(OrderOutcome.UNHEALTHY, clock_ms)
    if answer.status == 400:
        return OrderAnswer(OrderOutcome.INVALID, clock_ms)
    if answer.status == 409 and isinstance(answer.body, dict):
        outcome = REJECTIONS.get(str(answer.body.get("reason")))
        if outcome is not None:
            return OrderAnswer(outcome, clock_ms)
    raise WorkerUnreachableError(f"status {answer.status} says nothing about the order")


def decode_hold(answer: JsonResponse) -> HoldAnswer:
    """Return both lists; an entry that cannot be read is left out and the rest holds."""
    if answer.status != 200:
        order = decode_order(answer)
        return HoldAnswer(order.outcome, order.clock_ms, [], [], is_cut_short=True)
    body = answer.body if isinstance(answer.body, dict) else {}
    active, ended = body.get("active", []), body.get("finished", [])
    if not isinstance(active, list) or not isinstance(ended, list):
        raise WorkerUnreachableError("the answer does not carry both lists")
    active_tasks = [task for task in map(_decode_active, active) if task is not None]
    ended_tasks = [task for task in map(_decode_ended, ended) if task is not None]
    is_partial = len(active_tasks) < len(active) or len(ended_tasks) < len(ended)
    return HoldAnswer(
        outcome=OrderOutcome.ACCEPTED,
        clock_ms=_get_clock(answer),
        active=active_tasks,
        ended=ended_tasks,
        is_cut_short=is_partial or len(ended) >= LISTED_ENDS,
    )


def _decode_active(row: Any) -> ActiveTask | None:
    try:
        name, attempt, checkpoint, percent = row[:4]
        # The fifth field is a response time for tasks that serve, and processors for all others.
        used = float(row[4]) if len(row) > 4 and row[4] is not None else None
        return ActiveTask(parse_task_name(name), int(attempt), str(checkpoint), int(percent), used)
    except (InvalidDocumentError, TypeError, ValueError) as error:
        logger.warning("running task cannot be read", row=str(row)[:100], why=str(error))
        return None


def _decode_ended(row: Any) -> EndedTask | None:
    try:
        number, name, attempt, how, checkpoint = row[:5]
        return EndedTask(
            int(number), parse_task_name(name), int(attempt), END_KINDS[how], str(checkpoint)
        )
    except (InvalidDocumentError, KeyError, TypeError, ValueError) as error:
        logger.warning("end of a task cannot be read", row=str(row)[:100], why=str(error))
        return None
