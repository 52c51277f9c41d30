"""What the tasks of each team take on all workers, as the leader knows it."""

from collections import defaultdict
from collections.abc import Mapping

from ..models.resources import NO_RESOURCES, Amounts


class TeamUsage:
    """Amounts reserved by team, for all that may run: also uncertain and stopping tasks."""

    def __init__(self) -> None:
        self._used: dict[str, Amounts] = defaultdict(Amounts)

    @property
    def used(self) -> Mapping[str, Amounts]:
        """Return the amounts of each team that has had tasks."""
        return self._used

    def add(self, team: str, amounts: Amounts) -> None:
        """Count a placement of a team."""
        if team:
            self._used[team] += amounts

    def release(self, team: str, amounts: Amounts) -> None:
        """Stop counting a placement of a team."""
        if team:
            self._used[team] -= amounts

    def get(self, team: str) -> Amounts:
        """Return what the tasks of a team take."""
        return self._used.get(team, NO_RESOURCES)
