"""Files of the data folder: written, synced and replaced as a whole."""

import errno
import os
from pathlib import Path

from ..exceptions import DiskFullError, SyncFailedError

_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT)


class Disk:
    """The system calls that make data durable, with their failures told apart."""

    def create(self, path: Path) -> int:
        """Open an empty file of a name; raise `DiskFullError` where there is no room for it."""
        try:
            return os.open(path, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o640)
        except OSError as error:
            if error.errno in _FULL_ERRNOS:
                raise DiskFullError(f"the disk is full: {error}") from error
            raise

    def write(self, descriptor: int, data: bytes, *, offset: int) -> None:
        """Write all data at an offset; raise `DiskFullError` where there is no room."""
        view = memoryview(data)
        try:
            while view:
                written = os.pwrite(descriptor, view, offset)
                offset += written
                view = view[written:]
        except OSError as error:
            if error.errno in _FULL_ERRNOS:
                raise DiskFullError(f"the disk is full: {error}") from error
            raise SyncFailedError(f"a write failed: {error}") from error

    def sync(self, descriptor: int) -> None:
        """Make written data durable; raise `SyncFailedError` where that fails."""
        try:
            os.fdatasync(descriptor)
        except OSError as error:
            raise SyncFailedError(f"a sync failed: {error}") from error

    def sync_folder(self, path: Path) -> None:
        """Make created, renamed and removed names of a folder durable."""
        descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            self.sync(descriptor)
        finally:
            os.close(descriptor)

    def truncate(self, descriptor: int, length: int) -> None:
        """Cut a file to a length, durably."""
        os.ftruncate(descriptor, length)
        self.sync(descriptor)

    def replace_file(self, path: Path, data: bytes) -> None:
        """Put a whole file in place of the one of that name, durably."""
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
