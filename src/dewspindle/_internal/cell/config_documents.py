"""Registry of the configurations that operators can set."""

import json
from collections.abc import Callable
from typing import Any

from google.protobuf.message import Message

from ..exceptions import NotFoundError
from ..schema import documents_pb2
from ..utils.documents import parse_document
from .team_limits import QUOTAS_CONFIG, SCHEDULING_CONFIG

_KINDS: dict[str, Callable[[], Message]] = {}


def config_kind(name: str) -> Callable[[type[Message]], type[Message]]:
    """Register the document type of a configuration."""

    def register(document: type[Message]) -> type[Message]:
        _KINDS[name] = document
        return document

    return register


config_kind(SCHEDULING_CONFIG)(documents_pb2.SchedulingDocument)
config_kind(QUOTAS_CONFIG)(documents_pb2.QuotasDocument)
config_kind("call-limits")(documents_pb2.CallLimitsDocument)


def get_config_names() -> list[str]:
    """Return the names of all configurations."""
    return sorted(_KINDS)


def check_config(name: str, document: dict[str, Any]) -> bytes:
    """Validate a configuration and return its stored form, or raise `InvalidDocumentError`."""
    kind = _KINDS.get(name)
    if kind is None:
        raise NotFoundError(
            f"there is no configuration {name!r}", hint=f"known: {', '.join(get_config_names())}"
        )
    parse_document(kind(), document)
    return json.dumps(document, separators=(",", ":")).encode()
