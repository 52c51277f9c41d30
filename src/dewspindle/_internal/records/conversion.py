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
MILLICORES = 1000
MEGABYTES = 1024


class SchemaVersion(ABC):
    """One version of the record schema."""

    @abstractmethod
    def check(self, document: Document) -> None:
        """Raise `InvalidDocumentError` where a document is not of this version."""

    @abstractmethod
    def upgrade(self, document: Document) -> Document:
        """Return what a document says in the current version, and nothing that it cannot say."""

    @abstractmethod
    def view(self, document: Document) -> Document:
        """Return a document of the current version as this version shows it."""


_VERSIONS: dict[int, SchemaVersion] = {}


def schema_version(number: int) -> Callable[[type[SchemaVersion]], type[SchemaVersion]]:
    """Register the class for a version of the schema."""

    def register(cls: type[SchemaVersion]) -> type[SchemaVersion]:
        _VERSIONS[number] = cls()
        return cls

    return register


def get_version(number: object) -> SchemaVersion:
    """Return a version, or raise `UnknownSchemaVersionError`."""
    if number is None:
        raise InvalidDocumentError("field 'schema_version' is missing", field="schema_version")
    if isinstance(number, bool) or not isinstance(number, int) or number not in _VERSIONS:
        raise UnknownSchemaVersionError(
            f"schema version {number!r} is unknown", field="schema_version"
        )
    return _VERSIONS[number]


@schema_version(1)
class VersionOne(SchemaVersion):
    """The flat schema: whole processors, gigabytes, no team or priority."""

    def check(self, document: Document) -> None:
        """Raise `InvalidDocumentError` where a document is not of this version."""
        parse_document(documents_pb2.RecordV1Document(), document)

    def upgrade(self, document: Document) -> Document:
        """Return what a document says in the current version, and nothing that it cannot say."""
        upgraded: Document = {
            "name": document["name"],
            "kind": document["type"],
            "tasks": document.get("count", 1),
            "resources": {
                "processors": document["cpus"] * MILLICORES,
                "memory_mb": document["mem_gb"] * MEGABYTES,
            },
        }
        if "command" in document:
            upgraded["command"] = document["command"]
        return upgraded

    def view(self, document: Document) -> Document:
        """Return a document of the current version as this version shows it."""
        resources = document["resources"]
        shown: Document = {
            "schema_version": 1,
            "name": document["name"],
            "type": document["kind"],
            "cpus": -(-int(resources["processors"]) // MILLICORES),
            "mem_gb": -(-int(resources["memory_mb"]) // MEGABYTES),
            "count": document.get("tasks", 1),
        }
        if "command" in document:
            shown["command"] = document["command"]
        return shown


@schema_version(2)
class VersionTwo(SchemaVersion):
    """The schema with teams, priorities and placement."""

    def check(self, document: Document) -> None:
        """Raise `InvalidDocumentError` where a document is not of this version."""
        parse_document(documents_pb2.RecordV2Document(), document)

    def upgrade(self, document: Document) -> Document:
        """Return what a document says in the current version, and nothing that it cannot say."""
        return {key: value for key, value in document.items() if key != "schema_version"}

    def view(self, document: Document) -> Document:
        """Return a document of the current version as this version shows it."""
        return {"schema_version": 2, **document}


def make_record(document: Document) -> cell_pb2.Record:
    """Make a record from a submitted document of any known version."""
    version = get_version(document.get("schema_version"))
    number = int(document["schema_version"])
    if number != CURRENT_VERSION:
        version.check(document)
    return _make_record(document, number)


def _make_record(document: Document, number: int) -> cell_pb2.Record:
    current: Document = {
        "schema_version": CURRENT_VERSION,
        "team": DEFAULT_TEAM,
        **get_version(number).upgrade(document),
    }
    parsed = parse_document(documents_pb2.RecordV2Document(), current)
    return cell_pb2.Record(
        schema_version=number,
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
    """Return the document of a record as it was written."""
    return cast(Document, json.loads(record.document))


def view_record(record: cell_pb2.Record, number: int) -> Document:
    """Return a record's document as a version of the schema shows it."""
    stored = get_document(record)
    if number == record.schema_version:
        return stored
    current = {"team": DEFAULT_TEAM, **get_version(record.schema_version).upgrade(stored)}
    return get_version(number).view(current)


def change_record(record: cell_pb2.Record, document: Document) -> cell_pb2.Record:
    """Make the changed record; a writer of an older version keeps the fields it cannot say."""
    number = document.get("schema_version")
    version = get_version(number)
    version.check(document)
    assert isinstance(number, int)
    if number >= record.schema_version:
        changed = _make_record(document, number)
    else:
        changed = _make_record(_merge(record, document, number), record.schema_version)
    _check_fixed_fields(record, changed)
    return changed


def _merge(record: cell_pb2.Record, document: Document, number: int) -> Document:
    """Return the stored document with the fields that an older version's writer changed."""
    version = get_version(number)
    stored = get_document(record)
    shown_before = version.upgrade(version.view(stored))
    written = version.upgrade(document)
    merged = dict(stored)
    for key, value in written.items():
        if key == "resources":
            merged[key] = _merge_resources(stored[key], shown_before[key], value)
        elif value != shown_before.get(key):
            merged[key] = value
    return merged


def _merge_resources(stored: Document, shown_before: Document, written: Document) -> Document:
    changed = {key: value for key, value in written.items() if value != shown_before[key]}
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
