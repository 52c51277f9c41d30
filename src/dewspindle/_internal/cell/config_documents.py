"""Registry of the configurations that operators can set."""

import json
from collections.abc import Callable
from typing import Any

from google.protobuf.message import Message

from ..exceptions import NotFoundError
from ..schema import documents_pb2
from ..utils.documents import parse_document
from .team_limits import QUOTAS_CONFIG, SCHEDULING_CONFIG

CALL_LIMITS_CONFIG = "call-limits"

_DOCUMENT_TYPES: dict[str, Callable[[], Message]] = {}


def register_config(name: str) -> Callable[[type[Message]], type[Message]]:
    """Register the document type of a configuration."""

    def register(document: type[Message]) -> type[Message]:
        _DOCUMENT_TYPES[name] = document
        return document

    return register


register_config(SCHEDULING_CONFIG)(documents_pb2.SchedulingDocument)
register_config(QUOTAS_CONFIG)(documents_pb2.QuotasDocument)
register_config(CALL_LIMITS_CONFIG)(documents_pb2.CallLimitsDocument)


def get_config_names() -> list[str]:
    """Return the names of all configurations."""
    return sorted(_DOCUMENT_TYPES)


def parse_config(name: str, document: dict[str, Any]) -> Message:
    """Validate a configuration and return its message.

    Raise `NotFoundError` for an unknown name and `InvalidDocumentError` for an invalid document.
    """
    document_type = _DOCUMENT_TYPES.get(name)
    if document_type is None:
        raise NotFoundError(
            f"there is no configuration {name!r}", hint=f"known: {', '.join(get_config_names())}"
        )
    return parse_document(document_type(), document)


def check_config(name: str, document: dict[str, Any]) -> bytes:
    """Validate a configuration as `parse_config` does and return its stored form."""
    parse_config(name, document)
    return json.dumps(document, separators=(",", ":")).encode()
