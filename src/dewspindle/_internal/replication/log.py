"""The replicated log, held in memory and flushed to its store by group commit."""

from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, Protocol, TypeVar

import anyio
import anyio.to_thread

from ..exceptions import CorruptLogError, DiskFullError
from ..schema import cell_pb2, peers_pb2
from ..utils.logs import get_logger
from .disk import Disk
from .entry_sizes import EntrySizes
from .log_store import LogStore
from .snapshots import SnapshotStore, StoredSnapshot

T = TypeVar("T")

logger = get_logger(__name__)


class Offload(Protocol):
    """Runs a blocking call away from the event loop."""

    def __call__(self, call: Callable[..., T], *args: Any) -> Awaitable[T]:
        """Run the call and return its result."""


async def run_in_thread(call: Callable[..., T], *args: Any) -> T:
    """Run a blocking call in a worker thread."""
    return await anyio.to_thread.run_sync(call, *args)


class Log:
    """The newest snapshot and the entries retained before and after it, in memory and on disk.

    The base is the entry before the first retained one. Its index and term are kept, as an append
    request names those of the entry before its own. An entry is durable once it is synced.
    """

    def __init__(
        self,
        folder: Path,
        *,
        segment_bytes: int,
        retained_entries: int,
        retained_bytes: int,
        disk: Disk,
        offload: Offload = run_in_thread,
    ) -> None:
        self._store = LogStore(folder / "log", segment_bytes=segment_bytes, disk=disk)
        self._snapshots = SnapshotStore(folder / "snapshots", disk=disk)
        self._retained_entries = retained_entries
        self._retained_bytes = retained_bytes
        self._offload = offload
        self._lock = anyio.Lock()
        self._entries: list[peers_pb2.Entry] = []
        self._sizes = EntrySizes()
        self._base_index = 0
        self._base_term = 0
        self._durable_index = 0
        self._dropped_batches = 0  # For which a full disk had no space.
        self._memberships: list[tuple[int, cell_pb2.Membership]] = []
        self._snapshot: StoredSnapshot | None = None

    @property
    def first_index(self) -> int:
        """Return the index of the first retained entry."""
        return self._base_index + 1

    @property
    def last_index(self) -> int:
        """Return the index of the last entry, synced or not."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def durable_index(self) -> int:
        """Return the index up to which entries are synced to disk."""
        return self._durable_index

    @property
    def snapshot(self) -> StoredSnapshot | None:
        """Return the newest snapshot."""
        return self._snapshot

    @property
    def snapshot_index(self) -> int:
        """Return the index of the last entry in the newest snapshot, or 0 without one."""
        return self._snapshot.index if self._snapshot else 0

    @property
    def state_bytes(self) -> int:
        """Return a bound on the size of the state: the newest snapshot and the entries after it."""
        snapshot_bytes = len(self._snapshot.data) if self._snapshot else 0
        return snapshot_bytes + self.count_bytes(self.snapshot_index, self.last_index)

    @property
    def segment_count(self) -> int:
        """Return the number of segment files."""
        return self._store.segment_count

    @property
    def membership(self) -> cell_pb2.Membership | None:
        """Return the newest membership in the log, committed or not."""
        return self._memberships[-1][1] if self._memberships else None

    @property
    def membership_index(self) -> int:
        """Return the index of the newest membership in the log."""
        return self._memberships[-1][0] if self._memberships else 0

    def load(self) -> None:
        """Read the newest snapshot and the entries from disk."""
        self._snapshot = self._snapshots.load_newest()
        entries = self._store.load()
        snapshot_index = self.snapshot_index
        if entries and entries[0].index > snapshot_index + 1:
            raise CorruptLogError(
                f"gap in the log: first entry {entries[0].index}, snapshot ends at {snapshot_index}"
            )
        if entries and not self._continues_snapshot(entries):
            # The replica stopped after it had saved a snapshot from the leader and before it had
            # removed the entries that the snapshot replaces.
            self._store.remove_all()
            entries = []
        self._set_base(entries)
        if self._snapshot:
            state = cell_pb2.CellSnapshot.FromString(self._snapshot.data)
            self._memberships.append((snapshot_index, state.membership))
        for entry in entries:
            if entry.index > snapshot_index:
                self._record_membership(entry)
        self._durable_index = self.last_index

    def _continues_snapshot(self, entries: list[peers_pb2.Entry]) -> bool:
        snapshot = self._snapshot
        if snapshot is None:
            return True
        if entries[-1].index < snapshot.index:
            return False
        if entries[0].index > snapshot.index:
            return True
        return entries[snapshot.index - entries[0].index].term == snapshot.term

    def _set_base(self, entries: list[peers_pb2.Entry]) -> None:
        self._base_index, self._base_term, self._entries = self._find_base(entries)
        for entry in self._entries:
            self._sizes.add(entry)

    def _find_base(self, entries: list[peers_pb2.Entry]) -> tuple[int, int, list[peers_pb2.Entry]]:
        """Return the index and term of the base, and the entries after it."""
        snapshot = self._snapshot
        if snapshot and (not entries or entries[0].index == snapshot.index + 1):
            return snapshot.index, snapshot.term, entries
        if not entries or entries[0].index == 1:
            return 0, 0, entries
        # The term before the first stored entry is unknown, so the base is that entry itself.
        return entries[0].index, entries[0].term, entries[1:]

    def _record_membership(self, entry: peers_pb2.Entry) -> None:
        if entry.membership:
            command = cell_pb2.Command.FromString(entry.command)
            self._memberships.append((entry.index, command.membership))

    def get_term(self, index: int) -> int | None:
        """Return the term of an entry, or None if it is not retained."""
        if index == self._base_index:
            return self._base_term
        if self._snapshot and index == self._snapshot.index:
            return self._snapshot.term
        if not self._base_index < index <= self.last_index:
            return None
        return self._entries[index - self._base_index - 1].term

    def get_entries(self, start: int, end: int, *, max_bytes: int) -> list[peers_pb2.Entry]:
        """Return entries from start through end, up to a size in bytes but at least one."""
        found: list[peers_pb2.Entry] = []
        size = 0
        for entry in self._entries[start - self._base_index - 1 : end - self._base_index]:
            size += len(entry.command)
            if found and size > max_bytes:
                break
            found.append(entry)
        return found

    def count_bytes(self, after: int, through: int) -> int:
        """Return the size of the retained entries after an index through another one."""
        start = max(0, after - self._base_index)
        return self._sizes.count_bytes(start, max(start, through - self._base_index))

    def add(self, entry: peers_pb2.Entry) -> None:
        """Add an entry in memory; `flush` makes it durable."""
        self._entries.append(entry)
        self._sizes.add(entry)
        self._record_membership(entry)

    @asynccontextmanager
    async def _lock_end(self) -> AsyncIterator[None]:
        """Hold the lock; raise `DiskFullError` if entries were dropped while waiting for it."""
        dropped_batches = self._dropped_batches
        async with self._lock:
            if self._dropped_batches != dropped_batches:
                raise DiskFullError("entries were dropped, as the data disk had no space for them")
            yield

    async def flush(self) -> None:
        """Write and sync all entries that are not durable yet, in one batch.

        A full disk drops them all, unless files that are not needed make room. Each call that waits
        for one of them then raises `DiskFullError`.
        """
        async with self._lock_end():
            start = self._durable_index
            batch = self._entries[start - self._base_index :]
            if not batch:
                return
            try:
                await self._append(batch)
            except DiskFullError:
                self._dropped_batches += 1
                self._drop_from(start + 1)
                raise
            self._durable_index = start + len(batch)

    async def _append(self, batch: list[peers_pb2.Entry]) -> None:
        try:
            await self._offload(self._store.append, batch)
        except DiskFullError:
            if not await self._remove_spare():
                raise
            await self._offload(self._store.append, batch)

    async def truncate_from(self, index: int) -> None:
        """Remove the entry at an index and all entries after it."""
        async with self._lock_end():
            await self._offload(self._store.truncate_from, index)
            self._drop_from(index)

    def _drop_from(self, index: int) -> None:
        del self._entries[index - self._base_index - 1 :]
        self._sizes.drop_from(index - self._base_index - 1)
        self._durable_index = min(self._durable_index, index - 1)
        while self._memberships and self._memberships[-1][0] >= index:
            self._memberships.pop()

    async def save_snapshot(self, snapshot: StoredSnapshot) -> None:
        """Write a snapshot and remove the entries that need no longer be retained."""
        await self._store_snapshot(snapshot)
        async with self._lock:
            # The leader may have sent a newer one meanwhile, with which the log begins anew.
            if snapshot.index <= self.snapshot_index:
                return
            self._snapshot = snapshot
            await self._remove_through(self._find_retained(snapshot.index))

    async def _store_snapshot(self, snapshot: StoredSnapshot) -> None:
        try:
            await self._offload(self._snapshots.save, snapshot)
        except DiskFullError:
            async with self._lock:
                if not await self._remove_spare():
                    raise
            await self._offload(self._snapshots.save, snapshot)

    def _find_retained(self, index: int) -> int:
        """Return the index after which entries are retained, of those through another one."""
        by_bytes = self._sizes.find_start(index - self._base_index, max_bytes=self._retained_bytes)
        return max(self._base_index + by_bytes, index - self._retained_entries)

    async def _remove_through(self, index: int) -> None:
        """Remove the entries through an index; the caller holds the lock."""
        base = max(self._base_index, index)
        base_term = self.get_term(base)
        assert base_term is not None
        del self._entries[: base - self._base_index]
        self._sizes.drop_first(base - self._base_index)
        self._base_index = base
        self._base_term = base_term
        await self._offload(self._store.remove_through, base)

    async def _remove_spare(self) -> bool:
        """Remove what a restart does not need, and return whether there was anything.

        Slow peers then need a snapshot, and a damaged newest snapshot has no predecessor. The
        caller holds the lock.
        """
        snapshot = self._snapshot
        if snapshot is None:
            return False
        segments = self._store.segment_count
        has_older = await self._offload(self._snapshots.remove_before, snapshot.index)
        await self._remove_through(snapshot.index)
        is_smaller = has_older or self._store.segment_count < segments
        if is_smaller:
            logger.warning(
                "disk full; removed older snapshots and entries before the newest one",
                snapshot_bytes=len(snapshot.data),
                log_bytes=self.count_bytes(self._base_index, self.last_index),
            )
        return is_smaller

    async def install_snapshot(self, snapshot: StoredSnapshot) -> None:
        """Replace the whole log with a snapshot from the leader."""
        await self._store_snapshot(snapshot)
        async with self._lock:
            await self._offload(self._store.remove_all)
            self._entries = []
            self._sizes = EntrySizes()
            self._base_index = snapshot.index
            self._base_term = snapshot.term
            self._durable_index = snapshot.index
            self._snapshot = snapshot
            state = cell_pb2.CellSnapshot.FromString(snapshot.data)
            self._memberships = [(snapshot.index, state.membership)]

    def close(self) -> None:
        """Close the files."""
        self._store.close()


def find_conflict(log: Log, entries: Sequence[peers_pb2.Entry]) -> int | None:
    """Return the index of the first given entry whose term conflicts with the log, or None."""
    for entry in entries:
        term = log.get_term(entry.index)
        if term is not None and term != entry.term:
            return entry.index
    return None
