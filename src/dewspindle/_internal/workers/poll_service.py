"""Handling of worker polls on the leader: task leases, reports, orders and lost workers."""

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

LEASE_CHECK_INTERVAL_S = 0.25
# Consecutive polls that omit a running task, after which the task counts as stopped.
MAX_OMITTING_POLLS = 2

logger = get_logger(__name__)


class SessionReplacedError(DewspindleError):
    """A poll comes from a process of the worker that a later one has replaced."""

    code = "session-replaced"
    status = 409
    hint = "another process uses this worker id; end one of them or give it an id of its own"


class StalePollError(DewspindleError):
    """A poll is not the newest of its worker, or the worker's loss is being committed."""

    code = "stale-poll"
    status = 409
    hint = "poll again with a higher sequence, a little later if the lease has ended"


@dataclass(slots=True)
class WorkerPollState:
    """Poll and task lease of one worker on the leader, in seconds of its monotonic clock."""

    session: str = ""
    sequence: int = 0
    task_lease_until: float = 0.0  # Without the lease margin.
    is_loss_pending: bool = False  # A `LoseWorker` command was proposed and may be committed.
    changed: anyio.Event = field(default_factory=anyio.Event)
    # For each running task, by its id: consecutive polls that omitted it.
    omission_counts: dict[str, int] = field(default_factory=dict)
    polled_at: float = 0.0


class PollService:
    """Answers polls while the leader lease holds.

    A new leader treats every worker's task lease as just renewed.
    """

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
        self._poll_states: dict[WorkerId, WorkerPollState] = {}
        self._started_at = timers.now()

    @property
    def _task_lease_s(self) -> float:
        return self._settings.task_lease_ms / 1000

    def _get_poll_state(self, worker: WorkerId) -> WorkerPollState:
        poll_state = self._poll_states.get(worker)
        if poll_state is None:
            poll_state = WorkerPollState(task_lease_until=self._started_at + self._task_lease_s)
            self._poll_states[worker] = poll_state
        return poll_state

    def check_leadership(self) -> None:
        """Raise `NotLeaderError` if this replica may not act as the leader."""
        if not self._replica.may_act_as_leader:
            raise NotLeaderError("this replica may not act as the leader")

    async def poll(
        self, worker: WorkerId, poll: documents_pb2.PollDocument
    ) -> documents_pb2.PollAnswerDocument:
        """Commit a worker's reports, renew its task lease, and return its orders."""
        self.check_leadership()
        poll_state = self._get_poll_state(worker)
        self._accept_poll(worker, poll_state, poll)
        poll_state.polled_at = self._timers.now()
        await self._commit_worker_changes(worker, poll, poll_state)
        acknowledged = await self._commit_reports(worker, poll, poll_state)
        orders = await self._wait_for_orders(
            worker, poll, poll_state, respond_immediately=bool(acknowledged)
        )
        # There must be no await between this check and the answer, or the leader lease could end.
        self.check_leadership()
        self._check_newest_poll(poll_state, poll)
        poll_state.task_lease_until = self._timers.now() + self._task_lease_s
        return documents_pb2.PollAnswerDocument(
            lease_ms=self._settings.task_lease_ms, orders=orders, acknowledged=acknowledged
        )

    def _accept_poll(
        self, worker: WorkerId, poll_state: WorkerPollState, poll: documents_pb2.PollDocument
    ) -> None:
        """Store the session and sequence of a poll and end the held one, or refuse the poll."""
        worker_info = self._view.state.worker_table.get(worker)
        if worker_info is not None and poll.session in worker_info.message.replaced_sessions:
            raise SessionReplacedError(f"a later process of worker {worker} has polled")
        if poll_state.is_loss_pending:
            raise StalePollError("the worker's task lease has ended; its loss is being committed")
        if poll_state.session == poll.session and poll.sequence <= poll_state.sequence:
            raise StalePollError(
                f"sequence {poll.sequence} is not above the last accepted {poll_state.sequence}"
            )
        if poll_state.session != poll.session:
            poll_state.omission_counts.clear()
        poll_state.session = poll.session
        poll_state.sequence = poll.sequence
        poll_state.changed.set()

    def _check_newest_poll(
        self, poll_state: WorkerPollState, poll: documents_pb2.PollDocument
    ) -> None:
        if poll_state.is_loss_pending or (poll_state.session, poll_state.sequence) != (
            poll.session,
            poll.sequence,
        ):
            raise StalePollError("a newer poll of this worker was accepted")

    async def _commit_worker_changes(
        self, worker: WorkerId, poll: documents_pb2.PollDocument, poll_state: WorkerPollState
    ) -> None:
        """Commit the worker's data if the poll shows a change."""
        worker_info = self._view.state.worker_table.get(worker)
        reported_worker = cell_pb2.Worker(
            id=worker,
            zone=poll.zone,
            rack=poll.rack,
            session=poll.session,
            capacity=resources_pb2.Resources(
                processors=poll.capacity.processors,
                memory_mb=poll.capacity.memory_mb,
                accelerators=poll.capacity.accelerators,
            ),
            strays=self._compute_stray_resources(worker_info, poll).to_message(),
        )
        if worker_info is not None and self._is_unchanged(worker_info.message, reported_worker):
            return
        await self._replica.propose(
            cell_pb2.Command(see_worker=cell_pb2.SeeWorker(worker=reported_worker))
        )

    @staticmethod
    def _is_unchanged(current: cell_pb2.Worker, reported_worker: cell_pb2.Worker) -> bool:
        return (
            not current.lost
            and current.session == reported_worker.session
            and current.zone == reported_worker.zone
            and current.rack == reported_worker.rack
            and current.capacity == reported_worker.capacity
            and make_amounts(current.strays) == make_amounts(reported_worker.strays)
        )

    def _compute_stray_resources(
        self, worker_info: WorkerInfo | None, poll: documents_pb2.PollDocument
    ) -> Amounts:
        """Return the declared resources of tasks that the worker still runs but should not.

        These are tasks of another epoch, session or worker, and tasks that are no longer active.
        """
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

    async def _commit_reports(
        self, worker: WorkerId, poll: documents_pb2.PollDocument, poll_state: WorkerPollState
    ) -> list[str]:
        """Commit reports that change the state, and return the ids of tasks reported as final.

        The ids include those whose reports are ignored, so that the worker stops reporting them.
        """
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
        reports += self._make_reports_of_omitted_tasks(worker, poll, poll_state)
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
        changes_state = state.is_final or task.state == TASK_PLACED
        if not changes_state and usage is None:
            return None
        return cell_pb2.TaskReport(
            record=record.id,
            index=task.index,
            epoch=task.epoch,
            state=report.state if changes_state else "",
            reason=report.reason,
            processors=usage.processors if usage else 0,
            memory_mb=usage.memory_mb if usage else 0,
        )

    def _make_reports_of_omitted_tasks(
        self, worker: WorkerId, poll: documents_pb2.PollDocument, poll_state: WorkerPollState
    ) -> list[cell_pb2.TaskReport]:
        """Report running tasks as stopped if the worker omitted them from several polls."""
        worker_info = self._view.state.worker_table.get(worker)
        if worker_info is None:
            return []
        reported = {(report.task, report.epoch) for report in poll.tasks}
        omission_counts = {}
        reports = []
        for record_id, index in worker_info.tasks:
            task = self._view.state.records[record_id].tasks[index]
            key = f"{record_id}.{index}"
            if task.state != TASK_RUNNING or (key, task.epoch) in reported:
                continue
            omission_counts[key] = poll_state.omission_counts.get(key, 0) + 1
            if omission_counts[key] >= MAX_OMITTING_POLLS:
                reports.append(
                    cell_pb2.TaskReport(
                        record=record_id,
                        index=index,
                        epoch=task.epoch,
                        state=ReportState.STOPPED.value,
                        reason="the worker no longer reports it",
                    )
                )
        poll_state.omission_counts = omission_counts
        return reports

    async def _wait_for_orders(
        self,
        worker: WorkerId,
        poll: documents_pb2.PollDocument,
        poll_state: WorkerPollState,
        *,
        respond_immediately: bool,
    ) -> list[documents_pb2.OrderDocument]:
        hold_ms = min(poll.wait_ms, self._settings.poll_hold_ms)
        deadline = poll_state.polled_at + hold_ms / 1000
        while True:
            poll_state.changed = anyio.Event()
            orders = self._make_orders(worker, poll)
            remaining = deadline - self._timers.now()
            if orders or respond_immediately or remaining <= 0:
                return orders
            await wait_for_event(self._timers, event=poll_state.changed, seconds=remaining)
            self._check_newest_poll(poll_state, poll)

    def _make_orders(
        self, worker: WorkerId, poll: documents_pb2.PollDocument
    ) -> list[documents_pb2.OrderDocument]:
        worker_info = self._view.state.worker_table.get(worker)
        if worker_info is None:
            return []
        return make_orders(self._view.state, worker_info, poll, settings=self._settings)

    def wake_worker(self, worker: WorkerId) -> None:
        """Make a worker's held poll, if any, check for new orders."""
        poll_state = self._poll_states.get(worker)
        if poll_state is not None:
            poll_state.changed.set()

    async def watch_task_leases(self) -> None:
        """Mark workers as lost whose task lease and lease margin have expired, until cancelled.

        A loss that could not be committed is proposed again at the next check.
        """
        margin_s = self._settings.lease_margin_ms / 1000
        while True:
            await self._timers.sleep(LEASE_CHECK_INTERVAL_S)
            now = self._timers.now()
            for worker_info in list(self._view.state.worker_table):
                message = worker_info.message
                poll_state = self._get_poll_state(WorkerId(message.id))
                if message.lost or poll_state.task_lease_until + margin_s >= now:
                    continue
                if self._replica.may_act_as_leader:
                    await self._lose_worker(message, poll_state)

    async def _lose_worker(self, message: cell_pb2.Worker, poll_state: WorkerPollState) -> None:
        logger.warning("worker's task lease expired; marking the worker as lost", worker=message.id)
        poll_state.is_loss_pending = True
        poll_state.changed.set()
        self._metrics.count_retry(RetryReason.WORKER_LOST)
        body = cell_pb2.LoseWorker(worker=message.id, session=message.session)
        try:
            await self._replica.propose(cell_pb2.Command(lose_worker=body))
        except (NotLeaderError, OutcomeUnknownError) as error:
            # The loss stays pending, so that this leader does not renew a task lease that a
            # committed LoseWorker command may have ended.
            logger.warning(
                "failed to commit the loss of a worker", worker=message.id, why=str(error)
            )
            return
        poll_state.is_loss_pending = False
