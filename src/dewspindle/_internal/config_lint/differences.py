"""Differences between a configuration and the version in force."""

import json
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any

from google.protobuf.descriptor import FieldDescriptor
from google.protobuf.message import Message

from .findings import CheckInput, Need, Path, Severity, Violation
from .registry import ANY_CONFIG, register_check


class DifferenceKind(Enum):
    """Kinds of differences."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"
    KEYS = "keys"


@dataclass(frozen=True, slots=True)
class Difference:
    """Difference between two messages."""

    kind: DifferenceKind
    path: Path
    message: str


def compare_messages(old: Message, new: Message, path: Path = ()) -> Iterator[Difference]:
    """Yield the differences between two messages of one type.

    Fields of bytes are digests of keys, or the whole document with its keys. They are counted or
    left out, never shown.
    """
    for field in new.DESCRIPTOR.fields:
        before, after = getattr(old, field.name), getattr(new, field.name)
        here = (*path, field.name)
        if field.type == FieldDescriptor.TYPE_BYTES:
            if field.is_repeated:
                yield from _compare_keys(before, after, here, owner=getattr(new, "name", ""))
        elif field.message_type is None:
            if before != after:
                text = f"changed from {_format_value(before)} to {_format_value(after)}"
                yield Difference(DifferenceKind.CHANGED, here, text)
        elif field.message_type.GetOptions().map_entry:
            yield from _compare_maps(before, after, here)
        elif field.is_repeated:
            yield from _compare_lists(before, after, here)
        else:
            yield from compare_messages(before, after, here)


def _format_value(value: object) -> str:
    return json.dumps(value, ensure_ascii=False)


def _compare_keys(
    before: Sequence[bytes], after: Sequence[bytes], path: Path, *, owner: str
) -> Iterator[Difference]:
    gained, lost = len(set(after) - set(before)), len(set(before) - set(after))
    if gained or lost:
        text = f"{owner!r} gained {gained} and lost {lost} keys"
        yield Difference(DifferenceKind.KEYS, path, text)


def _compare_maps(before: Any, after: Any, path: Path) -> Iterator[Difference]:
    for key in sorted(set(before) | set(after)):
        here = (*path, key)
        if key not in before:
            yield Difference(DifferenceKind.ADDED, here, f"{key!r} is new")
        elif key not in after:
            yield Difference(DifferenceKind.REMOVED, here, f"{key!r} is no longer there")
        else:
            yield from compare_messages(before[key], after[key], here)


def _compare_lists(before: Any, after: Any, path: Path) -> Iterator[Difference]:
    """Compare lists whose entries have names, which repeated names tell apart by their order."""
    old_entries = _index_by_name(before)
    new_entries = _index_by_name(after)
    for identity, (number, entry) in new_entries.items():
        here = (*path, number)
        if identity in old_entries:
            yield from compare_messages(old_entries[identity][1], entry, here)
            continue
        yield Difference(DifferenceKind.ADDED, here, f"{entry.name!r} is new")
        yield from _compare_entry_keys(type(entry)(), entry, here, owner=entry.name)
    for identity, (_, entry) in old_entries.items():
        if identity not in new_entries:
            text = f"{entry.name!r} is no longer there"
            yield Difference(DifferenceKind.REMOVED, path, text)
            yield from _compare_entry_keys(entry, type(entry)(), path, owner=entry.name)


def _index_by_name(entries: Any) -> dict[tuple[str, int], tuple[int, Any]]:
    occurrences: Counter[str] = Counter()
    index = {}
    for number, entry in enumerate(entries):
        index[entry.name, occurrences[entry.name]] = (number, entry)
        occurrences[entry.name] += 1
    return index


def _compare_entry_keys(old: Any, new: Any, path: Path, *, owner: str) -> Iterator[Difference]:
    for field in new.DESCRIPTOR.fields:
        if field.type == FieldDescriptor.TYPE_BYTES and field.is_repeated:
            before, after = getattr(old, field.name), getattr(new, field.name)
            yield from _compare_keys(before, after, path, owner=owner)


def _select(subject: CheckInput[Message], kind: DifferenceKind) -> Iterator[Violation]:
    if subject.current is None:
        return
    for difference in compare_messages(subject.current, subject.document):
        if difference.kind is kind:
            yield Violation(difference.path, difference.message)


@register_check(
    "entry-added",
    config=ANY_CONFIG,
    severity=Severity.CHANGE,
    meaning="The version in force does not have this entry.",
    hint="",
    needs=(Need.CURRENT,),
)
def _find_added(subject: CheckInput[Message]) -> Iterator[Violation]:
    return _select(subject, DifferenceKind.ADDED)


@register_check(
    "entry-removed",
    config=ANY_CONFIG,
    severity=Severity.CHANGE,
    meaning="The version in force has an entry that the file does not have.",
    hint="",
    needs=(Need.CURRENT,),
)
def _find_removed(subject: CheckInput[Message]) -> Iterator[Violation]:
    return _select(subject, DifferenceKind.REMOVED)


@register_check(
    "value-changed",
    config=ANY_CONFIG,
    severity=Severity.CHANGE,
    meaning="A value differs from the version in force.",
    hint="",
    needs=(Need.CURRENT,),
)
def _find_changed(subject: CheckInput[Message]) -> Iterator[Violation]:
    return _select(subject, DifferenceKind.CHANGED)


@register_check(
    "keys-changed",
    config=ANY_CONFIG,
    severity=Severity.CHANGE,
    meaning="A team gains or loses keys; their number is given, never a key.",
    hint="callers must stop using a withdrawn key before the file is sent",
    needs=(Need.CURRENT,),
)
def _find_changed_keys(subject: CheckInput[Message]) -> Iterator[Violation]:
    return _select(subject, DifferenceKind.KEYS)
