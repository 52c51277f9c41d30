"""Durable file operations in the data folder."""

import errno
import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from ..exceptions import DiskFullError, SyncFailedError

TEMPORARY_SUFFIX = ".new"  # Of a file that is being written to replace another one.
_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT)


@contextmanager
def _distinguish_full_disk() -> Iterator[None]:
    """Raise `DiskFullError` in place of an `OSError` for want of space."""
    try:
        yield
    except OSError as error:
        if error.errno in _FULL_ERRNOS:
            raise DiskFullError(f"no space left on the data disk: {error}") from error
        raise


class Disk:
    """System calls that make data durable.

    Each raises `DiskFullError` if there is no space left, and other failures differ from it.
    """

    def create(self, path: Path) -> int:
        """Create or truncate a file."""
        with _distinguish_full_disk():
            return os.open(path, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o640)

    def write(self, descriptor: int, data: bytes, *, offset: int) -> None:
        """Write all data at an offset; raise `SyncFailedError` on a failure of the disk."""
        view = memoryview(data)
        try:
            with _distinguish_full_disk():
                while view:
                    written = os.pwrite(descriptor, view, offset)
                    offset += written
                    view = view[written:]
        except OSError as error:
            # As after a failed sync, the contents of the disk are unknown.
            raise SyncFailedError(f"write to the data disk failed: {error}") from error

    def sync(self, descriptor: int) -> None:
        """Make written data durable; raise `SyncFailedError` on a failure of the disk.

        After `DiskFullError`, data written since the last sync may be stored or not, and has to be
        written again.
        """
        try:
            with _distinguish_full_disk():
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
        with _distinguish_full_disk():
            os.ftruncate(descriptor, length)
        self.sync(descriptor)

    def remove(self, path: Path) -> None:
        """Remove a file, if it exists; `sync_folder` makes that durable."""
        with _distinguish_full_disk():
            path.unlink(missing_ok=True)

    def replace_file(self, path: Path, data: bytes) -> None:
        """Replace the contents of a file atomically and durably."""
        temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
        descriptor = self.create(temporary)
        try:
            self.write(descriptor, data, offset=0)
            self.sync(descriptor)
            with _distinguish_full_disk():
                temporary.rename(path)
        except DiskFullError:
            self.remove(temporary)
            raise
        finally:
            os.close(descriptor)
        self.sync_folder(path.parent)
