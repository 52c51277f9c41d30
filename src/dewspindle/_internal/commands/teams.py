"""`dewspindle teams`: show the teams of a job cell."""

from typing import Any

import typer

from ..cli.options import DEFAULT_REPLICA, OutputOption, ReplicaOption
from ..cli.output import OutputFormat, print_json, print_table
from ..cli.session import read_leader_view

COLUMNS = (
    "team",
    "weight",
    "jobs_per_s",
    "share",
    "used",
    "cap",
    "running",
    "uncertain",
    "waiting",
    "accepted",
    "refused",
    "at_cap",
)


def teams(
    server: ReplicaOption = DEFAULT_REPLICA, output: OutputOption = OutputFormat.TABLE
) -> None:
    """Show what the teams of a job cell may use, do use and wait for."""
    body = read_leader_view(server, "/v1/teams")
    if output is OutputFormat.JSON:
        print_json(body)
        return
    print(f"jobs counted for {body['counted_s']} s, since the leader took over")
    print_table([_make_row(team) for team in body["teams"]], COLUMNS)


def _make_row(team: dict[str, Any]) -> dict[str, Any]:
    name = team["team"] if team["configured"] else f"{team['team']} (removed)"
    return {
        **team,
        "team": name,
        "share": f"{team['dominant_share']:.1%} of {team['entitled_share']:.1%}",
        "cap": team["cap"] or "none",
        "waiting": f"{team['waiting_tasks']} tasks, {team['waiting_jobs']} jobs",
        "accepted": f"{team['accepted_within']} within, {team['accepted_beyond']} beyond",
        "at_cap": team["waits_for_cap"],
    }


def register(app: typer.Typer) -> None:
    """Register the command."""
    app.command("teams")(teams)
