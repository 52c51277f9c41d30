"""Queue tables for the configuration check, with paths in the terms of the operator's file."""

from typing import Any

from ..config_lint.findings import Path
from ..config_lint.formats import (
    ConfigFormat,
    format_message_path,
    get_ok_body,
    register_format,
)
from ..config_lint.registry import QUEUE_TABLE
from ..network.json_sender import JsonResponse
from .job_bodies import decode_job
from .queue_table import NOT_CONFIGURED, READ_QUEUE_TABLE_PATH, decode_queue_table

# Names in the file of the fields of `QueueTable` that have another name there.
FILE_NAMES = {
    "queues": "routes",
    "pools": "services",
    "teams": "tenants",
    "requires_keys": "tenants",
    "max_body_bytes": "limits.max_body_bytes",
    "pool": "service",
    "aim_ms": "target_latency_ms",
    "is_public": "public",
    "enforces_capacity": "enforce_capacity",
    "key_digests": "api_keys",
    "processors": "cpu",
    "memory_mb": "mem_mb",
    "accelerators": "gpu",
}


def format_queue_table_path(path: Path) -> str:
    """Return a path of `QueueTable` as the operator's file names it."""
    return format_message_path(
        tuple(FILE_NAMES.get(part, part) if isinstance(part, str) else part for part in path)
    )


def _extract_queue_table(response: JsonResponse) -> Any:
    body = response.body
    if response.status == 503 and isinstance(body, dict) and body.get("error") == NOT_CONFIGURED:
        return None
    return get_ok_body(response)


@register_format
def make_queue_table_format() -> ConfigFormat:
    """Return the format of queue tables."""
    return ConfigFormat(
        name=QUEUE_TABLE,
        decode=decode_queue_table,
        format_path=format_queue_table_path,
        read_path=READ_QUEUE_TABLE_PATH,
        extract=_extract_queue_table,
        decode_job=decode_job,
    )
