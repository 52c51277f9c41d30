"""Registry of the functions that apply the commands of log entries."""

from collections.abc import Callable
from typing import Any, Protocol

from ..schema import cell_pb2


class Applier(Protocol):
    """Function that applies one kind of command and returns the result for its proposer."""

    def __call__(self, state: Any, command: cell_pb2.Command) -> cell_pb2.Result:
        """Apply a command to the state."""


_APPLIERS: dict[str, Applier] = {}


def applies(command_name: str) -> Callable[[Applier], Applier]:
    """Register the function that applies commands with the given body field."""

    def register(applier: Applier) -> Applier:
        _APPLIERS[command_name] = applier
        return applier

    return register


def get_applier(command_name: str) -> Applier | None:
    """Return the function for a body field, or None if this version does not support it."""
    return _APPLIERS.get(command_name)
