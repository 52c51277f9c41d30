"""`dewspindle change`: change a record."""

import json
from typing import Annotated

import typer

from ..cli.exit_status import ExitStatus
from ..cli.options import DEFAULT_SERVER, KeyOption, OutputOption, ServerOption, TokenOption
from ..cli.output import OutputFormat, print_rows
from ..cli.session import Session, exit_with_error, read_file


def change(
    record: Annotated[str, typer.Argument(help="ID of the record.")],
    file: Annotated[
        str, typer.Argument(help="File with the changed record; - for standard input.")
    ],
    revision: Annotated[int, typer.Option("--revision", help="Revision that the change replaces.")],
    server: ServerOption = DEFAULT_SERVER,
    token: TokenOption = "",
    output: OutputOption = OutputFormat.TABLE,
    key: KeyOption = "",
) -> None:
    """Change a record that is still at the given revision."""
    try:
        document = json.loads(read_file(file))
    except ValueError as error:
        exit_with_error(f"malformed-body: {file}: {error}", ExitStatus.BAD_USAGE)
    response = Session(server, token).change(
        "PUT",
        f"/v1/records/{record}",
        key=key,
        body=document,
        headers={"If-Match": f'"{revision}"'},
    )
    print_rows({"records": [response.body]}, output, rows="records", columns=("id", "revision"))


def register(app: typer.Typer) -> None:
    """Register the command."""
    app.command("change")(change)
