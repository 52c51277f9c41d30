"""Registry of record schema versions and the conversions between them."""

import json
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any, cast

from ..exceptions import InvalidDocumentError, UnknownSchemaVersionError
from ..schema import cell_pb2, documents_pb2, resources_pb2
from ..utils.documents import parse_document

Document = dict[str, Any]

CURRENT_VERSION = 2
DEFAULT_TEAM = "default"
DEFAULT_START_DEADLINE_S = 24 * 3600
DEFAULT_MAX_ATTEMPTS = 3
MILLICORES_PER_PROCESSOR = 1000
MEGABYTES_PER_GIGABYTE = 1024


class SchemaVersion(ABC):
    """One version of the record schema."""

    @abstractmethod
    def check(self, document: Document) -> None:
        """Raise `InvalidDocumentError` if a document is not valid in this version."""

    @abstractmethod
    def to_current(self, document: Document) -> Document:
        """Convert a document of this version to the current one.

        The result has no `schema_version` and no fields that this version cannot express.
        """

    @abstractmethod
    def from_current(self, document: Document) -> Document:
        """Convert a document of the current version to this version."""


_VERSIONS: dict[int, SchemaVersion] = {}


def schema_version(version_number: int) -> Callable[[type[SchemaVersion]], type[SchemaVersion]]:
    """Register the class of a schema version."""

    def register(cls: type[SchemaVersion]) -> type[SchemaVersion]:
        _VERSIONS[version_number] = cls()
        return cls

    return register


def get_version(version_number: object) -> SchemaVersion:
    """Return a schema version, or raise an error if it is missing or unknown."""
    if version_number is None:
        raise InvalidDocumentError("field 'schema_version' is missing", field="schema_version")
    if (
        isinstance(version_number, bool)
        or not isinstance(version_number, int)
        or version_number not in _VERSIONS
    ):
        raise UnknownSchemaVersionError(
            f"schema version {version_number!r} is unknown", field="schema_version"
        )
    return _VERSIONS[version_number]


@schema_version(1)
class SchemaVersion1(SchemaVersion):
    """Flat schema with whole processors and gigabytes, without team or priority."""

    def check(self, document: Document) -> None:
        """Raise `InvalidDocumentError` if a document is not valid in this version."""
        parse_document(documents_pb2.RecordV1Document(), document)

    def to_current(self, document: Document) -> Document:
        """Convert a document of this version to the current one, without `schema_version`."""
        current: Document = {
            "name": document["name"],
            "kind": document["type"],
            "tasks": document.get("count", 1),
            "resources": {
                "processors": document["cpus"] * MILLICORES_PER_PROCESSOR,
                "memory_mb": document["mem_gb"] * MEGABYTES_PER_GIGABYTE,
            },
        }
        if "command" in document:
            current["command"] = document["command"]
        return current

    def from_current(self, document: Document) -> Document:
        """Convert a document of the current version to this version."""
        resources = document["resources"]
        converted: Document = {
            "schema_version": 1,
            "name": document["name"],
            "type": document["kind"],
            "cpus": -(-int(resources["processors"]) // MILLICORES_PER_PROCESSOR),
            "mem_gb": -(-int(resources["memory_mb"]) // MEGABYTES_PER_GIGABYTE),
            "count": document.get("tasks", 1),
        }
        if "command" in document:
            converted["command"] = document["command"]
        return converted


@schema_version(2)
class SchemaVersion2(SchemaVersion):
    """Schema with teams, priorities and placement."""

    def check(self, document: Document) -> None:
        """Raise `InvalidDocumentError` if a document is not valid in this version."""
        parse_document(documents_pb2.RecordV2Document(), document)

    def to_current(self, document: Document) -> Document:
        """Convert a document of this version to the current one, without `schema_version`."""
        return {key: value for key, value in document.items() if key != "schema_version"}

    def from_current(self, document: Document) -> Document:
        """Convert a document of the current version to this version."""
        return {"schema_version": 2, **document}


def make_record(document: Document) -> cell_pb2.Record:
    """Create a record from a submitted document of any known version."""
    version = get_version(document.get("schema_version"))
    version_number = int(document["schema_version"])
    # `_build_record` checks the form of the current version.
    if version_number != CURRENT_VERSION:
        version.check(document)
    return _build_record(document, version_number)


def _build_record(document: Document, version_number: int) -> cell_pb2.Record:
    current_document: Document = {
        "schema_version": CURRENT_VERSION,
        "team": DEFAULT_TEAM,
        **get_version(version_number).to_current(document),
    }
    parsed = parse_document(documents_pb2.RecordV2Document(), current_document)
    return cell_pb2.Record(
        schema_version=version_number,
        document=json.dumps(document, separators=(",", ":")).encode(),
        name=parsed.name,
        team=parsed.team,
        kind=parsed.kind,
        priority=parsed.priority or "normal",
        resources=resources_pb2.Resources(
            processors=parsed.resources.processors,
            memory_mb=parsed.resources.memory_mb,
            accelerators=parsed.resources.accelerators,
        ),
        expected_run_s=parsed.expected_run_s,
        start_deadline_ms=(parsed.start_deadline_s or DEFAULT_START_DEADLINE_S) * 1000,
        max_attempts=parsed.max_attempts or DEFAULT_MAX_ATTEMPTS,
        repeatable=parsed.repeatable if parsed.HasField("repeatable") else True,
        zones=parsed.placement.zones,
        racks=parsed.placement.racks,
        spread=parsed.placement.spread,
        command=parsed.command,
        task_count=parsed.tasks or 1,
    )


def get_document(record: cell_pb2.Record) -> Document:
    """Return a record's document in the schema version in which it is stored."""
    return cast(Document, json.loads(record.document))


def convert_document(record: cell_pb2.Record, version_number: int) -> Document:
    """Return a record's document converted to a schema version."""
    stored = get_document(record)
    if version_number == record.schema_version:
        return stored
    current_document = {
        "team": DEFAULT_TEAM,
        **get_version(record.schema_version).to_current(stored),
    }
    return get_version(version_number).from_current(current_document)


def change_record(record: cell_pb2.Record, document: Document) -> cell_pb2.Record:
    """Return the record changed to a submitted document.

    A document of a version older than the stored one changes only what differs from the stored
    document in that version, so that fields which the older version cannot express are kept.
    Another document replaces the stored one, and the record takes its version.
    """
    version_number = document.get("schema_version")
    version = get_version(version_number)
    version.check(document)
    assert isinstance(version_number, int)
    if version_number >= record.schema_version:
        changed = _build_record(document, version_number)
    else:
        changed = _build_record(_merge(record, document, version_number), record.schema_version)
    _check_fixed_fields(record, changed)
    return changed


def _merge(record: cell_pb2.Record, document: Document, version_number: int) -> Document:
    """Apply the fields changed by a document of an older version to the stored document.

    A field counts as changed if it differs from the stored document as a client of the older
    version reads it. A field that the converted document lacks is kept.
    """
    version = get_version(version_number)
    stored = get_document(record)
    # The stored document as the client read it, for instance with its memory rounded up.
    previous = version.to_current(version.from_current(stored))
    submitted = version.to_current(document)
    merged = dict(stored)
    for key, value in submitted.items():
        if key == "resources":
            merged[key] = _merge_resources(stored[key], previous[key], value)
        elif value != previous.get(key):
            merged[key] = value
    return merged


def _merge_resources(stored: Document, previous: Document, submitted: Document) -> Document:
    changed = {key: value for key, value in submitted.items() if value != previous[key]}
    return {**stored, **changed}


def _check_fixed_fields(record: cell_pb2.Record, changed: cell_pb2.Record) -> None:
    for name in ("kind", "team"):
        before, after = getattr(record, name), getattr(changed, name)
        if before != after:
            raise InvalidDocumentError(
                f"field {name!r} cannot change from {before!r} to {after!r}",
                field=name,
                hint="cancel the record and submit another",
            )
