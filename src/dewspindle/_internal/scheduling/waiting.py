"""Waiting tasks, grouped by shape so that one failed placement rules out all of that shape."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from sortedcontainers import SortedList

from ..models.enums import Priority, RecordKind
from ..models.resources import Amounts
from ..schema import cell_pb2


class Shape(NamedTuple):
    """Placement requirements of a task: if one fits nowhere, no other of its shape is tried."""

    need: Amounts
    zones: tuple[str, ...]
    racks: tuple[str, ...]
    gang_size: int


@dataclass(slots=True)
class WaitingRecord:
    """A record with the indices of its tasks that are ready to be placed."""

    record: cell_pb2.Record
    shape: Shape
    key: tuple[float, float, str]
    ready: set[int] = field(default_factory=set)


def make_shape(record: cell_pb2.Record, need: Amounts) -> Shape:
    """Return the shape of a record's tasks."""
    gang_size = len(record.tasks) if record.kind == RecordKind.GANG.value else 0
    return Shape(need, tuple(record.zones), tuple(record.racks), gang_size)


class TeamQueue:
    """Waiting records of one team at one priority, ordered within each shape."""

    def __init__(self) -> None:
        self._by_shape: dict[Shape, SortedList] = {}

    def __bool__(self) -> bool:
        return bool(self._by_shape)

    def add(self, waiting: WaitingRecord) -> None:
        """Add a waiting record."""
        entries = self._by_shape.get(waiting.shape)
        if entries is None:
            entries = self._by_shape[waiting.shape] = SortedList()
        entries.add((waiting.key, waiting.record.id))

    def remove(self, waiting: WaitingRecord) -> None:
        """Remove a record; raise `KeyError` or `ValueError` if it is not in this queue."""
        entries = self._by_shape[waiting.shape]
        entries.remove((waiting.key, waiting.record.id))
        if not entries:
            del self._by_shape[waiting.shape]

    def iterate_heads(self) -> Iterator[tuple[tuple[float, float, str], Shape, str]]:
        """Yield the sort key, shape and record id of the first record of each shape."""
        for shape, entries in self._by_shape.items():
            key, record_id = entries[0]
            yield key, shape, record_id


class WaitingTasks:
    """All waiting tasks of the cell, by priority and team."""

    def __init__(self) -> None:
        self._records: dict[str, WaitingRecord] = {}
        self._queues: dict[Priority, dict[str, TeamQueue]] = {p: {} for p in Priority}

    def __len__(self) -> int:
        return len(self._records)

    def get(self, record_id: str) -> WaitingRecord | None:
        """Return a waiting record, or None if it does not wait."""
        return self._records.get(record_id)

    def get_teams(self, priority: Priority) -> dict[str, TeamQueue]:
        """Return the team queues of a priority."""
        return self._queues[priority]

    def iterate(self) -> Iterator[WaitingRecord]:
        """Yield all waiting records."""
        yield from self._records.values()

    def put(self, waiting: WaitingRecord) -> None:
        """Add or reorder a record; remove it if none of its tasks is ready."""
        self.remove(waiting.record.id)
        if not waiting.ready:
            return
        self._records[waiting.record.id] = waiting
        teams = self._queues[Priority(waiting.record.priority)]
        teams.setdefault(waiting.record.team, TeamQueue()).add(waiting)

    def remove(self, record_id: str) -> None:
        """Remove a record if present."""
        waiting = self._records.pop(record_id, None)
        if waiting is None:
            return
        # The priority of the record may have changed since it was added.
        for teams in self._queues.values():
            queue = teams.get(waiting.record.team)
            if queue is not None and self._try_remove(queue, waiting):
                if not queue:
                    del teams[waiting.record.team]
                return

    @staticmethod
    def _try_remove(queue: TeamQueue, waiting: WaitingRecord) -> bool:
        try:
            queue.remove(waiting)
        except (KeyError, ValueError):
            return False
        return True
