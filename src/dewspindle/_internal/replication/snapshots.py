"""Snapshot files of the cell state."""

from dataclasses import dataclass
from pathlib import Path

from ..exceptions import CorruptFileError, DiskFullError
from ..utils.logs import get_logger
from .disk import TEMPORARY_SUFFIX, Disk
from .metadata import add_checksum, check_checksum

SNAPSHOT_SUFFIX = ".snapshot"
UNFINISHED_PATTERN = f"*{SNAPSHOT_SUFFIX}{TEMPORARY_SUFFIX}"
KEPT_SNAPSHOTS = 2

logger = get_logger(__name__)


@dataclass(frozen=True, slots=True)
class StoredSnapshot:
    """A serialized cell state, with the index and term of its last applied entry."""

    index: int
    term: int
    data: bytes


class SnapshotStore:
    """Reads and writes snapshot files; all calls block."""

    def __init__(self, folder: Path, *, disk: Disk) -> None:
        self._folder = folder
        self._disk = disk

    def load_newest(self) -> StoredSnapshot | None:
        """Return the newest valid snapshot, or None; skip damaged ones."""
        self._folder.mkdir(parents=True, exist_ok=True)
        self._remove_unfinished()
        for path in self._list_newest_first():
            try:
                data = check_checksum(path, path.read_bytes())
            except CorruptFileError as error:
                logger.error("damaged snapshot skipped", file=str(path), error=str(error))
                continue
            index, term = (int(part) for part in path.stem.split("-"))
            return StoredSnapshot(index=index, term=term, data=data)
        return None

    def _remove_unfinished(self) -> None:
        """Remove what a process left that ended while it saved a snapshot."""
        for path in self._folder.glob(UNFINISHED_PATTERN):
            try:
                self._disk.remove(path)
            except DiskFullError as error:
                logger.warning("disk full; unfinished snapshot not removed", error=str(error))

    def _list_newest_first(self) -> list[Path]:
        return sorted(self._folder.glob(f"*{SNAPSHOT_SUFFIX}"), reverse=True)

    def save(self, snapshot: StoredSnapshot) -> None:
        """Write a snapshot durably and remove the oldest ones."""
        path = self._folder / f"{snapshot.index:020d}-{snapshot.term}{SNAPSHOT_SUFFIX}"
        self._disk.replace_file(path, add_checksum(snapshot.data))
        self._remove(self._list_newest_first()[KEPT_SNAPSHOTS:])

    def remove_before(self, index: int) -> bool:
        """Remove the snapshots before the one of an index, and return whether there were any."""
        return self._remove(
            [path for path in self._list_newest_first() if _get_index(path) < index]
        )

    def _remove(self, paths: list[Path]) -> bool:
        for path in paths:
            self._disk.remove(path)
        if paths:
            self._disk.sync_folder(self._folder)
        return bool(paths)


def _get_index(path: Path) -> int:
    return int(path.stem.partition("-")[0])
