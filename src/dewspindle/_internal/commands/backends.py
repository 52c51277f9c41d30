"""`dewspindle backends`: list the backend servers."""

import typer

from ..cli.options import DEFAULT_SERVER, OutputOption, ServerOption, TokenOption
from ..cli.output import OutputFormat, print_rows
from ..cli.session import Session

COLUMNS = (
    "id",
    "service",
    "address",
    "availability_zone",
    "slots",
    "connections",
    "state",
    "ejected",
)


def backends(
    server: ServerOption = DEFAULT_SERVER,
    token: TokenOption = "",
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """List the backend servers."""
    response = Session(server, token).request("GET", "/v1/backends")
    print_rows(response.body, output, rows="backends", columns=COLUMNS)


def register(app: typer.Typer) -> None:
    """Register the command."""
    app.command("backends")(backends)
