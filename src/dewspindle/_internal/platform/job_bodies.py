"""Decoding of submitted jobs, and the names of job states in responses."""

from typing import Any

from ..exceptions import InvalidDocumentError
from ..models.enums import JobStatus
from ..schema import jobs_pb2, resources_pb2
from .fields import (
    MAX_SAFE_INTEGER,
    parse_object,
    read_bool,
    read_list,
    read_text,
    read_uint,
    require_object,
)

MAX_SPEC_BYTES = 4000  # Limit of the payload that is passed to each task.
MAX_TASKS = 100_000  # Over all steps and occurrences; bounds the cost of one job on the leader.

STATUS_NAMES = {
    JobStatus.WAITING: "pending",
    JobStatus.RUNNING: "in_progress",
    JobStatus.SUCCEEDED: "completed",
    JobStatus.FAILED: "failed",
    JobStatus.CANCELLED: "aborted",
}


def decode_job(body: bytes) -> jobs_pb2.JobSpec:
    """Decode and validate a job; raise `MalformedBodyError` or `InvalidDocumentError`."""
    fields = parse_object(body)
    payload = read_text(fields, "spec", default="")
    if len(payload.encode()) > MAX_SPEC_BYTES:
        raise InvalidDocumentError(f"field 'spec' exceeds {MAX_SPEC_BYTES} bytes", field="spec")
    spec = jobs_pb2.JobSpec(
        payload=payload,
        repeat_count=read_uint(fields, "repeat_count", default=0),
        first_due_ms=read_uint(fields, "start_at_ms", default=0, limit=MAX_SAFE_INTEGER),
        interval_ms=read_uint(fields, "interval_ms", default=0, limit=MAX_SAFE_INTEGER),
    )
    for number, entry in enumerate(read_list(fields, "steps")):
        spec.steps.append(_decode_step(require_object(entry, "steps"), number))
    if not spec.steps:
        raise InvalidDocumentError("the job has no steps", field="steps")
    if sum(step.count for step in spec.steps) * max(1, spec.repeat_count) > MAX_TASKS:
        raise InvalidDocumentError(f"the job has more than {MAX_TASKS} tasks", field="steps")
    return spec


def _decode_step(fields: dict[str, Any], number: int) -> jobs_pb2.JobStep:
    step = jobs_pb2.JobStep(
        count=read_uint(fields, "count"),
        resources=decode_resources(fields),
        estimate_ms=min(read_uint(fields, "estimate_ms", default=0), 2**31),
        gang=read_bool(fields, "gang"),
        rack_local=read_bool(fields, "rack_local"),
        required_label=read_text(fields, "required_label", default=""),
        data_rack=read_text(fields, "data_rack", default=""),
        max_per_worker=read_uint(fields, "max_per_server", default=0),
        speculative=read_bool(fields, "speculative"),
        long_running=read_bool(fields, "long_running"),
        checkpointing=read_bool(fields, "checkpointing"),
        image=read_text(fields, "image", default=""),
        target_ms=read_uint(fields, "target_ms", default=0),
        # `utilization` marks a step for resources left idle by other tasks. Like some other fields
        # (see jobs.proto), it is stored but not used.
        backfill=read_bool(fields, "utilization"),
        max_unavailable=read_uint(fields, "max_unavailable", default=0),
    )
    if step.count == 0:
        raise InvalidDocumentError("field 'count' must be at least 1", field="count")
    for earlier in read_list(fields, "depends_on"):
        if not isinstance(earlier, int) or isinstance(earlier, bool) or not 0 <= earlier < number:
            raise InvalidDocumentError(
                "'depends_on' must contain the numbers of earlier steps", field="depends_on"
            )
        step.depends_on.append(earlier)
    return step


def decode_resources(fields: dict[str, Any]) -> resources_pb2.Resources:
    """Decode processors (millicores), memory (MB) and accelerators."""
    return resources_pb2.Resources(
        processors=read_uint(fields, "cpu", default=0, limit=MAX_SAFE_INTEGER),
        memory_mb=read_uint(fields, "mem_mb", default=0, limit=MAX_SAFE_INTEGER),
        accelerators=read_uint(fields, "gpu", default=0, limit=MAX_SAFE_INTEGER),
    )
