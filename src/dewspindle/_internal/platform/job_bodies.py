"""Jobs as callers send them, and their states as callers read them."""

from typing import Any

from ..exceptions import InvalidDocumentError
from ..models.enums import JobStatus
from ..schema import jobs_pb2, resources_pb2
from .fields import (
    MAX_LONG_COUNT,
    as_object,
    parse_object,
    read_count,
    read_flag,
    read_list,
    read_text,
)

MAX_SPEC_BYTES = 4000  # Of the payload that tasks are handed.
MAX_TASKS = 100_000  # Of all steps and occurrences, which bounds what one job costs the leader.

STATE_WORDS = {
    JobStatus.WAITING: "pending",
    JobStatus.RUNNING: "in_progress",
    JobStatus.SUCCEEDED: "completed",
    JobStatus.FAILED: "failed",
    JobStatus.CANCELLED: "aborted",
}


def decode_job(body: bytes) -> jobs_pb2.JobSpec:
    """Return a checked job; raise `MalformedBodyError` or `InvalidDocumentError`."""
    fields = parse_object(body)
    payload = read_text(fields, "spec", default="")
    if len(payload.encode()) > MAX_SPEC_BYTES:
        raise InvalidDocumentError("field 'spec' is too long", field="spec")
    spec = jobs_pb2.JobSpec(
        payload=payload,
        repeat_count=read_count(fields, "repeat_count", default=0),
        first_due_ms=read_count(fields, "start_at_ms", default=0, limit=MAX_LONG_COUNT),
        interval_ms=read_count(fields, "interval_ms", default=0, limit=MAX_LONG_COUNT),
    )
    for number, entry in enumerate(read_list(fields, "steps")):
        spec.steps.append(_decode_step(as_object(entry, "steps"), number))
    if not spec.steps:
        raise InvalidDocumentError("the job has no steps", field="steps")
    if sum(step.count for step in spec.steps) * max(1, spec.repeat_count) > MAX_TASKS:
        raise InvalidDocumentError("the job has too many tasks", field="steps")
    return spec


def _decode_step(fields: dict[str, Any], number: int) -> jobs_pb2.JobStep:
    step = jobs_pb2.JobStep(
        count=read_count(fields, "count"),
        resources=decode_resources(fields),
        estimate_ms=min(read_count(fields, "estimate_ms", default=0), 2**31),
        gang=read_flag(fields, "gang"),
        rack_local=read_flag(fields, "rack_local"),
        required_label=read_text(fields, "required_label", default=""),
        data_rack=read_text(fields, "data_rack", default=""),
        max_per_worker=read_count(fields, "max_per_server", default=0),
        speculative=read_flag(fields, "speculative"),
        long_running=read_flag(fields, "long_running"),
        checkpointing=read_flag(fields, "checkpointing"),
        image=read_text(fields, "image", default=""),
        target_ms=read_count(fields, "target_ms", default=0),
        # The wire's name means that the step lives on what other tasks leave unused.
        backfill=read_flag(fields, "utilization"),
        max_unavailable=read_count(fields, "max_unavailable", default=0),
    )
    if step.count == 0:
        raise InvalidDocumentError("field 'count' is 0", field="count")
    for earlier in read_list(fields, "depends_on"):
        if not isinstance(earlier, int) or isinstance(earlier, bool) or not 0 <= earlier < number:
            raise InvalidDocumentError("'depends_on' names no earlier step", field="depends_on")
        step.depends_on.append(earlier)
    return step


def decode_resources(fields: dict[str, Any]) -> resources_pb2.Resources:
    """Return amounts of processors (thousandths of a core), memory (MB) and accelerators."""
    return resources_pb2.Resources(
        processors=read_count(fields, "cpu", default=0, limit=MAX_LONG_COUNT),
        memory_mb=read_count(fields, "mem_mb", default=0, limit=MAX_LONG_COUNT),
        accelerators=read_count(fields, "gpu", default=0, limit=MAX_LONG_COUNT),
    )
