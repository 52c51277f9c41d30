"""Signs by which a failed scenario is attributed to a fault listed in KNOWN-RED.txt."""

import asyncio
import errno
import json
import os
import time
from collections.abc import Iterator, MutableMapping
from pathlib import Path
from typing import Any

import structlog

from dewspindle._internal.exceptions import InvalidSettingError

from .cells import LiveCell

# Names a file to which each failed scenario with a sign adds a line; read by .ci/known_red.py.
SIGNS_FILE_VARIABLE = "DEWSPINDLE_TEST_SIGNS"

STALL_S = 0.15  # Leader lease of live cells.
LEADERSHIP_LOST_EVENTS = frozenset(
    {
        "disk does not respond; transferring leadership",
        "quorum lost; stepping down",
        "no longer leading",
    }
)

_logged_events: set[str] = set()
_sync_durations: list[float] = []
_sync_file = os.fdatasync


def measure_sync(fd: Any) -> None:
    """Sync a file as `os.fdatasync` does, and record how long it took."""
    started_at = time.monotonic()
    try:
        _sync_file(fd)
    finally:
        _sync_durations.append(time.monotonic() - started_at)


def install() -> None:
    """Record log events and the durations of file syncs from now on."""
    os.fdatasync = measure_sync
    structlog.configure(
        processors=[record_event, structlog.processors.KeyValueRenderer()],
        logger_factory=structlog.ReturnLoggerFactory(),
    )


def record_event(logger: Any, method: str, fields: MutableMapping[str, Any]) -> Any:
    """Record the event of a log line; a structlog processor."""
    _logged_events.add(str(fields["event"]))
    return fields


def clear() -> None:
    """Forget the events and syncs of the previous scenario."""
    _logged_events.clear()
    _sync_durations.clear()


def report_sign(context: Any, scenario: Any) -> None:
    """Add the sign of a known fault in a failed scenario to the file of signs, if one is named."""
    path = os.environ.get(SIGNS_FILE_VARIABLE)
    # Cells of other kinds run on simulated disks and ports, where the same signs are no excuse.
    sign = find_sign(context.host) if isinstance(getattr(context, "live", None), LiveCell) else None
    if path and sign is not None:
        line = json.dumps({"location": str(scenario.location), "sign": sign})
        with Path(path).open("a") as file:
            file.write(f"{line}\n")


def find_sign(host: asyncio.Task[None]) -> str | None:
    """Return the sign of a known fault in a scenario whose live cell runs in a task, or None."""
    if max(_sync_durations, default=0.0) > STALL_S and LEADERSHIP_LOST_EVENTS & _logged_events:
        return "disk-stall"
    if host.done() and not host.cancelled():
        error = host.exception()
        if error is not None and any(is_port_conflict(leaf) for leaf in list_leaves(error)):
            return "port-chosen-twice"
    return None


def is_port_conflict(error: BaseException) -> bool:
    """Return whether an instance of a live cell ended because a port was chosen twice."""
    if isinstance(error, InvalidSettingError):
        return "names an address twice" in str(error)
    return isinstance(error, OSError) and error.errno == errno.EADDRINUSE


def list_leaves(error: BaseException) -> Iterator[BaseException]:
    """Yield the errors in an exception group, or the error itself."""
    if isinstance(error, BaseExceptionGroup):
        for inner in error.exceptions:
            yield from list_leaves(inner)
    else:
        yield error
