"""The leader's state of open jobs: their steps, waiting units and placements."""

from collections.abc import Collection, Iterator

from ..cell.jobs import StoredJob
from ..models.ids import JobId, TaskKind
from ..models.jobs import SchedulingUnit
from ..models.resources import Amounts, make_amounts
from ..scheduling.job_order import LatencyTarget
from ..schema import jobs_pb2
from .fleet_worker import FleetWorker
from .placements import Placement, PlacementPhase

# Attempt numbers of a task in one term. Those that a lost leader used may be unknown, so no term
# takes numbers of another one.
ATTEMPTS_PER_TERM = 1 << 20
# Attempt numbers skipped when a worker has seen an attempt unknown to this leader, so that few
# retries pass all those that it has seen.
SUPERSEDED_ATTEMPT_SKIP = 16


def make_task_kind(queue: jobs_pb2.Queue, step: int, *, image: str) -> TaskKind:
    """Return the kind of a step's tasks: their image, or the queue and step if none is named."""
    return TaskKind(f"image:{image}" if image else f"{queue.name}/{step}")


class UnitRun:
    """Tasks that start together, with the placements of their current attempt."""

    __slots__ = (
        "attempt",
        "avoided",
        "checkpoint",
        "is_counted",
        "not_before",
        "placements",
        "step",
        "unit",
    )

    def __init__(self, step: "StepRun", unit: SchedulingUnit) -> None:
        self.step = step
        self.unit = unit  # Its positions in the layout of the job.
        self.placements: dict[int, Placement] = {}
        self.attempt = 0  # Highest number used, adopted or skipped in this term.
        self.checkpoint = ""  # From which the next attempt continues.
        self.not_before = float("-inf")  # Monotonic time before which it is not placed again.
        # Workers on which it ended badly or got stuck. A single task is placed there only if all
        # candidates are among them, or if it has waited long; a gang is placed regardless.
        self.avoided: set[str] = set()
        self.is_counted = False  # Whether the step has counted it as done.

    @property
    def is_done(self) -> bool:
        """Return whether the unit has succeeded."""
        return self.step.run.stored.is_done(self.unit.first_position)

    @property
    def is_suspect(self) -> bool:
        """Return whether a worker has crashed under any of the unit's tasks."""
        stored = self.step.run.stored
        return stored.has_crashes and any(map(stored.count_crashes, self.unit.positions))

    @property
    def is_waiting(self) -> bool:
        """Return whether the unit still has to run and none of its tasks is placed."""
        return not self.placements and not self.is_done

    def place(
        self,
        position: int,
        worker: FleetWorker,
        *,
        attempt: int,
        phase: PlacementPhase,
        now: float,
    ) -> Placement:
        """Reserve a worker's capacity for an attempt of a task, and return its placement."""
        placement = Placement(
            key=(self.step.run.stored.id, position),
            task=self.step.run.stored.make_ref(position),
            attempt=attempt,
            amounts=self.step.amounts,
            worker=worker,
            phase=phase,
            placed_at=now,
            estimate_s=self.step.estimate_s,
            is_lasting=self.step.message.long_running,
            is_suspect=self.step.run.stored.count_crashes(position) > 0,
            team=self.step.run.stored.team,
            kind=self.step.kind,
            is_resumed=bool(self.checkpoint),
        )
        worker.add(placement)
        self.placements[position] = placement
        return placement

    def skip_attempts(self) -> None:
        """Pass over attempt numbers that a worker may have seen."""
        self.attempt += SUPERSEDED_ATTEMPT_SKIP

    def allocate_attempt(self, *, term: int) -> int | None:
        """Return the next attempt number, or None if the term has none left for the unit."""
        stored = self.step.run.stored
        known = [self.attempt]
        for position in self.unit.positions:
            progress = stored.get_progress(position)
            if progress is not None:
                known.append(progress.last_ended_attempt)
        last = get_last_attempt(stored.message.accepted_term, term=term)
        attempt = max(*known, last - ATTEMPTS_PER_TERM) + 1
        if attempt > last:
            return None
        self.attempt = attempt
        return attempt


def get_last_attempt(accepted_term: int, *, term: int) -> int:
    """Return the highest attempt number that a term may use for a job."""
    return (max(0, term - accepted_term) + 1) * ATTEMPTS_PER_TERM


class StepRun:
    """One step of one occurrence of a job."""

    def __init__(self, run: "JobRun", occurrence: int, index: int) -> None:
        self.run = run
        self.occurrence = occurrence
        self.index = index
        self.message: jobs_pb2.JobStep = run.stored.message.spec.steps[index]
        self.amounts: Amounts = make_amounts(self.message.resources)
        self.estimate_s = self.message.estimate_ms / 1000
        self.kind = make_task_kind(run.stored.message.queue, index, image=self.message.image)
        self.units: dict[int, UnitRun] = {}
        self.waiting: dict[int, UnitRun] = {}
        self.remaining_units = 0  # Units that are not done.
        # An earlier leader may have started tasks of the step. It cannot have if the steps that
        # this one depends on were not done yet when this leader took over.
        self.may_run_already = False
        self._key = (run.stored.id, occurrence, index)

    @property
    def key(self) -> tuple[JobId, int, int]:
        """Return the job, occurrence and index of the step."""
        return self._key

    @property
    def is_ready(self) -> bool:
        """Return whether all steps that this one depends on are done."""
        steps = self.run.steps
        return all(steps[self.occurrence, i].remaining_units == 0 for i in self.message.depends_on)

    def accepts(self, labels: Collection[str]) -> bool:
        """Return whether a worker with these labels may run the step."""
        label = self.message.required_label
        return not label or label in labels

    def count_waiting_tasks(self) -> int:
        """Return how many tasks wait for placement."""
        return len(self.waiting) * (self.message.count if self.message.gang else 1)

    def count_tasks_on(self, worker_id: str) -> int:
        """Return how many tasks of the step are placed on a worker."""
        return sum(
            placement.worker.id == worker_id
            for unit in self.units.values()
            for placement in unit.placements.values()
        )


def compute_longest_paths(spec: jobs_pb2.JobSpec) -> list[float]:
    """Return the estimated duration of the longest path that begins with each step."""
    steps = spec.steps
    paths_s = [step.estimate_ms / 1000 for step in steps]
    for index in range(len(steps) - 1, -1, -1):
        for earlier in steps[index].depends_on:
            own_s = steps[earlier].estimate_ms / 1000
            paths_s[earlier] = max(paths_s[earlier], own_s + paths_s[index])
    return paths_s


def compute_target(queue: jobs_pb2.Queue, critical_path_s: float) -> float:
    """Return the target latency of a job of a queue, in seconds."""
    return critical_path_s * queue.slack_factor + queue.aim_ms / 1000


class JobRun:
    """The steps and units of one open job."""

    def __init__(
        self, stored: StoredJob, *, queue: jobs_pb2.Queue, accepted_at: float, is_inherited: bool
    ) -> None:
        self.stored = stored
        # The stored job lists only tasks of which an attempt has ended.
        self.has_started = bool(stored.message.tasks)
        self.steps: dict[tuple[int, int], StepRun] = {}
        self._unit_by_position: dict[int, UnitRun] = {}
        self._add_steps()
        if is_inherited:
            for step in self.steps.values():
                step.may_run_already = step.is_ready
        self.longest_paths_s = compute_longest_paths(stored.message.spec)
        self.latency_target = LatencyTarget(
            accepted_at=accepted_at,
            target_s=compute_target(queue, max(self.longest_paths_s, default=0.0)),
        )

    def _add_steps(self) -> None:
        spec = self.stored.message.spec
        for occurrence in range(self.stored.layout.occurrence_count):
            for index in range(len(spec.steps)):
                self.steps[occurrence, index] = StepRun(self, occurrence, index)
        for unit in self.stored.layout.list_units():
            step = self.steps[unit.occurrence, unit.step]
            unit_run = UnitRun(step, unit)
            step.units[unit.first_position] = unit_run
            for position in unit.positions:
                self._unit_by_position[position] = unit_run
            progress = self.stored.get_progress(unit.first_position)
            if progress is not None:
                unit_run.checkpoint = progress.checkpoint
            unit_run.is_counted = unit_run.is_done
            if not unit_run.is_counted:
                step.remaining_units += 1
                step.waiting[unit.first_position] = unit_run

    def find_unit(self, position: int) -> UnitRun | None:
        """Return the unit of the task at a position, or None if the job has no such task."""
        return self._unit_by_position.get(position)

    def list_dependents(self, step: StepRun) -> Iterator[StepRun]:
        """Yield the steps of the same occurrence that depend on a step."""
        for (occurrence, _), other in self.steps.items():
            if occurrence == step.occurrence and step.index in other.message.depends_on:
                yield other

    def list_units(self) -> Iterator[UnitRun]:
        """Yield every unit."""
        for step in self.steps.values():
            yield from step.units.values()

    def get_due_ms(self, occurrence: int) -> int:
        """Return when an occurrence may start, in milliseconds since the epoch; 0 means now."""
        spec = self.stored.message.spec
        if not spec.repeat_count:
            return 0
        return int(spec.first_due_ms + occurrence * spec.interval_ms)
