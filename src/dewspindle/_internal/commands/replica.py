"""`dewspindle replica`: promote or remove replicas of the cell."""

from typing import Annotated

import typer

from ..cli.options import DEFAULT_SERVER, ServerOption, TokenOption
from ..cli.session import Session

replica_app = typer.Typer(help="Promote or remove replicas of the cell.", no_args_is_help=True)

InstanceArgument = Annotated[str, typer.Argument(help="ID of the instance.")]


@replica_app.command("add")
def add(
    instance: InstanceArgument, server: ServerOption = DEFAULT_SERVER, token: TokenOption = ""
) -> None:
    """Promote an instance's learner to a voter."""
    body = Session(server, token).request("PUT", f"/v1/replicas/{instance}").body
    print(body["detail"] or f"{instance} is a voter as of revision {body['revision']}")


@replica_app.command("remove")
def remove(
    instance: InstanceArgument, server: ServerOption = DEFAULT_SERVER, token: TokenOption = ""
) -> None:
    """Remove an instance's replica, a voter or a learner."""
    body = Session(server, token).request("DELETE", f"/v1/replicas/{instance}").body
    print(f"{instance} is removed as of revision {body['revision']}")


def register(app: typer.Typer) -> None:
    """Register the commands."""
    app.add_typer(replica_app, name="replica")
