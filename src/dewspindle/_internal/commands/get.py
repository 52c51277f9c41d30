"""`dewspindle get`: show one record."""

from typing import Annotated

import typer

from ..cli.options import DEFAULT_SERVER, OutputOption, ServerOption, TokenOption
from ..cli.output import OutputFormat, print_json, print_table
from ..cli.session import Session

TASK_COLUMNS = ("id", "state", "worker", "attempts", "reason")
RECORD_COLUMNS = ("id", "revision", "name", "team", "kind", "priority", "state", "reason")


def get(
    record: Annotated[str, typer.Argument(help="ID of the record.")],
    schema_version: Annotated[
        int, typer.Option("--schema-version", help="Schema version of the displayed document.")
    ] = 2,
    server: ServerOption = DEFAULT_SERVER,
    token: TokenOption = "",
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Show one record with its tasks."""
    response = Session(server, token).request(
        "GET", f"/v1/records/{record}?schema_version={schema_version}"
    )
    if output is OutputFormat.JSON:
        print_json(response.body)
        return
    print_table([response.body], RECORD_COLUMNS)
    print()
    print_table(response.body["tasks"], TASK_COLUMNS)


def register(app: typer.Typer) -> None:
    """Register the command."""
    app.command("get")(get)
