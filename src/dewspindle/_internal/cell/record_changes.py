"""Commands that submit, change, cancel, refuse or expire records."""

from ..models.enums import RecordKind
from ..models.resources import make_amounts
from ..models.tasks import ACTIVE_TASK_STATES, FINAL_RECORD_STATES
from ..schema import cell_pb2
from ..schema.cell_pb2 import (
    RECORD_CANCELLED,
    RECORD_REFUSED,
    TASK_CANCELLED,
    TASK_PENDING,
    Command,
    Record,
    Result,
)
from ..utils.refusals import Refusal
from .call_changes import expire_claims
from .registry import applies
from .results import make_refusal
from .state import CellState
from .team_limits import get_max_waiting
from .transitions import add_decision, close_record_if_idle, end_record, stop_task

MAX_ENDED_RECORDS = 10_000

_SPEC_FIELDS = (
    "name",
    "priority",
    "expected_run_s",
    "start_deadline_ms",
    "max_attempts",
    "repeatable",
    "spread",
    "schema_version",
    "document",
    "task_count",
)
_SPEC_LISTS = ("zones", "racks", "command")


def find_admission_refusal(state: CellState, record: Record) -> Result | None:
    """Return a refusal if a record cannot be accepted now, or None."""
    amounts = make_amounts(record.resources)
    if state.worker_shapes and not any(amounts.fits_in(shape) for shape in state.worker_shapes):
        return make_refusal(
            Refusal.LARGER_THAN_FLEET,
            f"a task needs {amounts}; no worker has ever had that much",
        )
    total = amounts * record.task_count
    is_gang = record.kind == RecordKind.GANG.value
    if is_gang and state.worker_shapes and not total.fits_in(state.largest_fleet):
        return make_refusal(
            Refusal.LARGER_THAN_FLEET,
            f"the gang needs {total} at once; the fleet has had {state.largest_fleet} at most",
        )
    limit = get_max_waiting(state, record.team)
    waiting = state.team_waiting[record.team]
    if waiting + record.task_count > limit:
        return make_refusal(
            Refusal.TEAM_QUEUE_FULL,
            f"team {record.team} has {waiting} tasks waiting; its limit is {limit}",
        )
    return None


@applies("submit_record")
def apply_submit_record(state: CellState, command: Command) -> Result:
    """Accept a record, or refuse it without storing anything."""
    record = command.submit_record.record
    refusal = find_admission_refusal(state, record)
    if refusal is not None:
        return refusal
    record.id = f"r-{state.applying_index}"
    record.revision = state.applying_index
    record.submitted_ms = state.at_ms
    # The command holds the deadline as a duration from the submission, the state as a log time.
    if record.start_deadline_ms:
        record.start_deadline_ms += state.at_ms
    _add_tasks(state, record, record.task_count)
    state.records[record.id] = record
    state.open_records[record.id] = record
    add_decision(state, record, what="accepted", why=f"{record.task_count} tasks wait")
    _notify_listeners(state, record)
    return Result(status=201, id=record.id, revision=record.revision)


def _add_tasks(state: CellState, record: Record, count: int) -> None:
    start = len(record.tasks)
    for index in range(start, start + count):
        record.tasks.add(index=index, state=TASK_PENDING)
    state.team_waiting[record.team] += count


def _notify_listeners(state: CellState, record: Record) -> None:
    for listener in state.listeners:
        listener.on_record(record)


def _find_conflict(state: CellState, record_id: str, if_revision: int) -> Result | None:
    record = state.records.get(record_id)
    if record is None:
        return make_refusal(Refusal.NOT_FOUND, f"there is no record {record_id}")
    # An expected revision of 0 matches any revision, unlike for a configuration.
    if if_revision and record.revision != if_revision:
        return make_refusal(
            Refusal.REVISION_CONFLICT,
            f"record {record_id} is at revision {record.revision}, not {if_revision}",
            revision=record.revision,
            record=record_id,
        )
    if record.state in FINAL_RECORD_STATES:
        return make_refusal(
            Refusal.RECORD_ENDED,
            f"record {record_id} has ended",
            revision=record.revision,
            record=record_id,
        )
    return None


@applies("change_record")
def apply_change_record(state: CellState, command: Command) -> Result:
    """Change a record that has not ended, if its revision is the expected one."""
    change = command.change_record
    conflict = _find_conflict(state, change.id, change.if_revision)
    if conflict is not None:
        return conflict
    record = state.records[change.id]
    is_resized = change.record.task_count != record.task_count
    if record.kind == RecordKind.GANG.value and is_resized and has_reserved_resources(record):
        return make_refusal(
            Refusal.GANG_RUNNING,
            f"gang {record.id} runs whole or not at all, so it cannot be resized while it runs",
            revision=record.revision,
            record=record.id,
        )
    _copy_spec(state, record, change.record)
    record.revision = state.applying_index
    _resize(state, record)
    add_decision(state, record, what="changed", why=f"now {record.task_count} tasks")
    close_record_if_idle(state, record)
    _notify_listeners(state, record)
    return Result(status=200, id=record.id, revision=record.revision)


def _copy_spec(state: CellState, record: Record, changed: Record) -> None:
    submitted_ms = record.submitted_ms
    for name in _SPEC_FIELDS:
        setattr(record, name, getattr(changed, name))
    for name in _SPEC_LISTS:
        del getattr(record, name)[:]
        getattr(record, name).extend(getattr(changed, name))
    record.resources.CopyFrom(changed.resources)
    if changed.start_deadline_ms:
        record.start_deadline_ms = submitted_ms + changed.start_deadline_ms


def _resize(state: CellState, record: Record) -> None:
    missing = record.task_count - len(record.tasks)
    if missing > 0:
        _add_tasks(state, record, missing)
    for task in list(record.tasks)[record.task_count :]:
        stop_task(state, record, task, after=TASK_CANCELLED, reason="the record was changed")


@applies("cancel_records")
def apply_cancel_records(state: CellState, command: Command) -> Result:
    """Cancel one record at an expected revision, or all records that match a selection."""
    cancel = command.cancel_records
    if cancel.if_revision or (len(cancel.ids) == 1 and not cancel.team):
        conflict = _find_conflict(state, cancel.ids[0], cancel.if_revision)
        if conflict is not None:
            return conflict
    records = _select_records(state, cancel)
    for record in records:
        record.revision = state.applying_index
        end_record(state, record, RECORD_CANCELLED, code="cancelled", reason="by an operator")
    result = Result(status=200, count=len(records), revision=state.applying_index)
    if len(cancel.ids) == 1:
        result.id = cancel.ids[0]
    return result


def _select_records(state: CellState, cancel: cell_pb2.CancelRecords) -> list[Record]:
    if cancel.ids:
        found = [state.open_records.get(record_id) for record_id in cancel.ids]
        candidates = [record for record in found if record is not None]
    else:
        candidates = list(state.open_records.values())
    return [
        record
        for record in candidates
        if record.state not in FINAL_RECORD_STATES
        and (not cancel.team or record.team == cancel.team)
        and record.name.startswith(cancel.name_prefix)
    ]


@applies("refuse_records")
def apply_refuse_records(state: CellState, command: Command) -> Result:
    """Refuse accepted records that have no placement, not counting lost and preempted ones."""
    count = 0
    for refused in command.refuse_records.records:
        record = state.open_records.get(refused.id)
        if record is None or any(task.attempts for task in record.tasks):
            continue
        end_record(state, record, RECORD_REFUSED, code=refused.code, reason=refused.reason)
        count += 1
    return Result(status=200, count=count)


@applies("expire")
def apply_expire(state: CellState, command: Command) -> Result:
    """Delete expired outcomes and claims, and the first submitted ended records above the limit."""
    state.outcomes.expire(state.at_ms)
    expire_claims(state)
    ended = [
        record
        for record in state.records.values()
        if record.state in FINAL_RECORD_STATES and record.id not in state.open_records
    ]
    for record in ended[: max(0, len(ended) - MAX_ENDED_RECORDS)]:
        del state.records[record.id]
    return Result(status=200)


def has_reserved_resources(record: Record) -> bool:
    """Return whether any task of a record has resources reserved on a worker."""
    return any(task.state in ACTIVE_TASK_STATES for task in record.tasks)
