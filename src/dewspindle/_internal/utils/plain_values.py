"""Conversion of dataclasses to values that JSON can hold."""

import math
from collections.abc import Iterable, Mapping, Set
from dataclasses import fields, is_dataclass
from enum import Enum
from typing import Any


def make_plain(value: Any) -> Any:
    """Return a value with its dataclasses, enums and collections as objects, texts and lists.

    Numbers that JSON cannot hold become null. Bytes are refused, as they may be a key's digest.
    """
    if value is None or isinstance(value, str | bool | int):
        return value.value if isinstance(value, Enum) else value
    if isinstance(value, float):
        return value if math.isfinite(value) else None
    if isinstance(value, Enum):
        return make_plain(value.value)
    if is_dataclass(value):
        public = [f.name for f in fields(value) if not f.name.startswith("_")]
        return {name: make_plain(getattr(value, name)) for name in public}
    if isinstance(value, Mapping):
        return {_make_key(key): make_plain(item) for key, item in value.items()}
    if isinstance(value, Set):
        return sorted((make_plain(item) for item in value), key=str)
    if isinstance(value, Iterable) and not isinstance(value, bytes | bytearray | memoryview):
        return [make_plain(item) for item in value]
    raise TypeError(f"a {type(value).__name__} cannot be described as JSON")


def _make_key(key: Any) -> str:
    plain = make_plain(key)
    if isinstance(plain, list):
        return " / ".join(map(str, plain))
    return str(plain)
