"""Attempts of tasks on called workers."""

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from ..models.ids import UNKNOWN_KIND, JobId, TaskKind
from ..models.jobs import TaskRef
from ..models.resources import Amounts
from ..scheduling.run_times import Periods

if TYPE_CHECKING:
    from .fleet_worker import FleetWorker

# A job and the position of one of its tasks over all occurrences and steps (see `JobLayout`).
JobTaskKey = tuple[JobId, int]
UNKNOWN_POSITION = -1  # Of a running task whose job is unknown, or has no such task.
AttemptKey = tuple[TaskRef, int]


class PlacementPhase(Enum):
    """Phases of a task on a worker."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    ENDED = "ended"


@dataclass(slots=True, eq=False)
class Placement:
    """One attempt of a task on one worker, with capacity reserved until its end is known."""

    key: JobTaskKey
    task: TaskRef
    attempt: int
    amounts: Amounts
    worker: "FleetWorker"
    phase: PlacementPhase
    placed_at: float
    # Lists requested after this time must name the task; infinite while an order is unanswered.
    must_be_listed_since: float = float("inf")
    estimate_s: float = 0.0
    is_lasting: bool = False  # It runs until it is stopped.
    is_stop_ordered: bool = False
    idle_since: float | None = None  # Since when its worker reports almost no CPU usage.
    is_adopted: bool = False  # An earlier leader started it, at an unknown time.
    is_suspect: bool = False  # A worker has crashed under the task before.
    has_run: bool = False  # Its worker has confirmed the start.
    may_have_run: bool = False  # Its start order may have arrived, but was not answered.
    is_of_crashed_life: bool = False  # Its worker has crashed since.
    team: str = ""  # Whose cap it counts against; empty if none.
    kind: TaskKind = UNKNOWN_KIND  # The image, or the queue and step if none is named.
    is_resumed: bool = False  # It continues from a checkpoint.
    is_throttled: bool = False  # Its worker has limited its speed.
    # When tasks that have ended ran beside it.
    beside: dict[TaskKind, Periods] = field(default_factory=dict)

    @property
    def attempt_key(self) -> AttemptKey:
        """Return what tells the placement from all others on its worker."""
        return (self.task, self.attempt)

    @property
    def is_known(self) -> bool:
        """Return whether the task is one of a known job, so that its amounts are known."""
        return self.key[1] != UNKNOWN_POSITION
