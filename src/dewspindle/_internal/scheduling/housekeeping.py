"""Periodic maintenance on the leader: start deadlines, probation of workers, and expiry."""

from ..cell.view import CellView
from ..exceptions import NotLeaderError, OutcomeUnknownError
from ..models.tasks import FINAL_RECORD_STATES
from ..replication.replica import Replica
from ..schema import cell_pb2
from ..utils.logs import get_logger
from ..utils.metrics import Metrics
from ..utils.refusals import Refusal
from ..utils.timers import TimerService
from .explain import explain_waiting

INTERVAL_S = 1.0
EXPIRE_INTERVAL_S = 60.0
PROBE_AFTER_MS = 30_000  # After the start of the quarantine.
MAX_REFUSED_RECORDS = 500  # In one command.

logger = get_logger(__name__)


class Housekeeping:
    """Proposes the commands that become due by the passage of time alone."""

    def __init__(
        self, *, replica: Replica, view: CellView, timers: TimerService, metrics: Metrics
    ) -> None:
        self._replica = replica
        self._view = view
        self._timers = timers
        self._metrics = metrics
        self._last_expiry_at = timers.now()

    async def run(self) -> None:
        """Run maintenance rounds until cancelled."""
        while True:
            await self._timers.sleep(INTERVAL_S)
            if not self._replica.may_act_as_leader:
                continue
            try:
                await self._refuse_overdue()
                await self._probe_quarantined()
                await self._expire()
            except (NotLeaderError, OutcomeUnknownError) as error:
                logger.debug("housekeeping not committed", why=str(error))

    async def _refuse_overdue(self) -> None:
        now_ms = self._timers.wall_ms()
        refused = []
        for record in self._view.state.open_records.values():
            if not 0 < record.start_deadline_ms <= now_ms or record.state in FINAL_RECORD_STATES:
                continue
            if any(task.attempts for task in record.tasks):
                continue
            reason = f"not started by its deadline: {explain_waiting(self._view.state, record)}"
            refused.append(
                cell_pb2.RefusedRecord(
                    id=record.id, code=Refusal.START_DEADLINE_PASSED.value, reason=reason
                )
            )
            if len(refused) == MAX_REFUSED_RECORDS:
                break
        if refused:
            body = cell_pb2.RefuseRecords(records=refused)
            result = await self._replica.propose(cell_pb2.Command(refuse_records=body))
            for _ in range(result.count):
                self._metrics.count_refusal(Refusal.START_DEADLINE_PASSED)

    async def _probe_quarantined(self) -> None:
        now_ms = self._timers.wall_ms()
        for worker_info in list(self._view.state.worker_table):
            message = worker_info.message
            if not message.quarantined or message.probing or message.lost:
                continue
            if message.quarantined_ms + PROBE_AFTER_MS <= now_ms:
                # The command allows one probe task; the worker stays quarantined otherwise.
                body = cell_pb2.ReleaseWorker(worker=message.id)
                await self._replica.propose(cell_pb2.Command(release_worker=body))
                logger.info("probing quarantined worker", worker=message.id)

    async def _expire(self) -> None:
        now = self._timers.now()
        if now - self._last_expiry_at < EXPIRE_INTERVAL_S:
            return
        self._last_expiry_at = now
        # Deletes expired claims and stored outcomes, and the oldest ended records above the limit.
        await self._replica.propose(cell_pb2.Command(expire=cell_pb2.Expire()))
