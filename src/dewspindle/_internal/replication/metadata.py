"""The replica's identity, term, vote, phase and initial membership, stored in one synced file."""

import random
import uuid
from pathlib import Path

import google_crc32c
from google.protobuf.message import DecodeError

from ..exceptions import CorruptFileError
from ..schema import storage_pb2
from .disk import Disk

FILE_NAME = "replica"
FORMAT = 1  # Stored, but not checked when the file is read.
_CHECKSUM_BYTES = 4


def make_random_id(rng: random.Random) -> str:
    """Return a random UUID in hexadecimal."""
    return uuid.UUID(int=rng.getrandbits(128), version=4).hex


def add_checksum(payload: bytes) -> bytes:
    """Return a payload prefixed with its checksum."""
    return int(google_crc32c.value(payload)).to_bytes(_CHECKSUM_BYTES, "little") + payload


def check_checksum(path: Path, data: bytes) -> bytes:
    """Verify the checksum and return the payload; raise `CorruptFileError` on a mismatch."""
    checksum, payload = data[:_CHECKSUM_BYTES], data[_CHECKSUM_BYTES:]
    expected = int(google_crc32c.value(payload)).to_bytes(_CHECKSUM_BYTES, "little")
    if checksum != expected:
        raise CorruptFileError(f"{path}: checksum mismatch")
    return payload


class MetadataStore:
    """Reads and writes the metadata file; all calls block."""

    def __init__(self, folder: Path, *, disk: Disk) -> None:
        self._path = folder / FILE_NAME
        self._disk = disk

    def load(
        self, *, instance_id: str, rng: random.Random, wall_ms: int
    ) -> storage_pb2.ReplicaMetadata:
        """Return the stored metadata, or store a new identity if there is none."""
        self._path.parent.mkdir(parents=True, exist_ok=True)
        if self._path.exists():
            return self._read()
        metadata = storage_pb2.ReplicaMetadata(
            replica_id=make_random_id(rng),
            instance_id=instance_id,
            format=FORMAT,
            created_ms=wall_ms,
        )
        self.save(metadata)
        return metadata

    def _read(self) -> storage_pb2.ReplicaMetadata:
        payload = check_checksum(self._path, self._path.read_bytes())
        try:
            return storage_pb2.ReplicaMetadata.FromString(payload)
        except DecodeError as error:
            raise CorruptFileError(f"{self._path}: invalid metadata: {error}") from error

    def save(self, metadata: storage_pb2.ReplicaMetadata) -> None:
        """Write the metadata durably."""
        self._disk.replace_file(self._path, add_checksum(metadata.SerializeToString()))
