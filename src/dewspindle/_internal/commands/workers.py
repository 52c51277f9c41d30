"""`dewspindle workers`: list the workers."""

import typer

from ..cli.options import DEFAULT_SERVER, OutputOption, ServerOption, TokenOption
from ..cli.output import OutputFormat, print_rows
from ..cli.session import Session

COLUMNS = ("id", "zone", "rack", "state", "capacity", "free", "tasks", "failed_records")


def workers(
    server: ServerOption = DEFAULT_SERVER,
    token: TokenOption = "",
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """List the workers."""
    answer = Session(server, token).request("GET", "/v1/workers")
    print_rows(answer.body, output, rows="workers", columns=COLUMNS)


def register(app: typer.Typer) -> None:
    """Register the command."""
    app.command("workers")(workers)
