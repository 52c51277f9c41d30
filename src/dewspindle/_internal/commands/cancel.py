"""`dewspindle cancel`: cancel records."""

from typing import Annotated, Any

import typer

from ..cli.exit_status import ExitStatus
from ..cli.options import DEFAULT_SERVER, KeyOption, OutputOption, ServerOption, TokenOption
from ..cli.output import OutputFormat, print_rows
from ..cli.session import Session, exit_with_error


def cancel(
    records: Annotated[list[str] | None, typer.Argument(help="IDs of the records.")] = None,
    team: Annotated[str, typer.Option("--team", help="Cancel all records of this team.")] = "",
    name_prefix: Annotated[
        str, typer.Option("--name-prefix", help="Cancel all records whose name has this prefix.")
    ] = "",
    server: ServerOption = DEFAULT_SERVER,
    token: TokenOption = "",
    output: OutputOption = OutputFormat.TABLE,
    key: KeyOption = "",
) -> None:
    """Cancel records in one change; none of their tasks start after this returns."""
    selection: dict[str, Any] = {}
    if records:
        selection["ids"] = records
    if team:
        selection["team"] = team
    if name_prefix:
        selection["name_prefix"] = name_prefix
    if not selection:
        exit_with_error("specify records, --team or --name-prefix", ExitStatus.BAD_USAGE)
    response = Session(server, token).change("POST", "/v1/records:cancel", key=key, body=selection)
    print_rows({"rows": [response.body]}, output, rows="rows", columns=("cancelled", "revision"))


def register(app: typer.Typer) -> None:
    """Register the command."""
    app.command("cancel")(cancel)
