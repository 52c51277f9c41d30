"""Durable file operations in the data folder."""

import errno
import os
from pathlib import Path

from ..exceptions import DiskFullError, SyncFailedError

_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT)


class Disk:
    """System calls that make data durable; a full disk is distinguished from other failures."""

    def create(self, path: Path) -> int:
        """Create or truncate a file; raise `DiskFullError` if there is no space left."""
        try:
            return os.open(path, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o640)
        except OSError as error:
            if error.errno in _FULL_ERRNOS:
                raise DiskFullError(f"no space left on the data disk: {error}") from error
            raise

    def write(self, descriptor: int, data: bytes, *, offset: int) -> None:
        """Write all data at an offset; raise `DiskFullError`, or `SyncFailedError` otherwise."""
        view = memoryview(data)
        try:
            while view:
                written = os.pwrite(descriptor, view, offset)
                offset += written
                view = view[written:]
        except OSError as error:
            if error.errno in _FULL_ERRNOS:
                raise DiskFullError(f"no space left on the data disk: {error}") from error
            # As after a failed sync, the contents of the disk are unknown.
            raise SyncFailedError(f"write to the data disk failed: {error}") from error

    def sync(self, descriptor: int) -> None:
        """Make written data durable; raise `SyncFailedError` on failure."""
        try:
            os.fdatasync(descriptor)
        except OSError as error:
            raise SyncFailedError(f"sync of the data disk failed: {error}") from error

    def sync_folder(self, path: Path) -> None:
        """Make file creations, renames and removals in a folder durable."""
        descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            self.sync(descriptor)
        finally:
            os.close(descriptor)

    def truncate(self, descriptor: int, length: int) -> None:
        """Truncate a file durably."""
        os.ftruncate(descriptor, length)
        self.sync(descriptor)

    def replace_file(self, path: Path, data: bytes) -> None:
        """Replace the contents of a file atomically and durably."""
        temporary = path.with_name(path.name + ".new")
        descriptor = self.create(temporary)
        try:
            self.write(descriptor, data, offset=0)
            self.sync(descriptor)
        except DiskFullError:
            temporary.unlink()
            raise
        finally:
            os.close(descriptor)
        temporary.rename(path)
        self.sync_folder(path.parent)
