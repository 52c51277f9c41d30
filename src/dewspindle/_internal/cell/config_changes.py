"""Commands that change the configuration or the membership."""

from ..schema.cell_pb2 import Command, ConfigEntry, Result
from ..utils.refusals import Refusal
from .registry import applies
from .results import make_refusal
from .state import CellState

MAX_CONFIG_VERSIONS = 500  # Retained revisions of all configurations together.


@applies("put_config")
def apply_put_config(state: CellState, command: Command) -> Result:
    """Replace a configuration if its current revision is the expected one.

    The expected revision is 0 for a configuration that does not exist yet.
    """
    body = command.put_config
    current = state.config.get(body.name)
    revision = current.revision if current else 0
    if body.if_revision != revision:
        return make_refusal(
            Refusal.REVISION_CONFLICT,
            f"configuration {body.name} is at revision {revision}, not {body.if_revision}",
            revision=revision,
        )
    entry = ConfigEntry(name=body.name, revision=state.applying_index, value=body.value)
    state.config[body.name] = entry
    state.config_versions.append(entry)
    del state.config_versions[:-MAX_CONFIG_VERSIONS]
    for listener in state.listeners:
        listener.on_config(body.name)
    return Result(status=200, id=body.name, revision=entry.revision)


@applies("membership")
def apply_membership(state: CellState, command: Command) -> Result:
    """Store the committed membership."""
    state.membership.CopyFrom(command.membership)
    return Result(status=200)
