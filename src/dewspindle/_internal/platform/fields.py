"""Typed access to the fields of decoded JSON; errors name the invalid field."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, TypeVar

from ..exceptions import InvalidDocumentError
from ..utils.documents import parse_json_object

T = TypeVar("T")

MAX_UINT32 = 2**32 - 1  # Most integer fields of the schema messages are uint32.
MAX_NAME_LENGTH = 255  # Characters of an id or a name that another program chooses.
MAX_SAFE_INTEGER = 2**53  # JSON numbers, read as doubles, are exact up to this value.


def parse_object(body: bytes) -> dict[str, Any]:
    """Parse a JSON object; raise `MalformedBodyError` if the body is anything else."""
    return parse_json_object(body)


def read_text(fields: dict[str, Any], name: str, *, default: str | None = None) -> str:
    """Return a string; raise `InvalidDocumentError` if it is missing or not encodable in UTF-8."""
    value = fields.get(name, default)
    if not isinstance(value, str) or not is_encodable(value):
        raise InvalidDocumentError(
            f"field {name!r} is missing or not a string of valid Unicode", field=name
        )
    return value


def read_name(fields: dict[str, Any], name: str) -> str:
    """Return a string that may name something; raise `InvalidDocumentError` for anything else."""
    value = read_text(fields, name)
    if not is_name(value):
        raise InvalidDocumentError(
            f"field {name!r} is longer than {MAX_NAME_LENGTH} characters or not printable",
            field=name,
        )
    return value


def is_name(value: Any) -> bool:
    """Return whether a value is a printable string of limited length."""
    return isinstance(value, str) and len(value) <= MAX_NAME_LENGTH and value.isprintable()


def is_header_name(value: Any) -> bool:
    """Return whether a value is a name that an HTTP header can carry unchanged."""
    return is_name(value) and value.isascii() and value != "" and " " not in value


def is_encodable(text: str) -> bool:
    """Return whether a string is encodable in UTF-8; JSON may contain unpaired surrogates."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def read_uint(
    fields: dict[str, Any], name: str, *, default: int | None = None, limit: int = MAX_UINT32
) -> int:
    """Return an integer from 0 to a limit; raise `InvalidDocumentError` for anything else."""
    return check_uint(fields.get(name, default), name, limit=limit)


def check_uint(value: Any, name: str, *, limit: int = MAX_SAFE_INTEGER) -> int:
    """Return a value that is an integer from 0 to a limit; raise `InvalidDocumentError`."""
    if type(value) is int and 0 <= value <= limit:
        return value  # The usual case, in each row of each worker's lists.
    is_whole = isinstance(value, int) or (isinstance(value, float) and value.is_integer())
    if isinstance(value, bool) or not is_whole or not 0 <= value <= limit:
        raise InvalidDocumentError(
            f"field {name!r} is missing or not an integer from 0 to {limit}", field=name
        )
    return int(value)


def read_number(fields: dict[str, Any], name: str, *, default: float | None = None) -> float:
    """Return a non-negative number; raise `InvalidDocumentError` for anything else."""
    return check_number(fields.get(name, default), name)


def check_number(value: Any, name: str) -> float:
    """Return a value that is a number of limited size; raise `InvalidDocumentError` if not."""
    if type(value) in (int, float) and 0 <= value <= MAX_UINT32:
        return float(value)  # The usual case, in each row of each worker's lists.
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or not 0 <= value <= MAX_UINT32
    ):
        raise InvalidDocumentError(
            f"field {name!r} is missing or not a number from 0 to {MAX_UINT32}", field=name
        )
    return float(value)


def read_bool(fields: dict[str, Any], name: str) -> bool:
    """Return a boolean, false if it is missing; raise `InvalidDocumentError` for another type."""
    value = fields.get(name, False)
    if not isinstance(value, bool):
        raise InvalidDocumentError(f"field {name!r} is not a boolean", field=name)
    return value


def read_list(fields: dict[str, Any], name: str) -> list[Any]:
    """Return a list, empty if it is missing; raise `InvalidDocumentError` for another type."""
    value = fields.get(name, [])
    if not isinstance(value, list):
        raise InvalidDocumentError(f"field {name!r} is not a list", field=name)
    return value


def read_object(fields: dict[str, Any], name: str) -> dict[str, Any]:
    """Return an object; raise `InvalidDocumentError` for anything else."""
    value = fields.get(name)
    if not isinstance(value, dict):
        raise InvalidDocumentError(f"field {name!r} is missing or not an object", field=name)
    return value


def require_object(value: Any, list_name: str) -> dict[str, Any]:
    """Return a list entry that must be an object; raise `InvalidDocumentError` otherwise."""
    if not isinstance(value, dict):
        raise InvalidDocumentError(
            f"field {list_name!r} contains an entry that is not an object", field=list_name
        )
    return value


@contextmanager
def locate_errors(path: str) -> Iterator[None]:
    """Put the path of an object before the field that an `InvalidDocumentError` names."""
    try:
        yield
    except InvalidDocumentError as error:
        error.field = f"{path}.{error.field}" if error.field else path
        raise


def decode_entries(
    fields: dict[str, Any], name: str, decode: Callable[[dict[str, Any]], T]
) -> list[T]:
    """Decode the objects of a list; errors name the position of the invalid one."""
    decoded = []
    for position, entry in enumerate(read_list(fields, name)):
        path = f"{name}[{position}]"
        if not isinstance(entry, dict):
            raise InvalidDocumentError(f"field {path!r} is not an object", field=path)
        with locate_errors(path):
            decoded.append(decode(entry))
    return decoded
