"""Parsing and validation of JSON documents against the field rules of the schema."""

import json
import re
from functools import cache
from typing import Any, TypeVar, cast

from google.protobuf import json_format
from google.protobuf.descriptor import FieldDescriptor
from google.protobuf.message import Message

from ..exceptions import InvalidDocumentError, MalformedBodyError
from ..schema import options_pb2

M = TypeVar("M", bound=Message)

MAX_NESTING = 20


def parse_json_object(body: bytes) -> dict[str, object]:
    """Parse a body as a JSON object, or raise `MalformedBodyError`."""
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        line = error.lineno if isinstance(error, json.JSONDecodeError) else 0
        raise MalformedBodyError(f"the body is not JSON: {error}", line=line) from None
    if not isinstance(value, dict):
        raise MalformedBodyError("the body is not a JSON object")
    return cast(dict[str, object], value)


def parse_document(message: M, document: dict[str, object]) -> M:
    """Fill a message from a JSON object, or raise `InvalidDocumentError` naming the field."""
    _check_types(message.DESCRIPTOR, document, path="")
    try:
        json_format.ParseDict(document, message, max_recursion_depth=MAX_NESTING)
    except (json_format.ParseError, TypeError, ValueError) as error:
        raise InvalidDocumentError(f"cannot parse the document: {error}") from None
    check_rules(message)
    return message


def _check_types(descriptor: Any, document: dict[str, object], *, path: str) -> None:
    """Check field names and JSON types more strictly than the protobuf library."""
    for key, value in document.items():
        name = f"{path}{key}"
        field = descriptor.fields_by_name.get(key)
        if field is None:
            raise InvalidDocumentError(f"unknown field {name!r}", field=name)
        if field.message_type is not None and field.message_type.GetOptions().map_entry:
            _check_map_types(field, value, name)
        elif field.is_repeated:
            if not isinstance(value, list):
                raise _make_type_error(name, "a list")
            for position, item in enumerate(value):
                _check_value(field, item, f"{name}[{position}]")
        else:
            _check_value(field, value, name)


def _check_map_types(field: Any, value: object, name: str) -> None:
    if not isinstance(value, dict):
        raise _make_type_error(name, "an object")
    item_field = field.message_type.fields_by_name["value"]
    for key, item in value.items():
        _check_value(item_field, item, f"{name}.{key}")


def _check_value(field: Any, value: object, name: str) -> None:
    if field.message_type is not None:
        if not isinstance(value, dict):
            raise _make_type_error(name, "an object")
        _check_types(field.message_type, value, path=f"{name}.")
        return
    if field.cpp_type == FieldDescriptor.CPPTYPE_STRING:
        if not isinstance(value, str):
            raise _make_type_error(name, "a string")
    elif field.cpp_type == FieldDescriptor.CPPTYPE_BOOL:
        if not isinstance(value, bool):
            raise _make_type_error(name, "true or false")
    else:
        _check_integer(field, value, name)


def _check_integer(field: Any, value: object, name: str) -> None:
    if isinstance(value, bool) or not isinstance(value, int):
        raise _make_type_error(name, "a whole number")
    bits = 32 if field.cpp_type == FieldDescriptor.CPPTYPE_UINT32 else 64
    if not 0 <= value < 1 << bits:
        raise InvalidDocumentError(f"field {name!r} is {value}, negative or too large", field=name)


def _make_type_error(name: str, expected: str) -> InvalidDocumentError:
    return InvalidDocumentError(f"field {name!r} is not {expected}", field=name)


@cache
def _get_rules(descriptor: Any) -> tuple[tuple[Any, options_pb2.FieldRule], ...]:
    return tuple((f, f.GetOptions().Extensions[options_pb2.rule]) for f in descriptor.fields)


def check_rules(message: Message, *, path: str = "") -> None:
    """Check all fields of a message against their rules in the schema."""
    for field, rule in _get_rules(message.DESCRIPTOR):
        name = f"{path}{field.name}"
        value = getattr(message, field.name)
        # A required number without presence in the schema is also missing if it is given as 0.
        if rule.required and not _is_set(message, field, value):
            raise InvalidDocumentError(f"field {name!r} is missing", field=name)
        if field.message_type is None:
            _check_scalar(message, field, rule, name)
        elif field.message_type.GetOptions().map_entry:
            _check_map(name, value)
        else:
            _check_messages(message, field, name, value)


def _is_set(message: Message, field: Any, value: object) -> bool:
    if field.has_presence:
        return message.HasField(field.name)
    return bool(value)


def _check_map(name: str, value: dict[str, Message]) -> None:
    for key, item in value.items():
        if isinstance(item, Message):
            check_rules(item, path=f"{name}.{key}.")


def _check_messages(message: Message, field: Any, name: str, value: object) -> None:
    if field.is_repeated:
        for position, item in enumerate(cast(list[Message], value)):
            check_rules(item, path=f"{name}[{position}].")
    elif message.HasField(field.name):
        check_rules(cast(Message, value), path=f"{name}.")


def _check_scalar(message: Message, field: Any, rule: options_pb2.FieldRule, name: str) -> None:
    if field.is_repeated or (field.has_presence and not message.HasField(field.name)):
        return
    value = getattr(message, field.name)
    if isinstance(value, str) and value:
        _check_text(rule, name, value)
    elif isinstance(value, int) and not isinstance(value, bool):
        # An omitted number may be below the minimum. An explicit 0 looks the same, except in fields
        # with presence.
        is_set = value != 0 or rule.required or field.has_presence
        _check_number(rule, name, value, is_set=is_set)


def _check_text(rule: options_pb2.FieldRule, name: str, value: str) -> None:
    if rule.one_of and value not in rule.one_of.split(","):
        allowed = rule.one_of.replace(",", ", ")
        raise InvalidDocumentError(f"field {name!r} is {value!r}, not one of {allowed}", field=name)
    if rule.HasField("max_length") and len(value) > rule.max_length:
        raise InvalidDocumentError(
            f"field {name!r} is longer than {rule.max_length} characters", field=name
        )
    if rule.pattern and not re.fullmatch(rule.pattern, value):
        raise InvalidDocumentError(
            f"field {name!r} is {value!r}, which does not match {rule.pattern}", field=name
        )


def _check_number(rule: options_pb2.FieldRule, name: str, value: int, *, is_set: bool) -> None:
    if rule.HasField("min") and is_set and value < rule.min:
        raise InvalidDocumentError(f"field {name!r} is {value}, below {rule.min}", field=name)
    if rule.HasField("max") and value > rule.max:
        raise InvalidDocumentError(f"field {name!r} is {value}, above {rule.max}", field=name)
