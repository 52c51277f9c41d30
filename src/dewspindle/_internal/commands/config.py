"""`dewspindle config`: show and change the cell's configuration."""

import json
from typing import Annotated

import typer

from ..cli.exit_status import ExitStatus
from ..cli.options import DEFAULT_SERVER, KeyOption, OutputOption, ServerOption, TokenOption
from ..cli.output import OutputFormat, print_json, print_rows
from ..cli.session import Session, exit_with_error, read_file
from .config_check import check_config_file

config_app = typer.Typer(help="Show and change the cell's configuration.", no_args_is_help=True)


@config_app.command("get")
def get_config(
    name: Annotated[str, typer.Argument(help="Name: call-limits, quotas or scheduling.")],
    server: ServerOption = DEFAULT_SERVER,
    token: TokenOption = "",
) -> None:
    """Show one configuration with its revision."""
    print_json(Session(server, token).request("GET", f"/v1/config/{name}").body)


@config_app.command("list")
def list_config(
    server: ServerOption = DEFAULT_SERVER,
    token: TokenOption = "",
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """List the configurations that have been set, with their revisions."""
    response = Session(server, token).request("GET", "/v1/config")
    print_rows(response.body, output, rows="config", columns=("name", "revision", "value"))


@config_app.command("set")
def set_config(
    name: Annotated[str, typer.Argument(help="Name: call-limits, quotas or scheduling.")],
    file: Annotated[str, typer.Argument(help="JSON file; - for standard input.")],
    revision: Annotated[
        int,
        typer.Option(
            "--revision", help="Revision that the change replaces; 0 if none has been set."
        ),
    ],
    wait: Annotated[
        bool, typer.Option("--wait", help="Wait until every ready instance applies it.")
    ] = False,
    server: ServerOption = DEFAULT_SERVER,
    token: TokenOption = "",
    key: KeyOption = "",
) -> None:
    """Change a configuration that is still at the given revision."""
    try:
        document = json.loads(read_file(file))
    except ValueError as error:
        exit_with_error(f"malformed-body: {file}: {error}", ExitStatus.BAD_USAGE)
    response = Session(server, token).change(
        "PUT",
        f"/v1/config/{name}" + ("?wait=in-force" if wait else ""),
        key=key,
        body=document,
        headers={"If-Match": f'"{revision}"'},
    )
    print_json(response.body)


def register(app: typer.Typer) -> None:
    """Register the commands."""
    config_app.command("check")(check_config_file)
    app.add_typer(config_app, name="config")
