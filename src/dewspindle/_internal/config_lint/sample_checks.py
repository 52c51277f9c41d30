"""Checks of a queue table against sample jobs of its queues."""

from collections.abc import Iterator

from ..cell.jobs import StoredJob
from ..jobs.request_handler import exceeds_cap
from ..jobs.runs import JobRun
from ..models.resources import make_amounts
from ..schema import jobs_pb2
from .findings import CheckInput, Need, SampleJob, Severity, Violation
from .registry import QUEUE_TABLE, register_check

TableInput = CheckInput[jobs_pb2.QueueTable]


def _find_steps(
    subject: TableInput,
) -> Iterator[tuple[int, jobs_pb2.Queue, SampleJob, int, jobs_pb2.JobStep]]:
    """Yield the steps of all samples with the queue of each."""
    for sample in subject.samples:
        for number, queue in enumerate(subject.document.queues):
            if queue.name == sample.queue:
                for position, step in enumerate(sample.spec.steps):
                    yield number, queue, sample, position, step


@register_check(
    "sample-without-queue",
    config=QUEUE_TABLE,
    severity=Severity.ERROR,
    meaning="The queue that a sample job is given for is not in the file.",
    hint="correct the name of the queue in --sample, or in the file",
    needs=(Need.SAMPLES,),
)
def _check_sample_queues(subject: TableInput) -> Iterator[Violation]:
    names = {queue.name for queue in subject.document.queues}
    for sample in subject.samples:
        if sample.queue not in names:
            yield Violation(("queues",), f"{sample.source}: there is no queue {sample.queue!r}")


@register_check(
    "cap-below-task",
    config=QUEUE_TABLE,
    severity=Severity.ERROR,
    meaning="The cap of a team is below one task, or one gang, of a sample job.",
    hint="raise the cap; the cell refuses such jobs of the team",
    needs=(Need.SAMPLES,),
)
def _check_caps(subject: TableInput) -> Iterator[Violation]:
    for number, team in enumerate(subject.document.teams):
        for sample in subject.samples:
            if exceeds_cap(sample.spec, team):
                yield Violation(
                    ("teams", number, "cap"),
                    f"a task or gang of {sample.source}, a job of queue {sample.queue!r}, exceeds"
                    f" the cap of team {team.name!r}",
                )


@register_check(
    "task-above-workers",
    config=QUEUE_TABLE,
    severity=Severity.ERROR,
    meaning="No worker that may run a task of a sample job is large enough for it.",
    hint="make the task smaller, or add larger workers to the pool of the queue",
    needs=(Need.WORKERS, Need.SAMPLES),
)
def _check_task_sizes(subject: TableInput) -> Iterator[Violation]:
    fleet = subject.require_fleet()
    for number, queue, sample, position, step in _find_steps(subject):
        size = make_amounts(step.resources)
        workers = fleet.get_pool_workers(queue.pool)
        if workers and not any(size.fits_in(worker.capacity) for worker in workers):
            yield Violation(
                ("queues", number),
                f"a task of steps[{position}] of {sample.source} takes {size}, more than any"
                f" worker of queue {queue.name!r} has",
            )


@register_check(
    "label-without-workers",
    config=QUEUE_TABLE,
    severity=Severity.ERROR,
    meaning="No worker of a queue has the label that a sample job requires.",
    hint="correct the label of the job, or add it to workers",
    needs=(Need.LABELS, Need.SAMPLES),
)
def _check_labels(subject: TableInput) -> Iterator[Violation]:
    fleet = subject.require_fleet()
    for number, queue, sample, position, step in _find_steps(subject):
        label = step.required_label
        workers = fleet.get_pool_workers(queue.pool)
        if label and not any(label in (worker.labels or ()) for worker in workers):
            yield Violation(
                ("queues", number),
                f"no worker of queue {queue.name!r} has the label {label!r}, which"
                f" steps[{position}] of {sample.source} requires",
            )


@register_check(
    "timeout-below-sample",
    config=QUEUE_TABLE,
    severity=Severity.WARNING,
    meaning="The timeout of a queue is below the latency target of a sample job.",
    hint="raise the timeout, or lower the slack factor or the latency target",
    needs=(Need.SAMPLES,),
)
def _check_sample_targets(subject: TableInput) -> Iterator[Violation]:
    for sample in subject.samples:
        for number, queue in enumerate(subject.document.queues):
            if queue.name != sample.queue:
                continue
            stored = StoredJob(jobs_pb2.Job(queue=queue, spec=sample.spec))
            run = JobRun(stored, queue=queue, accepted_at=0.0, is_inherited=False)
            target_ms = run.latency_target.target_s * 1000
            if queue.timeout_ms < target_ms:
                yield Violation(
                    ("queues", number, "timeout_ms"),
                    f"queue {queue.name!r} times out after {queue.timeout_ms} ms, before the"
                    f" latency target of {sample.source}, {target_ms:.0f} ms",
                )
