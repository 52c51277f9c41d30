"""Disks that do not sync, or lose unsynced writes in a crash, and can be full, slow or failing."""

import errno
import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Protocol
from unittest import mock

from dewspindle._internal.exceptions import SyncFailedError
from dewspindle._internal.replication.disk import Disk


class HasFolder(Protocol):
    """Something with a data folder."""

    @property
    def folder(self) -> Path:
        """Return the data folder."""


class MemoryDisk(Disk):
    """Leaves written data in the page cache, so that no operation waits for the machine's disk."""

    def sync(self, descriptor: int) -> None:
        pass


@contextmanager
def run_out_of_space(call: str) -> Iterator[None]:
    """Let a system call fail for want of space."""
    failure = OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
    with mock.patch.object(os, call, side_effect=failure):
        yield


class FaultyDisk(Disk):
    """Buffers writes until they are synced, so that a crash loses those not synced.

    `Node` applies `delay_s` to each disk operation that a replica runs in a thread. While the disk
    is full, the operations in `refused` fail for want of space, other than writes of up to
    `small_write_bytes`, which fit into what is left.
    """

    def __init__(self) -> None:
        self.is_full = False
        self.fails_sync = False
        self.delay_s = 0.0
        self.refused = frozenset({"create", "write"})
        self.small_write_bytes = 0
        self._room: int | None = None  # Bytes until the disk is full; None if it has space.
        self._node: HasFolder | None = None  # Whose files share the size of the disk.
        self._size = 0
        self._unsynced: dict[int, list[tuple[int, bytes]]] = {}

    def fill_after(self, room: int) -> None:
        """Let the disk be full once no more than a number of bytes have been written."""
        self._room = room

    def limit_size(self, node: "HasFolder", size: int) -> None:
        """Let the disk be full while the files of a node take its size in bytes."""
        self._node, self._size = node, size

    def _has_room(self, needed: int) -> bool:
        if self._node is None:
            return True
        files = [path for path in self._node.folder.rglob("*") if path.is_file()]
        unsynced = sum(len(data) for items in self._unsynced.values() for _, data in items)
        return sum(path.stat().st_size for path in files) + unsynced + needed <= self._size

    def free(self) -> None:
        """Remove all faults, but keep the size."""
        self.is_full = False
        self.fails_sync = False
        self.delay_s = 0.0
        self._room = None

    def _refuses(self, operation: str) -> bool:
        return self.is_full and operation in self.refused

    def create(self, path: Path) -> int:
        if self._refuses("create"):
            with run_out_of_space("open"):
                return super().create(path)
        return super().create(path)

    def write(self, descriptor: int, data: bytes, *, offset: int) -> None:
        if self._room is not None:
            self.is_full = self.is_full or len(data) > self._room
            self._room = max(0, self._room - len(data))
        is_refused = self._refuses("write") and len(data) > self.small_write_bytes
        if is_refused or not self._has_room(len(data)):
            with run_out_of_space("pwrite"):
                super().write(descriptor, data, offset=offset)
        self._unsynced.setdefault(descriptor, []).append((offset, data))

    def sync(self, descriptor: int) -> None:
        if self.fails_sync:
            self._unsynced.pop(descriptor, None)
            raise SyncFailedError("a sync failed")
        # Whether a sync that fails for want of space has stored anything is unknown.
        for offset, data in self._unsynced.pop(descriptor, []):
            os.pwrite(descriptor, data, offset)
        if self._refuses("sync"):
            with run_out_of_space("fdatasync"):
                super().sync(descriptor)

    def truncate(self, descriptor: int, length: int) -> None:
        self._unsynced.pop(descriptor, None)
        if self._refuses("truncate"):
            with run_out_of_space("ftruncate"):
                super().truncate(descriptor, length)
        super().truncate(descriptor, length)

    def remove(self, path: Path) -> None:
        if self._refuses("remove"):
            with run_out_of_space("unlink"):
                super().remove(path)
        super().remove(path)

    def sync_folder(self, path: Path) -> None:
        if self.fails_sync:
            raise SyncFailedError("a sync failed")
        if self._refuses("sync folder"):
            with run_out_of_space("fdatasync"):
                super().sync(-1)

    def crash(self) -> None:
        """Discard the writes that are not synced."""
        self._unsynced.clear()
