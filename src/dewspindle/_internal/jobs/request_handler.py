"""Handles callers' requests about jobs on the leader."""

from ..cell.jobs import StoredJob
from ..cell.view import CellView
from ..models.enums import JobStatus
from ..models.ids import JobId, is_valid_job_id
from ..replication.replica import Replica
from ..schema import cell_pb2, jobs_pb2, peers_pb2
from ..schema.jobs_pb2 import JOB_CANCELLED, JOB_FAILED, JOB_SUCCEEDED
from ..schema.peers_pb2 import JOB_CANCEL, JOB_READ, JOB_SUBMIT, JobAnswer, JobRequest
from ..utils.logs import get_logger
from ..utils.metrics import Metrics
from ..utils.refusals import Refusal
from .open_jobs import OpenJobs

DEFAULT_MAX_BODY_BYTES = 1024 * 1024  # Of a submission, where the queue table sets no limit.
NOT_CONFIGURED_RETRY_MS = 1000  # At start-up callers may come before the first queue table.

_STATUSES = {
    JOB_SUCCEEDED: JobStatus.SUCCEEDED,
    JOB_FAILED: JobStatus.FAILED,
    JOB_CANCELLED: JobStatus.CANCELLED,
}

logger = get_logger(__name__)


class JobRequestHandler:
    """Accepts, reads and cancels jobs while this instance leads."""

    def __init__(
        self, *, replica: Replica, view: CellView, jobs: OpenJobs, metrics: Metrics
    ) -> None:
        self._replica = replica
        self._store = view.state.job_store
        self._jobs = jobs
        self._metrics = metrics

    async def answer(self, request: peers_pb2.RelayJobsRequest) -> peers_pb2.RelayJobsAnswer:
        """Commit the changes of a batch together, then answer its requests."""
        answers: list[JobAnswer | None] = [None] * len(request.requests)
        submits: list[jobs_pb2.Job] = []
        cancels: list[str] = []
        for number, item in enumerate(request.requests):
            queue = self._store.find_queue(item.host, item.path)
            if queue is None:
                answers[number] = self._refuse_without_queue(item)
            elif item.call == JOB_SUBMIT:
                answers[number] = self._check_submission(item, queue)
                if answers[number] is None:
                    submits.append(self._make_job(item, queue))
            elif item.call == JOB_CANCEL:
                job = self._find_job(item, queue)
                if job is not None:
                    cancels.append(job.id)
        await self._commit(submits, cancels)
        for number, item in enumerate(request.requests):
            if answers[number] is None:
                answers[number] = self._make_answer(item)
        return peers_pb2.RelayJobsAnswer(answers=[a for a in answers if a is not None])

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

    async def _commit(self, submits: list[jobs_pb2.Job], cancels: list[str]) -> None:
        new = [job for job in submits if job.id not in self._store.jobs]
        if new:
            submit = jobs_pb2.SubmitJobs(jobs=new)
            await self._replica.propose(cell_pb2.Command(submit_jobs=submit))
            for job in new:
                logger.info("job accepted", job=job.id, queue=job.queue.name)
        if cancels:
            cancel = jobs_pb2.CancelJobs(ids=cancels)
            await self._replica.propose(cell_pb2.Command(cancel_jobs=cancel))
            # Unknown jobs and those that had ended are logged as well.
            logger.info("jobs cancelled", jobs=cancels)

    def _refuse_without_queue(self, item: JobRequest) -> JobAnswer:
        if self._store.queue_table.version == 0:
            return self._refuse(
                item, Refusal.NOT_CONFIGURED, 503, retry_after_ms=NOT_CONFIGURED_RETRY_MS
            )
        return self._refuse(item, Refusal.NO_QUEUE, 404)

    def _refuse(
        self, item: JobRequest, refusal: Refusal, status: int, *, retry_after_ms: int = 0
    ) -> JobAnswer:
        self._metrics.count_refusal(refusal)
        logger.info(
            "request refused",
            path=item.path,
            call=peers_pb2.JobCall.Name(item.call),
            code=refusal.value,
            queues_version=self._store.queue_table.version,
        )
        return JobAnswer(status=status, code=refusal.value, retry_after_ms=retry_after_ms)

    def _make_answer(self, item: JobRequest) -> JobAnswer:
        queue = self._store.find_queue(item.host, item.path)
        if queue is None:
            # A submission that was committed before the queue was removed is accepted all the same.
            is_accepted = item.call == JOB_SUBMIT
            return JobAnswer(status=200) if is_accepted else self._refuse_without_queue(item)
        if item.call == JOB_READ and item.path == queue.path_prefix:
            waiting = self._jobs.count_waiting(queue)
            return JobAnswer(status=200, counted=True, waiting=waiting)
        job = self._find_job(item, queue)
        if job is None and item.call == JOB_SUBMIT:
            return self._refuse(item, Refusal.JOB_ID_IN_USE, 409)
        if job is None:
            return self._refuse(item, Refusal.NO_SUCH_JOB, 410)
        if item.call != JOB_READ:
            return JobAnswer(status=200)
        return JobAnswer(status=200, state=self._get_status(job).value)

    def _get_status(self, job: StoredJob) -> JobStatus:
        ended = _STATUSES.get(job.message.state)
        if ended is not None:
            return ended
        has_started = self._jobs.has_started(job.id)
        return JobStatus.RUNNING if has_started else JobStatus.WAITING
