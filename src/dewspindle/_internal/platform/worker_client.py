"""HTTP client of the workers."""

import re
from functools import lru_cache
from typing import Any

from ..exceptions import InvalidDocumentError, ServerNotConnectedError, ServerUnreachableError
from ..jobs.gateway import (
    ActiveTask,
    AnswerTimeoutError,
    EndedTask,
    NoDefiniteAnswerError,
    OrderAnswer,
    OrderOutcome,
    RenewalAnswer,
    RenewalOrder,
    StartOrder,
    StopOrder,
    WorkerEndpoint,
    WorkerNotConnectedError,
    WorkerReplacedError,
)
from ..models.ids import JobId, is_valid_job_id
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
from .fields import (
    MAX_NAME_LENGTH,
    MAX_SAFE_INTEGER,
    check_number,
    check_uint,
    is_encodable,
    is_header_name,
)

# The header identifies the worker's incarnation, not an instance of the scheduler.
EXPECTED_INSTANCE_HEADER = "X-Dewspindle-Expected-Instance"
CONNECTIONS_PER_WORKER = 8  # One long-polls for ended tasks; the others carry the starts of a gang.
MAX_LISTED_ENDS = 500  # Maximum number of ended tasks in one response.
MAX_CHECKPOINT_LENGTH = 65536  # Characters.
# Each list names again every task that runs on its worker. Some 1,000 tasks run on a full fleet.
PARSED_NAMES = 8192

REJECTION_OUTCOMES = {
    "fence": OrderOutcome.FENCED,
    "old": OrderOutcome.SUPERSEDED,
    "late": OrderOutcome.DEADLINE_PASSED,
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

_NUMBER = re.compile(r"[0-9]{1,15}")

logger = get_logger(__name__)


def make_task_name(task: TaskRef) -> str:
    """Return the wire name of a task."""
    return f"{task.job}.{task.occurrence}.{task.step}.{task.index}"


@lru_cache(maxsize=PARSED_NAMES)
def _parse_name(name: str) -> TaskRef | None:
    job, *numbers = name.split(".")
    is_valid = len(numbers) == 3 and all(map(_NUMBER.fullmatch, numbers)) and is_valid_job_id(job)
    return TaskRef(JobId(job), *map(int, numbers)) if is_valid else None


def parse_task_name(name: Any) -> TaskRef:
    """Parse the wire name of a task; raise `InvalidDocumentError` if it is malformed."""
    task = _parse_name(name) if isinstance(name, str) and len(name) <= MAX_NAME_LENGTH else None
    if task is None:
        raise InvalidDocumentError(f"malformed task name {str(name)[:100]!r}", field="task")
    return task


class WorkerClient:
    """Sends orders to workers over pooled connections."""

    def __init__(self, client: JsonSender) -> None:
        self._client = client

    async def start(
        self, worker: WorkerEndpoint, order: StartOrder, *, timeout_s: float
    ) -> OrderAnswer:
        """Order the start of a task attempt."""
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
        """Order the stop of a task attempt."""
        body = {
            "task": make_task_name(order.task),
            "attempt": order.attempt,
            "fencing_token": order.fencing_token,
        }
        return decode_order(await self._call(worker, "/run-stop", body, timeout_s))

    async def renew_lease(
        self, worker: WorkerEndpoint, order: RenewalOrder, *, timeout_s: float
    ) -> RenewalAnswer:
        """Renew the worker's lease, and return the running and the ended tasks."""
        body = {
            "fencing_token": order.fencing_token,
            "ack_cursor": order.acknowledged_through,
            "wait_ms": order.wait_ms,
        }
        if order.deadline_ms is not None:
            body["deadline_ms"] = order.deadline_ms
        return decode_renewal(await self._call(worker, "/hold", body, timeout_s))

    async def _call(
        self, worker: WorkerEndpoint, path: str, body: dict[str, Any], timeout_s: float
    ) -> JsonResponse:
        if not is_header_name(worker.id):
            # An earlier version accepted such ids, so the cell state may hold one.
            raise WorkerNotConnectedError(f"the id {worker.id[:100]!r} does not fit into a header")
        try:
            response = await self._client.post(
                worker.address,
                path,
                body=body,
                headers={EXPECTED_INSTANCE_HEADER: worker.id},
                timeout_s=timeout_s,
            )
        except TimeoutError:
            raise AnswerTimeoutError("the worker did not respond before the timeout") from None
        except ServerNotConnectedError as error:
            raise WorkerNotConnectedError(error.detail) from None
        except ServerUnreachableError as error:
            raise NoDefiniteAnswerError(error.detail) from None
        if response.status == 421:
            raise WorkerReplacedError(worker.id)
        return response

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()


def _get_integer(response: JsonResponse, field: str) -> int | None:
    value = response.body.get(field) if isinstance(response.body, dict) else None
    if not isinstance(value, int) or isinstance(value, bool):
        return None
    return value if 0 <= value <= MAX_SAFE_INTEGER else None


def decode_order(response: JsonResponse) -> OrderAnswer:
    """Return the outcome of an order; raise `NoDefiniteAnswerError` if it is ambiguous."""
    clock_ms = _get_integer(response, "clock_ms")
    if response.status == 200:
        return OrderAnswer(OrderOutcome.ACCEPTED, clock_ms)
    if response.status in (429, 503):
        return OrderAnswer(OrderOutcome.UNHEALTHY, clock_ms)
    if response.status == 400:
        return OrderAnswer(OrderOutcome.INVALID, clock_ms)
    if response.status == 409 and isinstance(response.body, dict):
        outcome = REJECTION_OUTCOMES.get(str(response.body.get("reason")))
        if outcome is not None:
            return OrderAnswer(outcome, clock_ms)
    raise NoDefiniteAnswerError(
        f"HTTP status {response.status} does not tell whether the order was accepted"
    )


def decode_renewal(response: JsonResponse) -> RenewalAnswer:
    """Return the running and the ended tasks; skip malformed rows."""
    if response.status != 200:
        order = decode_order(response)
        return RenewalAnswer(order.outcome, order.clock_ms, [], [], is_incomplete=True)
    body = response.body if isinstance(response.body, dict) else {}
    active, ended = body.get("active", []), body.get("finished", [])
    if not isinstance(active, list) or not isinstance(ended, list):
        raise NoDefiniteAnswerError("in the response, 'active' or 'finished' is not a list")
    active_tasks = [task for task in map(_decode_active_task, active) if task is not None]
    ended_tasks = [task for task in map(_decode_ended_task, ended) if task is not None]
    is_partial = len(active_tasks) < len(active) or len(ended_tasks) < len(ended)
    return RenewalAnswer(
        outcome=OrderOutcome.ACCEPTED,
        clock_ms=_get_integer(response, "clock_ms"),
        active=active_tasks,
        ended=ended_tasks,
        is_incomplete=is_partial or len(ended) >= MAX_LISTED_ENDS,
        born_ms=_get_integer(response, "born") or 0,
    )


def _decode_active_task(row: Any) -> ActiveTask | None:
    try:
        check_row(row, least=4)
        # The fifth field is the processor use in millicores. For a task of a long-running step it
        # is a response time instead, which the dispatcher ignores.
        used = check_number(row[4], "use") if len(row) > 4 and row[4] is not None else None
        return ActiveTask(
            parse_task_name(row[0]),
            check_uint(row[1], "attempt"),
            _choose_checkpoint(row[2]),
            check_uint(row[3], "percent"),
            used,
        )
    except InvalidDocumentError as error:
        logger.warning("malformed running task ignored", row=str(row)[:100], why=error.detail)
        return None


def _decode_ended_task(row: Any) -> EndedTask | None:
    try:
        check_row(row, least=5)
        kind = row[3]
        if not isinstance(kind, str) or kind not in END_KINDS:
            raise InvalidDocumentError("an unknown kind of end", field="how")
        return EndedTask(
            check_uint(row[0], "number"),
            parse_task_name(row[1]),
            check_uint(row[2], "attempt"),
            END_KINDS[kind],
            _choose_checkpoint(row[4]),
        )
    except InvalidDocumentError as error:
        logger.warning("malformed ended task ignored", row=str(row)[:100], why=error.detail)
        return None


def check_row(row: Any, *, least: int) -> None:
    """Raise `InvalidDocumentError` unless a row is a list with enough fields."""
    if not isinstance(row, list) or len(row) < least:
        raise InvalidDocumentError(f"a row is not a list of {least} fields", field="row")


def _choose_checkpoint(value: Any) -> str:
    """Return a checkpoint, or an empty one if it cannot be kept; the task then begins anew."""
    is_short = isinstance(value, str) and len(value) <= MAX_CHECKPOINT_LENGTH
    if is_short and (value.isascii() or is_encodable(value)):
        return value  # type: ignore[no-any-return]
    logger.warning("malformed checkpoint ignored", checkpoint=repr(value)[:100])
    return ""
