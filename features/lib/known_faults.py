"""Signs by which a failed scenario is attributed to a fault listed in KNOWN-RED.txt."""

import json
import os
from collections.abc import Callable, MutableMapping
from pathlib import Path
from typing import Any

import structlog

# Names a file to which each failed scenario with a sign adds a line; read by .ci/known_red.py.
SIGNS_FILE_VARIABLE = "DEWSPINDLE_TEST_SIGNS"

# Tells from the context of a failed scenario and its logged events whether it shows a fault.
SignCheck = Callable[[Any, set[str]], bool]

_checks: dict[str, SignCheck] = {}
_logged_events: set[str] = set()


def shows_fault(sign: str) -> Callable[[SignCheck], SignCheck]:
    """Register the check of a sign that an entry of KNOWN-RED.txt names."""

    def register(check: SignCheck) -> SignCheck:
        _checks[sign] = check
        return check

    return register


def install() -> None:
    """Record log events from now on, in place of printing them."""
    structlog.configure(
        processors=[record_event, structlog.processors.KeyValueRenderer()],
        logger_factory=structlog.ReturnLoggerFactory(),
    )


def record_event(logger: Any, method: str, fields: MutableMapping[str, Any]) -> Any:
    """Record the event of a log line; a structlog processor."""
    _logged_events.add(str(fields["event"]))
    return fields


def has_logged(event: str) -> bool:
    """Return whether an event was logged during the scenario."""
    return event in _logged_events


def clear() -> None:
    """Forget the events of the previous scenario."""
    _logged_events.clear()


def report_sign(context: Any, scenario: Any) -> None:
    """Add the signs of known faults in a failed scenario to the file of signs, if one is named."""
    path = os.environ.get(SIGNS_FILE_VARIABLE)
    if not path:
        return
    for sign, check in _checks.items():
        if check(context, _logged_events):
            line = json.dumps({"location": str(scenario.location), "sign": sign})
            with Path(path).open("a") as file:
                file.write(f"{line}\n")
