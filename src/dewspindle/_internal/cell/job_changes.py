"""Commands that change multi-step jobs, called workers and the queue table."""

from ..models.ids import JobId
from ..schema.cell_pb2 import Command, Result
from ..schema.jobs_pb2 import (
    JOB_CANCELLED,
    JOB_CHANGE_CANCELLED_BEFORE,
    JOB_CHANGE_DONE,
    JOB_CHANGE_ID_IN_USE,
    JOB_CHANGE_NO_SUCH_JOB,
    JOB_CHANGE_OTHER_TEAM,
    JOB_FAILED,
    JOB_OPEN,
    JOB_SUCCEEDED,
    Job,
    JobCancellation,
    JobChange,
    JobState,
)
from ..utils.refusals import Refusal
from .jobs import StoredJob
from .registry import applies
from .results import make_refusal
from .state import CellState


@applies("submit_jobs")
def apply_submit_jobs(state: CellState, command: Command) -> Result:
    """Accept jobs of an entry of an earlier version."""
    for message in command.submit_jobs.jobs:
        _submit(state, message)
    return Result(status=200)


@applies("cancel_jobs")
def apply_cancel_jobs(state: CellState, command: Command) -> Result:
    """Cancel jobs of an entry of an earlier version."""
    known = 0
    for job_id in command.cancel_jobs.ids:
        job = state.job_store.jobs.get(JobId(job_id))
        if job is None:
            continue
        known += 1
        if job.is_open:
            _end_job(state, job, JOB_CANCELLED)
    if not known:
        return make_refusal(Refusal.NOT_FOUND, "none of these jobs is known")
    return Result(status=200, count=known)


@applies("change_jobs")
def apply_change_jobs(state: CellState, command: Command) -> Result:
    """Accept and cancel jobs, and return what that did for each of them."""
    changes = command.change_jobs
    submissions = [_submit(state, message) for message in changes.submissions]
    cancellations = [_cancel(state, message) for message in changes.cancellations]
    return Result(status=200, submissions=submissions, cancellations=cancellations)


def _submit(state: CellState, message: Job) -> JobChange.ValueType:
    """Accept a job, leaving one that is already known unchanged."""
    store = state.job_store
    known = store.jobs.get(JobId(message.id))
    if known is not None:
        return JOB_CHANGE_DONE if known.belongs_to(message.queue) else JOB_CHANGE_ID_IN_USE
    message.accepted_ms = state.at_ms
    message.accepted_term = state.term
    was_cancelled = store.cancelled_ids.includes(message)
    if was_cancelled:
        message.state = JOB_CANCELLED
        message.ended_ms = state.at_ms
    job = store.add(message)
    for listener in state.listeners:
        listener.on_job(job)
    return JOB_CHANGE_CANCELLED_BEFORE if was_cancelled else JOB_CHANGE_DONE


def _cancel(state: CellState, cancellation: JobCancellation) -> JobChange.ValueType:
    """Cancel a job, or the one that a submission under way may still bring."""
    store = state.job_store
    job = store.jobs.get(JobId(cancellation.id))
    if job is None or not job.is_of_queue(cancellation.host, cancellation.path_prefix):
        store.cancelled_ids.add(cancellation, at_ms=state.at_ms)
        return JOB_CHANGE_NO_SUCH_JOB
    if job.team and job.team != cancellation.team:
        return JOB_CHANGE_OTHER_TEAM
    if job.is_open:
        _end_job(state, job, JOB_CANCELLED)
    return JOB_CHANGE_DONE


@applies("report_ends")
def apply_report_ends(state: CellState, command: Command) -> Result:
    """Record task ends, ignoring those that were reported before."""
    count = 0
    for end in command.report_ends.ends:
        job = state.job_store.jobs.get(JobId(end.job))
        if job is None or not 0 <= end.position < job.layout.size:
            continue
        if not job.apply_end(end):
            continue
        count += 1
        for listener in state.listeners:
            listener.on_task_end(job, end)
        if not job.is_open:
            continue
        if job.has_succeeded:
            _end_job(state, job, JOB_SUCCEEDED)
        elif job.has_exhausted_attempts(end.position) or (
            end.gives_up and not job.is_done(end.position)
        ):
            _end_job(state, job, JOB_FAILED)
    return Result(status=200, count=count)


def _end_job(state: CellState, job: StoredJob, outcome: JobState.ValueType) -> None:
    job.message.state = outcome
    job.message.ended_ms = state.at_ms
    for listener in state.listeners:
        listener.on_job(job)


@applies("enlist_workers")
def apply_enlist_workers(state: CellState, command: Command) -> Result:
    """Record called workers (`EnlistWorkers`), replacing known ones."""
    for worker in command.enlist_workers.workers:
        state.job_store.workers[worker.id] = worker
    return Result(status=200)


@applies("discharge_workers")
def apply_discharge_workers(state: CellState, command: Command) -> Result:
    """Remove called workers that no longer run any task (`DischargeWorkers`)."""
    for worker_id in command.discharge_workers.ids:
        state.job_store.workers.pop(worker_id, None)
    return Result(status=200)


@applies("queue_table")
def apply_queue_table(state: CellState, command: Command) -> Result:
    """Replace the queue table if the new version is higher; succeed in either case."""
    if command.queue_table.version > state.job_store.queue_table.version:
        state.job_store.queue_table = command.queue_table
        for listener in state.listeners:
            listener.on_queues()
    return Result(status=200)


@applies("expire_jobs")
def apply_expire_jobs(state: CellState, command: Command) -> Result:
    """Delete jobs that ended, and cancelled ids, longer ago than the retention period."""
    before = state.at_ms - command.expire_jobs.keep_ms
    state.job_store.cancelled_ids.expire(before)
    jobs = state.job_store.jobs
    for job_id, job in list(jobs.items()):
        if job.message.state != JOB_OPEN and job.message.ended_ms < before:
            del jobs[job_id]
    return Result(status=200)
