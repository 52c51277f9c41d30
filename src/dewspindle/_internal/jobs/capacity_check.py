"""Logs where the tasks of a worker and the capacity reserved for them disagree."""

from ..models.resources import NO_RESOURCES
from ..utils.logs import get_logger
from .fleet_worker import FleetWorker
from .gateway import ActiveTask
from .session_owner import SessionOwner

logger = get_logger(__name__)


class CapacityCheck:
    """Compares what runs on one worker with its capacity, and with what is reserved."""

    def __init__(self, worker: FleetWorker, owner: SessionOwner) -> None:
        self._worker = worker
        self._owner = owner
        self._is_over_capacity = False

    def compare_reserved(self, active: list[ActiveTask]) -> None:
        """Log a difference between the reserved capacity and what the listed tasks take."""
        running = self._owner.measure_running(active)
        reserved = self._worker.capacity - self._worker.free
        if running == reserved:
            return
        logger.warning(
            "reserved capacity differs from running tasks",
            worker=self._worker.id,
            running=len(active),
            running_processors=running.processors,
            running_memory_mb=running.memory_mb,
            reserved_processors=reserved.processors,
            reserved_memory_mb=reserved.memory_mb,
        )

    def check(self) -> None:
        """Log once that the tasks on the worker exceed a capacity that has not shrunk."""
        free = self._worker.free
        was_over_capacity = self._is_over_capacity
        self._is_over_capacity = not NO_RESOURCES.fits_in(free)
        if self._is_over_capacity and not was_over_capacity and not self._worker.is_overfull:
            logger.error(
                "worker over capacity",
                worker=self._worker.id,
                free_processors=free.processors,
                free_memory_mb=free.memory_mb,
                free_accelerators=free.accelerators,
                placements=len(self._worker.placements),
            )
