"""The replicated state of a cell."""

from collections import defaultdict

from ..exceptions import UnknownCommandError
from ..models.resources import NO_RESOURCES, Amounts, make_amounts
from ..models.tasks import ACTIVE_TASK_STATES, FINAL_RECORD_STATES
from ..schema import cell_pb2, peers_pb2
from .jobs import JobStore
from .listeners import StateListener
from .outcomes import Outcomes
from .registry import get_applier
from .worker_table import WorkerTable

SNAPSHOT_FORMAT = 2


class CellState:
    """Replicated state machine: records, workers, jobs, configuration and outcomes."""

    def __init__(self) -> None:
        self.revision = 0  # Index of the last applied entry.
        self.term = 0  # Term of the last applied entry.
        self.at_ms = 0  # Log time: wall clock of the proposing leaders, which never goes back.
        self._listeners: list[StateListener] = []
        self._clear()

    def _clear(self) -> None:
        self.membership = cell_pb2.Membership()
        self.records: dict[str, cell_pb2.Record] = {}
        # Records that have not ended, and ended ones whose tasks still have resources reserved.
        self.open_records: dict[str, cell_pb2.Record] = {}
        self.worker_table = WorkerTable()
        self.job_store = JobStore()
        self.config: dict[str, cell_pb2.ConfigEntry] = {}
        # Current and earlier revisions of all configurations, oldest first.
        self.config_versions: list[cell_pb2.ConfigEntry] = []
        self.outcomes = Outcomes()
        self.estimates: dict[tuple[str, str], cell_pb2.Learnt] = {}
        self.claims: dict[str, cell_pb2.CallClaim] = {}
        self.largest_fleet = NO_RESOURCES  # Largest total capacity so far, by resource.
        # Capacities that workers have had, without those that fit in another.
        self.worker_shapes: list[Amounts] = []
        self.team_usage: dict[str, Amounts] = defaultdict(Amounts)  # Reserved resources.
        self.team_waiting: dict[str, int] = defaultdict(int)  # Number of pending tasks.

    @property
    def listeners(self) -> list[StateListener]:
        """Return the subscribed listeners."""
        return self._listeners

    def subscribe(self, listener: StateListener) -> None:
        """Add a listener."""
        self._listeners.append(listener)

    def unsubscribe(self, listener: StateListener) -> None:
        """Remove a listener."""
        self._listeners.remove(listener)

    def apply(self, entry: peers_pb2.Entry) -> cell_pb2.Result:
        """Apply the next entry, or raise `UnknownCommandError` if its command is not supported."""
        assert entry.index == self.revision + 1
        result = cell_pb2.Result(status=200)
        if entry.command:
            command = cell_pb2.Command.FromString(entry.command)
            result = self._apply_command(command, index=entry.index)
        self.revision = entry.index
        self.term = entry.term
        return result

    def _apply_command(self, command: cell_pb2.Command, *, index: int) -> cell_pb2.Result:
        body = command.WhichOneof("body")
        applier = get_applier(body) if body else None
        if applier is None:
            raise UnknownCommandError(
                f"log entry {index} holds a command that this version does not support"
            )
        self.at_ms = max(self.at_ms, command.at_ms)
        stored_result = self.outcomes.find(command)
        if stored_result is not None:
            return stored_result
        # For the appliers: index of this entry, which `revision` names only after it was applied.
        self.applying_index = index
        result = applier(self, command)
        # An applier sets another revision if it answers with that of a record or configuration.
        if not result.revision:
            result.revision = index
        self.outcomes.store(command, result)
        return result

    def get_record(self, record_id: str) -> cell_pb2.Record | None:
        """Return a record, or None."""
        return self.records.get(record_id)

    def serialize(self) -> bytes:
        """Return the state as a serialized `CellSnapshot`."""
        snapshot = cell_pb2.CellSnapshot(
            format=SNAPSHOT_FORMAT,
            revision=self.revision,
            term=self.term,
            at_ms=self.at_ms,
            membership=self.membership,
            records=self.records.values(),
            workers=[worker_info.message for worker_info in self.worker_table],
            config=self.config.values(),
            config_versions=self.config_versions,
            outcomes=self.outcomes.to_messages(),
            learnt=self.estimates.values(),
            claims=self.claims.values(),
            largest_fleet=self.largest_fleet.to_message(),
            worker_shapes=[shape.to_message() for shape in self.worker_shapes],
            jobs=[job.message for job in self.job_store.jobs.values()],
            called_workers=self.job_store.workers.values(),
            queue_table=self.job_store.queue_table,
            cancelled_ids=self.job_store.cancelled_ids,
        )
        return snapshot.SerializeToString()

    def restore(self, snapshot: cell_pb2.CellSnapshot) -> None:
        """Replace the state with a snapshot."""
        if snapshot.format > SNAPSHOT_FORMAT:
            raise UnknownCommandError(
                f"snapshot format {snapshot.format} is newer than the supported {SNAPSHOT_FORMAT}"
            )
        self._clear()
        self.revision = snapshot.revision
        self.term = snapshot.term
        self.at_ms = snapshot.at_ms
        self.membership.CopyFrom(snapshot.membership)
        for worker in snapshot.workers:
            self.worker_table.add(worker)
        for record in snapshot.records:
            self._restore_record(record)
        self.config = {entry.name: entry for entry in snapshot.config}
        self.config_versions = list(snapshot.config_versions)
        self.outcomes.restore(snapshot.outcomes)
        self.job_store.restore(
            snapshot.jobs, snapshot.called_workers, snapshot.queue_table, snapshot.cancelled_ids
        )
        self.estimates = {(item.team, item.name): item for item in snapshot.learnt}
        self.claims = {claim.key: claim for claim in snapshot.claims}
        self.largest_fleet = make_amounts(snapshot.largest_fleet)
        self.worker_shapes = [make_amounts(shape) for shape in snapshot.worker_shapes]
        for listener in self._listeners:
            listener.on_restore()

    def _restore_record(self, record: cell_pb2.Record) -> None:
        self.records[record.id] = record
        if record.state in FINAL_RECORD_STATES and not any(
            task.state in ACTIVE_TASK_STATES for task in record.tasks
        ):
            return
        self.open_records[record.id] = record
        for task in record.tasks:
            if task.state in ACTIVE_TASK_STATES:
                amounts = make_amounts(task.reserved)
                self.worker_table.reserve(task.worker, (record.id, task.index), amounts)
                self.team_usage[record.team] += amounts
            elif task.state == cell_pb2.TASK_PENDING:
                self.team_waiting[record.team] += 1
