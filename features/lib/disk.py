"""Disks that do not sync, or lose unsynced writes in a crash, and can be full, slow or failing."""

import os
from pathlib import Path

from dewspindle._internal.exceptions import DiskFullError, SyncFailedError
from dewspindle._internal.replication.disk import Disk


class MemoryDisk(Disk):
    """Leaves written data in the page cache, so that no operation waits for the machine's disk."""

    def sync(self, descriptor: int) -> None:
        pass


class FaultyDisk(Disk):
    """Buffers writes until they are synced, so that a crash loses those not synced.

    `Node` applies `delay_s` to each disk operation that a replica runs in a thread.
    """

    def __init__(self) -> None:
        self.is_full = False
        self.fails_sync = False
        self.delay_s = 0.0
        self._unsynced: dict[int, list[tuple[int, bytes]]] = {}

    def create(self, path: Path) -> int:
        if self.is_full:
            raise DiskFullError("the disk is full")
        return super().create(path)

    def write(self, descriptor: int, data: bytes, *, offset: int) -> None:
        if self.is_full:
            raise DiskFullError("the disk is full")
        self._unsynced.setdefault(descriptor, []).append((offset, data))

    def sync(self, descriptor: int) -> None:
        if self.fails_sync:
            self._unsynced.pop(descriptor, None)
            raise SyncFailedError("a sync failed")
        for offset, data in self._unsynced.pop(descriptor, []):
            os.pwrite(descriptor, data, offset)

    def truncate(self, descriptor: int, length: int) -> None:
        self._unsynced.pop(descriptor, None)
        os.ftruncate(descriptor, length)

    def sync_folder(self, path: Path) -> None:
        if self.fails_sync:
            raise SyncFailedError("a sync failed")

    def crash(self) -> None:
        """Discard the writes that are not synced."""
        self._unsynced.clear()
