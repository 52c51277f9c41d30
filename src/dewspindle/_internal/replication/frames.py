"""Framing of log entries in a segment file, and recovery after a torn write.

A frame consists of a marker, the payload's length, a checksum, the offset at which the frame's
batch starts, and the payload. The batch offset distinguishes a torn batch, which a crash left
partly written, from damage to synced entries: a valid frame of a later batch proves that everything
before that batch was synced.
"""

import struct
from collections.abc import Iterator
from dataclasses import dataclass

import google_crc32c

HEADER = struct.Struct("<4sIIQ")
MARKER = b"\xd5wL\x01"
MAX_PAYLOAD_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Frame:
    """One frame read from a segment."""

    offset: int
    end: int
    batch_offset: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class ScanResult:
    """The valid frames up to the first invalid one, and its offset, or None if all are valid.

    The segment is damaged if a frame of a later batch follows the invalid one. Otherwise the last
    write was torn.
    """

    frames: list[Frame]
    bad_offset: int | None
    is_damaged: bool


def make_frame(payload: bytes, *, batch_offset: int) -> bytes:
    """Return a payload framed for a segment file."""
    checksum = _compute_checksum(payload, batch_offset)
    return HEADER.pack(MARKER, len(payload), checksum, batch_offset) + payload


def _compute_checksum(payload: bytes, batch_offset: int) -> int:
    prefix = struct.pack("<IQ", len(payload), batch_offset)
    return int(google_crc32c.extend(google_crc32c.value(prefix), payload))


def _read_frame(data: bytes, offset: int) -> Frame | None:
    if offset + HEADER.size > len(data):
        return None
    marker, length, checksum, batch_offset = HEADER.unpack_from(data, offset)
    end = offset + HEADER.size + length
    if marker != MARKER or length > MAX_PAYLOAD_BYTES or end > len(data):
        return None
    payload = data[offset + HEADER.size : end]
    if _compute_checksum(payload, batch_offset) != checksum:
        return None
    return Frame(offset=offset, end=end, batch_offset=batch_offset, payload=payload)


def _find_later_frames(data: bytes, start: int) -> Iterator[Frame]:
    position = data.find(MARKER, start)
    while position >= 0:
        frame = _read_frame(data, position)
        if frame is not None:
            yield frame
        position = data.find(MARKER, position + 1)


def scan_segment(data: bytes) -> ScanResult:
    """Read all frames of a segment up to the first invalid one."""
    frames: list[Frame] = []
    offset = 0
    while offset < len(data):
        frame = _read_frame(data, offset)
        if frame is None:
            break
        frames.append(frame)
        offset = frame.end
    if offset == len(data):
        return ScanResult(frames=frames, bad_offset=None, is_damaged=False)
    later = _find_later_frames(data, offset + 1)
    is_damaged = any(frame.batch_offset > offset for frame in later)
    return ScanResult(frames=frames, bad_offset=offset, is_damaged=is_damaged)
