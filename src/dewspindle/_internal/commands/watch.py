"""`dewspindle watch`: follow the decisions about a record."""

import time
from typing import Annotated

import typer

from ..cli.options import DEFAULT_SERVER, ServerOption, TokenOption
from ..cli.session import Session

REFRESH_INTERVAL_S = 0.5
FINAL_STATES = frozenset(("succeeded", "failed", "cancelled", "refused", "unknown"))


def watch(
    record: Annotated[str, typer.Argument(help="ID of the record.")],
    server: ServerOption = DEFAULT_SERVER,
    token: TokenOption = "",
) -> None:
    """Print the decisions about a record as they are made, until it ends."""
    session = Session(server, token)
    last_revision = 0
    last_reason = ""
    while True:
        body = session.request("GET", f"/v1/records/{record}/explain").body
        for decision in body["decisions"]:
            if decision["revision"] > last_revision:
                print(f"{decision['revision']}  {decision['what']}: {decision['why']}", flush=True)
        last_revision = max((d["revision"] for d in body["decisions"]), default=last_revision)
        if body["waits"] and body["waits"] != last_reason:
            print(f"waits: {body['waits']}", flush=True)
        last_reason = body["waits"]
        if body["state"] in FINAL_STATES:
            return
        time.sleep(REFRESH_INTERVAL_S)


def register(app: typer.Typer) -> None:
    """Register the command."""
    app.command("watch")(watch)
