"""Handles callers' requests about jobs on the leader."""

from ..cell.jobs import StoredJob
from ..cell.view import CellView
from ..models.enums import JobStatus
from ..models.ids import JobId, is_valid_job_id
from ..models.resources import NO_RESOURCES, make_amounts
from ..replication.replica import Replica
from ..scheduling.admission import Admission, AdmissionControl, JobDemand
from ..scheduling.team_caps import make_cap
from ..schema import cell_pb2, jobs_pb2, peers_pb2
from ..schema.jobs_pb2 import (
    JOB_CANCELLED,
    JOB_CHANGE_CANCELLED_BEFORE,
    JOB_CHANGE_DONE,
    JOB_CHANGE_ID_IN_USE,
    JOB_CHANGE_NO_SUCH_JOB,
    JOB_CHANGE_OTHER_TEAM,
    JOB_FAILED,
    JOB_SUCCEEDED,
    JobChange,
)
from ..schema.peers_pb2 import JOB_CANCEL, JOB_SUBMIT, JobAnswer, JobRequest
from ..utils.logs import get_logger
from ..utils.metrics import Metrics
from ..utils.refusals import Refusal
from ..utils.timers import TimerService
from .open_jobs import OpenJobs
from .runs import compute_longest_paths, compute_target
from .team_counters import TeamCounters

DEFAULT_MAX_BODY_BYTES = 1024 * 1024  # Of a submission, where the queue table sets no limit.
NOT_CONFIGURED_RETRY_MS = 1000  # At start-up callers may come before the first queue table.
# Cancellations of unknown jobs that are remembered for the retention period, some 0.5 KB each.
MAX_CANCELLED_IDS = 20_000
FULL_RETRY_MS = 10_000  # Ended jobs and cancelled ids are forgotten about as often.

_STATUSES = {
    JOB_SUCCEEDED: JobStatus.SUCCEEDED,
    JOB_FAILED: JobStatus.FAILED,
    JOB_CANCELLED: JobStatus.CANCELLED,
}

# A team's own rate is its caller's to keep, 429; a full fleet is not, 503.
_ADMISSION_REFUSALS = {
    Admission.REFUSED_BEYOND_SHARE: (Refusal.BEYOND_SHARE, 429),
    Admission.REFUSED_HOPELESS: (Refusal.OVERLOADED, 503),
}

logger = get_logger(__name__)


def compute_demand(job: jobs_pb2.Job) -> JobDemand:
    """Return what the tasks take that may start at once, and how long the job can wait."""
    total = NO_RESOURCES
    for step in job.spec.steps:
        if not step.depends_on:
            total += make_amounts(step.resources) * step.count
    path_s = max(compute_longest_paths(job.spec), default=0.0)
    return JobDemand(
        amounts=total,
        priority=job.queue.priority,
        path_s=path_s,
        target_s=compute_target(job.queue, path_s),
    )


def exceeds_cap(spec: jobs_pb2.JobSpec, team: jobs_pb2.Team) -> bool:
    """Return whether a gang, or a single task, takes more than its team may ever have."""
    cap = make_cap(team)
    return any(
        not (make_amounts(step.resources) * (step.count if step.gang else 1)).fits_in(cap)
        for step in spec.steps
    )


class _Batch:
    """Requests that are committed together, by their number."""

    def __init__(self, size: int) -> None:
        self.answers: list[JobAnswer | None] = [None] * size
        self.submissions: dict[int, jobs_pb2.Job] = {}
        self.cancellations: dict[int, jobs_pb2.JobCancellation] = {}


class JobRequestHandler:
    """Accepts, reads and cancels jobs while this instance leads."""

    def __init__(
        self,
        *,
        replica: Replica,
        view: CellView,
        jobs: OpenJobs,
        admission: AdmissionControl,
        counters: TeamCounters,
        timers: TimerService,
        metrics: Metrics,
    ) -> None:
        self._replica = replica
        self._store = view.state.job_store
        self._jobs = jobs
        self._admission = admission
        self._counters = counters
        self._timers = timers
        # Digests of the keys that submitted the jobs that are being committed. Resends of such
        # jobs must not be refused, as the jobs will run.
        self._committing: dict[str, bytes] = {}
        self._metrics = metrics

    async def answer(self, request: peers_pb2.RelayJobsRequest) -> peers_pb2.RelayJobsAnswer:
        """Commit the changes of a batch together, then answer its requests."""
        received_at = self._timers.now()
        batch = _Batch(len(request.requests))
        for number, item in enumerate(request.requests):
            batch.answers[number] = self._prepare(batch, number, item)
        await self._commit(request, batch)
        for number, item in enumerate(request.requests):
            if batch.answers[number] is None:
                batch.answers[number] = self._answer_read(item)
        return peers_pb2.RelayJobsAnswer(
            answers=[a for a in batch.answers if a is not None],
            handling_ms=round((self._timers.now() - received_at) * 1000),
        )

    def _prepare(self, batch: _Batch, number: int, item: JobRequest) -> JobAnswer | None:
        """Return the answer to a request that needs no commit; add its change to the batch."""
        queue = self._store.find_queue(item.host, item.path)
        if queue is None:
            return self._refuse_without_queue(item)
        team = self._store.find_team_by_key(item.key_digest)
        refusal = self._check_key(item, queue, team)
        if refusal is not None:
            return refusal
        if item.call == JOB_SUBMIT:
            return self._prepare_submission(batch, number, item, queue=queue, team=team)
        if item.call == JOB_CANCEL:
            return self._prepare_cancellation(batch, number, item, queue=queue, team=team)
        return None

    def _check_key(
        self, item: JobRequest, queue: jobs_pb2.Queue, team: jobs_pb2.Team | None
    ) -> JobAnswer | None:
        """Return the refusal of a request whose key does not allow it, or None.

        This instance leads, so its queue table is the newest: no key is refused that was just
        added, and none is accepted whose withdrawal was acknowledged.
        """
        job = self._find_job(item, queue)
        if team is None and self._store.queue_table.requires_keys and not queue.is_public:
            if item.call == JOB_SUBMIT and self._is_resent(item, queue, job):
                # The job was accepted before its key was withdrawn, so 401 would be untrue.
                return self._refuse(item, Refusal.OUTCOME_UNKNOWN, 504)
            return self._refuse(item, Refusal.KEY_UNKNOWN, 401)
        if job is None or not job.team or (team is not None and team.name == job.team):
            return None
        if item.call == JOB_SUBMIT:
            return self._refuse_used_id(item)
        return self._refuse(item, Refusal.OTHER_TEAM, 403)

    def _is_resent(self, item: JobRequest, queue: jobs_pb2.Queue, job: StoredJob | None) -> bool:
        """Return whether a job was submitted with the same key, and accepted or soon to be."""
        if job is not None:
            submitted_by = job.message.key_digest
        else:
            submitted_by = self._committing.get(item.path[len(queue.path_prefix) :], b"")
        return bool(submitted_by) and item.key_digest == submitted_by

    def _prepare_submission(
        self,
        batch: _Batch,
        number: int,
        item: JobRequest,
        *,
        queue: jobs_pb2.Queue,
        team: jobs_pb2.Team | None,
    ) -> JobAnswer | None:
        """Add the job to those to commit, or return the answer to its submission."""
        refusal = self._check_submission(item, queue)
        if refusal is not None:
            return refusal
        job = self._make_job(item, queue)
        known = self._store.jobs.get(JobId(job.id))
        if known is not None:
            is_resent = known.belongs_to(queue)
            return JobAnswer(status=200) if is_resent else self._refuse_used_id(item)
        is_new = job.id not in self._committing
        if is_new and self._replica.is_state_full:
            return self._refuse(item, Refusal.STATE_FULL, 503, retry_after_ms=FULL_RETRY_MS)
        if team is not None and is_new:
            refusal = self._admit(item, job, team)
            if refusal is not None:
                return refusal
        batch.submissions[number] = job
        return None

    def _prepare_cancellation(
        self,
        batch: _Batch,
        number: int,
        item: JobRequest,
        *,
        queue: jobs_pb2.Queue,
        team: jobs_pb2.Team | None,
    ) -> JobAnswer | None:
        """Add the cancellation to those to commit, or return its answer.

        That of an unknown job is committed as well, as a submission may be under way.
        """
        job = self._find_job(item, queue)
        if job is not None and not job.is_open:
            return JobAnswer(status=200)
        job_id = item.path[len(queue.path_prefix) :]
        if not is_valid_job_id(job_id):
            return self._refuse(item, Refusal.NO_SUCH_JOB, 410)
        if job is None and len(self._store.cancelled_ids) >= MAX_CANCELLED_IDS:
            return self._refuse(item, Refusal.STATE_FULL, 503, retry_after_ms=FULL_RETRY_MS)
        batch.cancellations[number] = jobs_pb2.JobCancellation(
            id=job_id,
            host=queue.host,
            path_prefix=queue.path_prefix,
            team="" if team is None else team.name,
        )
        return None

    def _admit(self, item: JobRequest, job: jobs_pb2.Job, team: jobs_pb2.Team) -> JobAnswer | None:
        """Assign a new job to its team, or return its refusal."""
        if exceeds_cap(job.spec, team):
            return self._refuse(item, Refusal.GANG_EXCEEDS_CAP, 429)
        decision = self._admission.decide(
            team.name,
            weight=team.weight,
            demand=compute_demand(job),
            now=self._timers.now(),
        )
        if decision.outcome in _ADMISSION_REFUSALS:
            refusal, status = _ADMISSION_REFUSALS[decision.outcome]
            retry_after_ms = int(decision.retry_after_s * 1000)
            return self._refuse(item, refusal, status, retry_after_ms=retry_after_ms)
        job.team = team.name
        job.key_digest = item.key_digest
        job.is_beyond_share = decision.outcome is Admission.BEYOND_SHARE
        return None

    def _check_submission(self, item: JobRequest, queue: jobs_pb2.Queue) -> JobAnswer | None:
        """Return the refusal of a submission that can never be accepted, or None."""
        limit = self._store.queue_table.max_body_bytes or DEFAULT_MAX_BODY_BYTES
        if item.body_bytes > limit:
            return self._refuse(item, Refusal.BODY_TOO_LARGE, 413)
        if not is_valid_job_id(item.path[len(queue.path_prefix) :]):
            return self._refuse(item, Refusal.INVALID_JOB_ID, 400)
        return None

    def _find_job(self, item: JobRequest, queue: jobs_pb2.Queue) -> StoredJob | None:
        """Return the job that a path names, or None if the queue has no such job."""
        job = self._store.jobs.get(JobId(item.path[len(queue.path_prefix) :]))
        return job if job is not None and job.belongs_to(queue) else None

    def _make_job(self, item: JobRequest, queue: jobs_pb2.Queue) -> jobs_pb2.Job:
        return jobs_pb2.Job(id=item.path[len(queue.path_prefix) :], queue=queue, spec=item.spec)

    async def _commit(self, request: peers_pb2.RelayJobsRequest, batch: _Batch) -> None:
        """Commit the changes of a batch, and answer their requests by what the commit has done.

        All changes are one entry, so an error tells whether they may have had an effect.
        """
        if not batch.submissions and not batch.cancellations:
            return
        jobs = list(batch.submissions.values())
        cancellations = list(batch.cancellations.values())
        changes = jobs_pb2.ChangeJobs(submissions=jobs, cancellations=cancellations)
        self._committing.update((job.id, job.key_digest) for job in jobs)
        try:
            result = await self._replica.propose(cell_pb2.Command(change_jobs=changes))
        finally:
            for job in jobs:
                self._committing.pop(job.id, None)
        for (number, job), change in zip(
            batch.submissions.items(), result.submissions, strict=True
        ):
            batch.answers[number] = self._answer_submission(request.requests[number], job, change)
        for (number, cancellation), change in zip(
            batch.cancellations.items(), result.cancellations, strict=True
        ):
            batch.answers[number] = self._answer_cancellation(
                request.requests[number], cancellation, change
            )

    def _answer_submission(
        self, item: JobRequest, job: jobs_pb2.Job, change: JobChange.ValueType
    ) -> JobAnswer:
        if change == JOB_CHANGE_ID_IN_USE:
            return self._refuse_used_id(item)
        if change == JOB_CHANGE_DONE:
            self._counters.count_accepted(job.team, is_beyond_share=job.is_beyond_share)
        logger.info(
            "job accepted",
            job=job.id,
            queue=job.queue.name,
            team=job.team,
            is_beyond_share=job.is_beyond_share,
            was_cancelled=change == JOB_CHANGE_CANCELLED_BEFORE,
        )
        return JobAnswer(status=200)

    def _answer_cancellation(
        self,
        item: JobRequest,
        cancellation: jobs_pb2.JobCancellation,
        change: JobChange.ValueType,
    ) -> JobAnswer:
        if change == JOB_CHANGE_NO_SUCH_JOB:
            return self._refuse(item, Refusal.NO_SUCH_JOB, 410)
        if change == JOB_CHANGE_OTHER_TEAM:
            return self._refuse(item, Refusal.OTHER_TEAM, 403)
        logger.info("job cancelled", job=cancellation.id)
        return JobAnswer(status=200)

    def _refuse_used_id(self, item: JobRequest) -> JobAnswer:
        return self._refuse(item, Refusal.JOB_ID_IN_USE, 409)

    def _refuse_without_queue(self, item: JobRequest) -> JobAnswer:
        if self._store.queue_table.version == 0:
            return self._refuse(
                item, Refusal.NOT_CONFIGURED, 503, retry_after_ms=NOT_CONFIGURED_RETRY_MS
            )
        return self._refuse(item, Refusal.NO_QUEUE, 404)

    def _refuse(
        self,
        item: JobRequest,
        refusal: Refusal,
        status: int,
        *,
        retry_after_ms: int = 0,
    ) -> JobAnswer:
        team = self._store.find_team_by_key(item.key_digest)
        name = "" if team is None else team.name  # Of the caller.
        self._metrics.count_refusal(refusal)
        self._counters.count_refused(name, refusal)
        logger.info(
            "request refused",
            path=item.path,
            call=peers_pb2.JobCall.Name(item.call),
            code=refusal.value,
            team=name,
            retry_after_ms=retry_after_ms,
            queues_version=self._store.queue_table.version,
        )
        return JobAnswer(status=status, code=refusal.value, retry_after_ms=retry_after_ms)

    def _answer_read(self, item: JobRequest) -> JobAnswer:
        queue = self._store.find_queue(item.host, item.path)
        if queue is None:
            return self._refuse_without_queue(item)
        if item.path == queue.path_prefix:
            waiting = self._jobs.count_waiting(queue)
            return JobAnswer(status=200, counted=True, waiting=waiting)
        job = self._find_job(item, queue)
        if job is None:
            return self._refuse(item, Refusal.NO_SUCH_JOB, 410)
        if not job.is_open:
            # Callers stop reading once they know of the end, so most ends are read once.
            age_s = max(0, self._timers.wall_ms() - job.message.ended_ms) / 1000
            self._metrics.record("dewspindle_end_read_seconds", age_s)
        return JobAnswer(status=200, state=self._get_status(job).value)

    def _get_status(self, job: StoredJob) -> JobStatus:
        ended = _STATUSES.get(job.message.state)
        if ended is not None:
            return ended
        has_started = self._jobs.has_started(job.id)
        return JobStatus.RUNNING if has_started else JobStatus.WAITING
