"""Views that only the leader of a job cell can give, by the path at which they are served."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from .dispatcher import JobDispatcher
from .status_report import TeamReporter


@dataclass(frozen=True, slots=True)
class LeaderState:
    """What the leader knows during one term."""

    term: int
    dispatcher: JobDispatcher
    team_reporter: TeamReporter


View = Callable[[LeaderState], Any]

_VIEWS: dict[str, View] = {}


def leader_view(path: str) -> Callable[[View], View]:
    """Register the function that makes the view at a path, from dataclasses or plain values."""

    def register(view: View) -> View:
        _VIEWS[path] = view
        return view

    return register


def find_view(path: str) -> View | None:
    """Return the view at a path, or None."""
    return _VIEWS.get(path)


@leader_view("/v1/teams")
def describe_teams(state: LeaderState) -> Any:
    """Return what the teams may use, do use and wait for."""
    return state.team_reporter.describe()


@leader_view("/v1/interference")
def describe_interference(state: LeaderState) -> Any:
    """Return what the planner has learned of interference between tasks."""
    return {"interference": state.dispatcher.planner.interference.describe()}
