"""`dewspindle interference`: show which tasks of a job cell slow each other down."""

import typer

from ..cli.options import DEFAULT_REPLICA, OutputOption, ReplicaOption
from ..cli.output import OutputFormat, print_json, print_records
from ..cli.session import read_leader_view


def interference(
    server: ReplicaOption = DEFAULT_REPLICA, output: OutputOption = OutputFormat.TABLE
) -> None:
    """Show which kinds of tasks slow each other down, and which workers are slow."""
    body = read_leader_view(server, "/v1/interference")
    if output is OutputFormat.JSON:
        print_json(body)
        return
    print_records(body["interference"], "interference")


def register(app: typer.Typer) -> None:
    """Register the command."""
    app.command("interference")(interference)
