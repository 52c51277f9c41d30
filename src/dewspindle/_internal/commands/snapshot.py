"""`dewspindle snapshot`: write a snapshot of a replica."""

import typer

from ..cli.options import DEFAULT_SERVER, ServerOption, TokenOption
from ..cli.session import Session


def snapshot(server: ServerOption = DEFAULT_SERVER, token: TokenOption = "") -> None:
    """Make the replica at --server write a snapshot immediately."""
    body = Session(server, token).request("POST", "/v1/snapshot").body
    print(f"snapshot at revision {body['revision']}")


def register(app: typer.Typer) -> None:
    """Register the command."""
    app.command("snapshot")(snapshot)
