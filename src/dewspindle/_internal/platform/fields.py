"""Reads typed fields out of decoded JSON, and names the one that is wrong."""

import json
from typing import Any

from ..exceptions import InvalidDocumentError, MalformedBodyError

MAX_COUNT = 2**32 - 1  # What the messages between instances hold in most fields.
MAX_LONG_COUNT = 2**53  # JSON numbers are exact up to here.


def parse_object(body: bytes) -> dict[str, Any]:
    """Return a JSON object; raise `MalformedBodyError` where the body is anything else."""
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise MalformedBodyError(f"the body is not JSON: {error}") from None
    if not isinstance(value, dict):
        raise MalformedBodyError("the body is not a JSON object")
    return value


def read_text(fields: dict[str, Any], name: str, *, default: str | None = None) -> str:
    """Return a string field; raise `InvalidDocumentError` where it is missing or another type."""
    value = fields.get(name, default)
    if not isinstance(value, str) or not is_unicode(value):
        raise InvalidDocumentError(f"field {name!r} is not a string", field=name)
    return value


def is_unicode(text: str) -> bool:
    """Tell whether a string can be encoded; JSON may carry half of a surrogate pair."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def read_count(
    fields: dict[str, Any], name: str, *, default: int | None = None, limit: int = MAX_COUNT
) -> int:
    """Return a whole number from 0 to a limit; raise `InvalidDocumentError` for anything else."""
    value: Any = fields.get(name, default)
    is_whole = isinstance(value, int) or (isinstance(value, float) and value.is_integer())
    if isinstance(value, bool) or not is_whole or not 0 <= value <= limit:
        raise InvalidDocumentError(f"field {name!r} is not a whole number", field=name)
    return int(value)


def read_number(fields: dict[str, Any], name: str, *, default: float | None = None) -> float:
    """Return a number of at least 0; raise `InvalidDocumentError` for anything else."""
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value <= MAX_COUNT:
        raise InvalidDocumentError(f"field {name!r} is not a number", field=name)
    return float(value)


def read_flag(fields: dict[str, Any], name: str) -> bool:
    """Return a flag, false where it is missing; raise `InvalidDocumentError` for another type."""
    value = fields.get(name, False)
    if not isinstance(value, bool):
        raise InvalidDocumentError(f"field {name!r} is not true or false", field=name)
    return value


def read_list(fields: dict[str, Any], name: str) -> list[Any]:
    """Return a list, empty where it is missing; raise `InvalidDocumentError` for another type."""
    value = fields.get(name, [])
    if not isinstance(value, list):
        raise InvalidDocumentError(f"field {name!r} is not a list", field=name)
    return value


def read_object(fields: dict[str, Any], name: str) -> dict[str, Any]:
    """Return an object; raise `InvalidDocumentError` for anything else."""
    value = fields.get(name)
    if not isinstance(value, dict):
        raise InvalidDocumentError(f"field {name!r} is not an object", field=name)
    return value


def as_object(value: Any, what: str) -> dict[str, Any]:
    """Return a list entry that is an object; raise `InvalidDocumentError` for anything else."""
    if not isinstance(value, dict):
        raise InvalidDocumentError(f"an entry of {what!r} is not an object", field=what)
    return value
