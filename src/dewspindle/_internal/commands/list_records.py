"""`dewspindle list`: list records."""

from typing import Annotated
from urllib.parse import urlencode

import typer

from ..cli.options import DEFAULT_SERVER, OutputOption, ServerOption, TokenOption
from ..cli.output import OutputFormat, print_rows
from ..cli.session import Session

COLUMNS = ("id", "revision", "name", "team", "kind", "priority", "state", "tasks", "reason")


def list_records(
    team: Annotated[str, typer.Option("--team", help="List only records of this team.")] = "",
    state: Annotated[str, typer.Option("--state", help="List only records in this state.")] = "",
    name_prefix: Annotated[
        str, typer.Option("--name-prefix", help="List only records whose name has this prefix.")
    ] = "",
    limit: Annotated[int, typer.Option("--limit", help="Maximum number of records listed.")] = 200,
    server: ServerOption = DEFAULT_SERVER,
    token: TokenOption = "",
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """List records, newest first."""
    query = {"team": team, "state": state, "name_prefix": name_prefix, "limit": str(limit)}
    query_string = urlencode({name: value for name, value in query.items() if value})
    response = Session(server, token).request("GET", f"/v1/records?{query_string}")
    print_rows(response.body, output, rows="records", columns=COLUMNS)


def register(app: typer.Typer) -> None:
    """Register the command."""
    app.command("list")(list_records)
