"""The leader's side of the workers' polls: leases, orders, and workers that vanish."""

from dataclasses import dataclass, field

import anyio

from ..cell.view import CellView
from ..cell.worker_table import WorkerInfo
from ..exceptions import DewspindleError, NotLeaderError, OutcomeUnknownError
from ..models.enums import ReportState
from ..models.ids import WorkerId, parse_task_id
from ..models.resources import NO_RESOURCES, Amounts, make_amounts
from ..models.tasks import ACTIVE_TASK_STATES
from ..replication.replica import Replica
from ..schema import cell_pb2, documents_pb2, resources_pb2, settings_pb2
from ..schema.cell_pb2 import TASK_PLACED, TASK_RUNNING
from ..utils.logs import get_logger
from ..utils.metrics import Metrics
from ..utils.refusals import RetryReason
from ..utils.timers import TimerService, wait_for_event
from .orders import make_orders

LOSE_CHECK_INTERVAL_S = 0.25
MISSED_POLLS = 2  # Polls that may leave out a running task before it counts as stopped.

logger = get_logger(__name__)


class StalePollError(DewspindleError):
    """A poll is older than another that was taken, or of a session that was replaced."""

    code = "stale-poll"
    status = 409
    hint = "poll again with a higher sequence"


@dataclass(slots=True)
class WorkerLink:
    """What the leader knows of one worker beside the replicated state."""

    session: str = ""
    sequence: int = 0
    lease_until: float = 0.0
    is_losing: bool = False
    changed: anyio.Event = field(default_factory=anyio.Event)
    missed: dict[str, int] = field(default_factory=dict)
    polled_at: float = 0.0


class PollService:
    """Answers polls under the leader's lease; a new leader counts every lease as just renewed."""

    def __init__(
        self,
        *,
        replica: Replica,
        view: CellView,
        settings: settings_pb2.Settings,
        timers: TimerService,
        metrics: Metrics,
    ) -> None:
        self._replica = replica
        self._view = view
        self._settings = settings
        self._timers = timers
        self._metrics = metrics
        self._links: dict[WorkerId, WorkerLink] = {}
        self._started_at = timers.now()

    @property
    def _lease_s(self) -> float:
        return self._settings.task_lease_ms / 1000

    def _get_link(self, worker: WorkerId) -> WorkerLink:
        link = self._links.get(worker)
        if link is None:
            link = WorkerLink(lease_until=self._started_at + self._lease_s)
            self._links[worker] = link
        return link

    def check_lease(self) -> None:
        """Raise `NotLeaderError` where this replica may not act as the leader now."""
        if not self._replica.holds_lease:
            raise NotLeaderError("the leader's lease has ended")

    async def poll(
        self, worker: WorkerId, poll: documents_pb2.PollDocument
    ) -> documents_pb2.PollAnswerDocument:
        """Take a worker's reports, renew its lease, and answer with its orders."""
        self.check_lease()
        link = self._get_link(worker)
        self._check_sequence(link, poll)
        link.polled_at = self._timers.now()
        await self._see_worker(worker, poll, link)
        acknowledged = await self._take_reports(worker, poll, link)
        orders = await self._wait_for_orders(worker, poll, link, has_news=bool(acknowledged))
        # Nothing may be waited for between this check and the answer.
        self.check_lease()
        self._check_still_newest(link, poll)
        link.lease_until = self._timers.now() + self._lease_s
        return documents_pb2.PollAnswerDocument(
            lease_ms=self._settings.task_lease_ms, orders=orders, acknowledged=acknowledged
        )

    def _check_sequence(self, link: WorkerLink, poll: documents_pb2.PollDocument) -> None:
        if link.is_losing:
            raise StalePollError("the worker's lease has ended; its tasks are being released")
        if link.session == poll.session and poll.sequence <= link.sequence:
            raise StalePollError(f"sequence {poll.sequence} comes after {link.sequence}")
        if link.session != poll.session:
            link.missed.clear()
        link.session = poll.session
        link.sequence = poll.sequence
        link.changed.set()

    def _check_still_newest(self, link: WorkerLink, poll: documents_pb2.PollDocument) -> None:
        if link.is_losing or (link.session, link.sequence) != (poll.session, poll.sequence):
            raise StalePollError("another poll of this worker was taken since")

    async def _see_worker(
        self, worker: WorkerId, poll: documents_pb2.PollDocument, link: WorkerLink
    ) -> None:
        """Commit what the poll shows to be new about the worker."""
        worker_info = self._view.state.worker_table.get(worker)
        seen = cell_pb2.Worker(
            id=worker,
            zone=poll.zone,
            rack=poll.rack,
            session=poll.session,
            capacity=resources_pb2.Resources(
                processors=poll.capacity.processors,
                memory_mb=poll.capacity.memory_mb,
                accelerators=poll.capacity.accelerators,
            ),
            strays=self._compute_strays(worker_info, poll).to_message(),
        )
        if worker_info is not None and self._is_known(worker_info.message, seen):
            return
        await self._replica.propose(cell_pb2.Command(see_worker=cell_pb2.SeeWorker(worker=seen)))

    @staticmethod
    def _is_known(known: cell_pb2.Worker, seen: cell_pb2.Worker) -> bool:
        return (
            not known.lost
            and known.session == seen.session
            and known.zone == seen.zone
            and known.rack == seen.rack
            and known.capacity == seen.capacity
            and make_amounts(known.strays) == make_amounts(seen.strays)
        )

    def _compute_strays(
        self, worker_info: WorkerInfo | None, poll: documents_pb2.PollDocument
    ) -> Amounts:
        """Return what tasks use that the worker still runs but no longer should."""
        strays = NO_RESOURCES
        for report in poll.tasks:
            if ReportState(report.state).is_final:
                continue
            record, task = self._find_task(report.task)
            if record is None:
                continue
            is_current = (
                task is not None
                and worker_info is not None
                and task.worker == worker_info.message.id
                and task.epoch == report.epoch
                and task.state in ACTIVE_TASK_STATES
                and worker_info.message.session == poll.session
            )
            if not is_current:
                strays += make_amounts(record.resources)
        return strays

    def _find_task(self, task_id: str) -> tuple[cell_pb2.Record | None, cell_pb2.Task | None]:
        try:
            record_id, index = parse_task_id(task_id)
        except ValueError:
            return None, None
        record = self._view.state.records.get(record_id)
        if record is None or index >= len(record.tasks):
            return record, None
        return record, record.tasks[index]

    async def _take_reports(
        self, worker: WorkerId, poll: documents_pb2.PollDocument, link: WorkerLink
    ) -> list[str]:
        """Commit what the reports say that the state does not; return the final ones."""
        usage = {(item.task, item.epoch): item for item in poll.usage}
        reports = []
        acknowledged = []
        for report in poll.tasks:
            state = ReportState(report.state)
            if state.is_final:
                acknowledged.append(report.task)
            message = self._make_report(worker, report, usage.get((report.task, report.epoch)))
            if message is not None:
                reports.append(message)
        reports += self._make_missed_reports(worker, poll, link)
        if reports:
            body = cell_pb2.ReportTasks(worker=worker, session=poll.session, reports=reports)
            await self._replica.propose(cell_pb2.Command(report_tasks=body))
        return acknowledged

    def _make_report(
        self,
        worker: WorkerId,
        report: documents_pb2.TaskReportDocument,
        usage: documents_pb2.UsageDocument | None,
    ) -> cell_pb2.TaskReport | None:
        record, task = self._find_task(report.task)
        if record is None or task is None or task.worker != worker or task.epoch != report.epoch:
            return None
        if task.state not in ACTIVE_TASK_STATES:
            return None
        state = ReportState(report.state)
        is_news = state.is_final or task.state == TASK_PLACED
        if not is_news and usage is None:
            return None
        return cell_pb2.TaskReport(
            record=record.id,
            index=task.index,
            epoch=task.epoch,
            state=report.state if is_news else "",
            reason=report.reason,
            processors=usage.processors if usage else 0,
            memory_mb=usage.memory_mb if usage else 0,
        )

    def _make_missed_reports(
        self, worker: WorkerId, poll: documents_pb2.PollDocument, link: WorkerLink
    ) -> list[cell_pb2.TaskReport]:
        """Report tasks as stopped that the worker ran but has left out of several polls."""
        worker_info = self._view.state.worker_table.get(worker)
        if worker_info is None:
            return []
        reported = {(report.task, report.epoch) for report in poll.tasks}
        missed = {}
        reports = []
        for record_id, index in worker_info.tasks:
            task = self._view.state.records[record_id].tasks[index]
            key = f"{record_id}.{index}"
            if task.state != TASK_RUNNING or (key, task.epoch) in reported:
                continue
            missed[key] = link.missed.get(key, 0) + 1
            if missed[key] >= MISSED_POLLS:
                reports.append(
                    cell_pb2.TaskReport(
                        record=record_id,
                        index=index,
                        epoch=task.epoch,
                        state=ReportState.STOPPED.value,
                        reason="the worker no longer reports it",
                    )
                )
        link.missed = missed
        return reports

    async def _wait_for_orders(
        self,
        worker: WorkerId,
        poll: documents_pb2.PollDocument,
        link: WorkerLink,
        *,
        has_news: bool,
    ) -> list[documents_pb2.OrderDocument]:
        hold_ms = min(poll.wait_ms, self._settings.poll_hold_ms)
        deadline = link.polled_at + hold_ms / 1000
        while True:
            link.changed = anyio.Event()
            orders = self._make_orders(worker, poll)
            remaining = deadline - self._timers.now()
            if orders or has_news or remaining <= 0:
                return orders
            await wait_for_event(self._timers, event=link.changed, seconds=remaining)
            self._check_still_newest(link, poll)

    def _make_orders(
        self, worker: WorkerId, poll: documents_pb2.PollDocument
    ) -> list[documents_pb2.OrderDocument]:
        worker_info = self._view.state.worker_table.get(worker)
        if worker_info is None:
            return []
        return make_orders(self._view.state, worker_info, poll, settings=self._settings)

    def wake_worker(self, worker: WorkerId) -> None:
        """Have a held poll look for orders again."""
        link = self._links.get(worker)
        if link is not None:
            link.changed.set()

    async def watch_leases(self) -> None:
        """Release the tasks of workers whose lease and margin are past."""
        margin_s = self._settings.lease_margin_ms / 1000
        while True:
            await self._timers.sleep(LOSE_CHECK_INTERVAL_S)
            now = self._timers.now()
            for worker_info in list(self._view.state.worker_table):
                message = worker_info.message
                link = self._get_link(WorkerId(message.id))
                if message.lost or link.lease_until + margin_s >= now:
                    continue
                if self._replica.holds_lease:
                    await self._lose_worker(message, link)

    async def _lose_worker(self, message: cell_pb2.Worker, link: WorkerLink) -> None:
        logger.warning("worker lost", worker=message.id)
        link.is_losing = True
        link.changed.set()
        self._metrics.count_retry(RetryReason.WORKER_LOST)
        body = cell_pb2.LoseWorker(worker=message.id, session=message.session)
        try:
            await self._replica.propose(cell_pb2.Command(lose_worker=body))
        except (NotLeaderError, OutcomeUnknownError) as error:
            # Stays marked, so that this leader renews no lease that the log may have ended.
            logger.warning("loss of a worker not committed", worker=message.id, why=str(error))
            return
        link.is_losing = False
