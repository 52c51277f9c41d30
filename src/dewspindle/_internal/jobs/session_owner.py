"""Interface between a worker's session and the dispatcher."""

from collections.abc import Iterable
from typing import Protocol

from ..models.jobs import TaskRef
from ..models.resources import Amounts
from ..schema import jobs_pb2
from .fleet_worker import FleetWorker
from .gateway import ActiveTask
from .placements import AttemptKey, JobTaskKey, Placement


class SessionOwner(Protocol):
    """Callbacks of a session to the dispatcher."""

    def find_key(self, task: TaskRef, attempt: int) -> JobTaskKey | None:
        """Return the key of a task, or None if no leader can have started such an attempt."""

    def adopt_or_stop(self, worker: FleetWorker, active: ActiveTask) -> None:
        """Adopt or stop a running task without a known placement."""

    def measure_running(self, tasks: Iterable[ActiveTask]) -> Amounts:
        """Return what running tasks of known jobs take on their worker."""

    def record_running(self, placement: Placement) -> None:
        """Record that a worker has started a task."""

    def record_checkpoint(self, placement: Placement, checkpoint: str) -> None:
        """Store a newer checkpoint of a running task."""

    def record_usage(self, placement: Placement, active: ActiveTask) -> None:
        """Track the CPU usage of a running task."""

    def record_listed_end(self, placement: Placement, kind: jobs_pb2.EndKind.ValueType) -> None:
        """Handle a task end that a worker listed, before it is committed."""

    def apply_ends(self, ends: list[jobs_pb2.TaskEnd]) -> None:
        """Finish or requeue units whose task ends are committed."""

    def may_orders_arrive_late(self) -> bool:
        """Return whether unanswered orders may still reach a worker late."""

    def may_act(self) -> bool:
        """Return whether this replica may act as the leader."""

    def make_lost_ends(self, lost: list[Placement]) -> list[jobs_pb2.TaskEnd]:
        """Return the ends of tasks that were lost with one worker."""

    def apply_heartbeat(self, worker: FleetWorker) -> None:
        """Apply the heartbeat that came before the worker's present life was known, if any."""

    def fence_attempts(self, worker: FleetWorker, attempts: Iterable[AttemptKey]) -> None:
        """Stop attempts whose start orders may still reach another life of the worker."""

    async def remove_worker(self, worker: FleetWorker) -> None:
        """Remove a worker on which nothing runs any more."""

    def wake_planner(self) -> None:
        """Trigger a planning round."""
