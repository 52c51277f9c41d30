"""Registry of the formats of configurations that can be checked."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from google.protobuf.message import Message

from ..cell.config_documents import get_config_names, parse_config
from ..exceptions import ServerUnreachableError
from ..network.json_sender import JsonResponse
from ..schema import jobs_pb2
from ..utils.documents import parse_json_object
from .findings import Path


@dataclass(frozen=True, slots=True)
class ConfigFormat:
    """How a configuration is decoded, described and read from a running cell."""

    name: str
    decode: Callable[[bytes], Message]  # The validation of the cell.
    format_path: Callable[[Path], str]
    read_path: str  # Of a GET request; an address that does not serve it answers 404.
    # Returns the document of any other answer, or None if none has been set.
    extract: Callable[[JsonResponse], Any]
    decode_job: Callable[[bytes], jobs_pb2.JobSpec] | None = None  # None if it has no jobs.


_FORMATS: dict[str, ConfigFormat] = {}


def register_format(make: Callable[[], ConfigFormat]) -> Callable[[], ConfigFormat]:
    """Register the format that a function returns."""
    config_format = make()
    _FORMATS[config_format.name] = config_format
    return make


def format_message_path(path: Path) -> str:
    """Return a path of message fields as text, such as `teams.photos.processors`."""
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}"
    return text.removeprefix(".")


def get_ok_body(response: JsonResponse) -> Any:
    """Return the JSON of a successful response; raise `ServerUnreachableError` for another."""
    if response.status != 200 or not isinstance(response.body, dict):
        raise ServerUnreachableError(f"the read was answered with HTTP status {response.status}")
    return response.body


def _extract_stored(response: JsonResponse) -> Any:
    body = get_ok_body(response)
    if "value" not in body:
        raise ServerUnreachableError("the answer holds no configuration")
    return body["value"]


def _register_stored_format(name: str) -> None:
    """Register a configuration that operators set with `dewspindle config set`."""

    @register_format
    def _make() -> ConfigFormat:
        return ConfigFormat(
            name=name,
            decode=lambda body: parse_config(name, parse_json_object(body)),
            format_path=format_message_path,
            read_path=f"/v1/config/{name}",
            extract=_extract_stored,
        )


for _name in get_config_names():
    _register_stored_format(_name)


def get_formats() -> dict[str, ConfigFormat]:
    """Return all formats by name."""
    from ..platform import queue_table_format  # noqa: F401

    return _FORMATS
