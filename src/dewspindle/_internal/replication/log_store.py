"""Segment files of the replicated log."""

import os
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import pairwise
from pathlib import Path

from ..exceptions import CorruptLogError, DiskFullError
from ..schema import peers_pb2
from ..utils.logs import get_logger
from .disk import Disk
from .frames import make_frame, scan_segment

SEGMENT_SUFFIX = ".log"

logger = get_logger(__name__)


@dataclass(slots=True)
class Segment:
    """One file of consecutive entries and the offset of each."""

    path: Path
    first_index: int
    last_index: int
    length: int
    offsets: list[int]


class LogStore:
    """Appends entries to segment files and loads them at start; all calls block.

    Removals change the segments in memory at once. What a full disk leaves of them in the files is
    removed before the next append, as it would otherwise be read as part of the log.
    """

    def __init__(self, folder: Path, *, segment_bytes: int, disk: Disk) -> None:
        self._folder = folder
        self._segment_bytes = segment_bytes
        self._disk = disk
        self._segments: list[Segment] = []
        self._descriptor: int | None = None  # Of the last segment.
        self._removed: list[Path] = []  # Files that may still exist, in the order of removal.
        self._has_excess = False  # The last segment's file may be longer than the segment.

    @property
    def segment_count(self) -> int:
        """Return the number of segment files."""
        return len(self._segments)

    def load(self) -> list[peers_pb2.Entry]:
        """Return all entries; truncate a torn last write, raise `CorruptLogError` on damage."""
        self._folder.mkdir(parents=True, exist_ok=True)
        paths = sorted(self._folder.glob(f"*{SEGMENT_SUFFIX}"))
        entries: list[peers_pb2.Entry] = []
        for path in paths:
            entries.extend(self._load_segment(path, is_last=path == paths[-1]))
        for before, after in pairwise(entries):
            if after.index != before.index + 1:
                raise CorruptLogError(
                    f"gap in the log: entry {before.index} is followed by {after.index}"
                )
        if self._segments:
            self._open_last()
        self._try_to_clean_up()
        return entries

    def _load_segment(self, path: Path, *, is_last: bool) -> list[peers_pb2.Entry]:
        data = path.read_bytes()
        scan = scan_segment(data)
        length = len(data)
        if scan.bad_offset is not None:
            if scan.is_damaged or not is_last:
                raise CorruptLogError(f"{path}: invalid frame at offset {scan.bad_offset}")
            length = scan.bad_offset
            self._has_excess = True
        entries = [peers_pb2.Entry.FromString(frame.payload) for frame in scan.frames]
        if not entries:
            self._has_excess = False
            self._removed.append(path)
            return []
        self._segments.append(
            Segment(
                path=path,
                first_index=entries[0].index,
                last_index=entries[-1].index,
                length=length,
                offsets=[frame.offset for frame in scan.frames],
            )
        )
        return entries

    def append(self, entries: Sequence[peers_pb2.Entry]) -> None:
        """Write entries in one batch and sync once; keep none of them on `DiskFullError`."""
        if not entries:
            return
        self._clean_up()
        segment = self._get_open_segment(first_index=entries[0].index)
        batch_offset = segment.length
        frames = bytearray()
        offsets = []
        for entry in entries:
            offsets.append(batch_offset + len(frames))
            frames += make_frame(entry.SerializeToString(), batch_offset=batch_offset)
        assert self._descriptor is not None
        self._has_excess = True
        try:
            self._disk.write(self._descriptor, bytes(frames), offset=batch_offset)
            self._disk.sync(self._descriptor)
        except DiskFullError:
            self._try_to_clean_up()
            raise
        self._has_excess = False
        segment.offsets.extend(offsets)
        segment.length += len(frames)
        segment.last_index = entries[-1].index

    def _get_open_segment(self, *, first_index: int) -> Segment:
        if self._segments and self._segments[-1].length < self._segment_bytes:
            return self._segments[-1]
        path = self._folder / f"{first_index:020d}{SEGMENT_SUFFIX}"
        descriptor = self._disk.create(path)
        try:
            self._disk.sync_folder(self._folder)
        except DiskFullError:
            os.close(descriptor)
            self._removed.append(path)
            raise
        self._close()
        self._descriptor = descriptor
        self._segments.append(
            Segment(path=path, first_index=first_index, last_index=0, length=0, offsets=[])
        )
        return self._segments[-1]

    def _open_last(self) -> None:
        self._close()
        self._descriptor = os.open(self._segments[-1].path, os.O_RDWR)

    def _close(self) -> None:
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None

    def truncate_from(self, index: int) -> None:
        """Remove the entry at an index and all entries after it."""
        while self._segments and self._segments[-1].first_index >= index:
            self._remove_last()
        if self._segments:
            self._open_last()
            self._cut_last(index)
        self._try_to_clean_up()

    def _cut_last(self, index: int) -> None:
        segment = self._segments[-1]
        if segment.last_index < index:
            return
        position = index - segment.first_index
        segment.length = segment.offsets[position]
        del segment.offsets[position:]
        segment.last_index = index - 1
        self._has_excess = True

    def remove_through(self, index: int) -> None:
        """Remove segments that hold no entry after an index; the last segment always stays."""
        while len(self._segments) > 1 and self._segments[0].last_index <= index:
            self._removed.append(self._segments.pop(0).path)
        self._try_to_clean_up()

    def remove_all(self) -> None:
        """Remove every segment."""
        while self._segments:
            self._remove_last()
        self._try_to_clean_up()

    def _remove_last(self) -> None:
        self._close()
        self._removed.append(self._segments.pop().path)
        self._has_excess = False

    def _clean_up(self) -> None:
        """Remove from the files what was removed from the segments."""
        while self._removed:
            self._disk.remove(self._removed[0])
            self._disk.sync_folder(self._folder)
            del self._removed[0]
        if self._has_excess:
            assert self._descriptor is not None
            self._disk.truncate(self._descriptor, self._segments[-1].length)
            self._has_excess = False

    def _try_to_clean_up(self) -> None:
        """Clean up, or leave it to the next append if the disk is full."""
        try:
            self._clean_up()
        except DiskFullError as error:
            logger.warning("disk full; removal from the log is put off", error=str(error))

    def close(self) -> None:
        """Close the open file."""
        self._close()
