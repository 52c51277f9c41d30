"""`dewspindle drain`: shut an instance down gracefully."""

import typer

from ..cli.options import DEFAULT_SERVER, ServerOption, TokenOption
from ..cli.session import Session


def drain(server: ServerOption = DEFAULT_SERVER, token: TokenOption = "") -> None:
    """Make the instance at --server finish its open calls and exit."""
    body = Session(server, token).request("POST", "/v1/drain").body
    print(f"instance {body['instance']} is shutting down")


def register(app: typer.Typer) -> None:
    """Register the command."""
    app.command("drain")(drain)
