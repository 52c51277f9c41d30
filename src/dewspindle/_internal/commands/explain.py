"""`dewspindle explain`: show why a record waits or was placed, retried or refused."""

from typing import Annotated

import typer

from ..cli.options import DEFAULT_SERVER, OutputOption, ServerOption, TokenOption
from ..cli.output import OutputFormat, print_json, print_table
from ..cli.session import Session


def explain(
    record: Annotated[str, typer.Argument(help="ID of the record.")],
    server: ServerOption = DEFAULT_SERVER,
    token: TokenOption = "",
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Show the decisions about a record with their reasons."""
    response = Session(server, token).request("GET", f"/v1/records/{record}/explain")
    if output is OutputFormat.JSON:
        print_json(response.body)
        return
    body = response.body
    ending = f" ({body['code']}: {body['reason']})" if body["code"] else ""
    print(f"{body['id']} is {body['state']}{ending}")
    if body["waits"]:
        print(f"waits: {body['waits']}")
    print_table(body["decisions"], ("revision", "at_ms", "what", "why"))


def register(app: typer.Typer) -> None:
    """Register the command."""
    app.command("explain")(explain)
