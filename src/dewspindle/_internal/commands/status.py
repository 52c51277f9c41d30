"""`dewspindle status`: show the state of the cell."""

import typer

from ..cli.options import DEFAULT_SERVER, OutputOption, ServerOption, TokenOption
from ..cli.output import OutputFormat, print_json, print_table
from ..cli.session import Session

COLUMNS = (
    "id",
    "availability_zone",
    "ready",
    "leader",
    "replica",
    "revision",
    "lag",
    "age_ms",
    "version",
)


def status(
    server: ServerOption = DEFAULT_SERVER,
    token: TokenOption = "",
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Show the state of the cell as known to one instance."""
    body = Session(server, token).request("GET", "/v1/status").body
    if output is OutputFormat.JSON:
        print_json(body)
        return
    print(f"cell {body['cell']}, seen by {body['instance']} at revision {body['revision']}")
    print(
        f"state last known to be complete {body['age_ms']} ms ago, "
        f"{'fresh' if body['fresh'] else 'FENCED'}"
    )
    print(f"leader {body['leader'] or 'unknown'}; voters {', '.join(body['voters'])}")
    if body["learners"]:
        print(f"learners {', '.join(body['learners'])}")
    print(f"{body['records_open']} open records, {body['workers']} workers")
    print_table(body["instances"], COLUMNS)


def register(app: typer.Typer) -> None:
    """Register the command."""
    app.command("status")(status)
