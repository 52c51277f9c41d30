"""Numbering and grouping of the tasks of a multi-step job."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from ..schema import jobs_pb2
from .ids import JobId


class TaskRef(NamedTuple):
    """One task of a job: an occurrence of the job, a step, and an index in the step.

    A named tuple, as tasks are looked up several times for each list of a worker and the hash of a
    data class takes several times as long.
    """

    job: JobId
    occurrence: int
    step: int
    index: int  # type: ignore[assignment]  # Hides the method of tuples.


@dataclass(frozen=True, slots=True)
class SchedulingUnit:
    """Tasks that are started together: all tasks of a gang step, or a single task."""

    occurrence: int
    step: int
    first_position: int
    size: int

    @property
    def positions(self) -> range:
        """Return the positions of the unit's tasks in the job."""
        return range(self.first_position, self.first_position + self.size)


class JobLayout:
    """Mapping of a job's tasks to positions, ordered by occurrence, step and index."""

    def __init__(self, spec: jobs_pb2.JobSpec) -> None:
        self._steps = spec.steps
        self._offsets: list[int] = []
        total = 0
        for step in spec.steps:
            self._offsets.append(total)
            total += step.count
        self._tasks_per_occurrence = total
        self._occurrence_count = max(1, spec.repeat_count)

    @property
    def occurrence_count(self) -> int:
        """Return the number of occurrences."""
        return self._occurrence_count

    @property
    def size(self) -> int:
        """Return the number of tasks."""
        return self._tasks_per_occurrence * self._occurrence_count

    def get_position(self, occurrence: int, step: int, index: int) -> int | None:
        """Return the position of a task, or None if the job has no such task."""
        if not 0 <= occurrence < self._occurrence_count or not 0 <= step < len(self._steps):
            return None
        if not 0 <= index < self._steps[step].count:
            return None
        return occurrence * self._tasks_per_occurrence + self._offsets[step] + index

    def locate(self, position: int) -> tuple[int, int, int]:
        """Return the occurrence, step and index of a position."""
        occurrence, offset = divmod(position, self._tasks_per_occurrence)
        step = len(self._offsets) - 1
        while self._offsets[step] > offset:
            step -= 1
        return occurrence, step, offset - self._offsets[step]

    def get_unit_position(self, position: int) -> int:
        """Return the first position of the scheduling unit that contains a task."""
        occurrence, step, _ = self.locate(position)
        if not self._steps[step].gang:
            return position
        return occurrence * self._tasks_per_occurrence + self._offsets[step]

    def list_units(self) -> Iterator[SchedulingUnit]:
        """Yield all scheduling units in order of position."""
        for occurrence in range(self._occurrence_count):
            for step_index, step in enumerate(self._steps):
                first = occurrence * self._tasks_per_occurrence + self._offsets[step_index]
                size = step.count if step.gang else 1
                for start in range(first, first + step.count, size):
                    yield SchedulingUnit(occurrence, step_index, start, size)
