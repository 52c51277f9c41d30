"""Usage of the teams against their quotas."""

from collections import defaultdict

from ..cell.state import CellState
from ..cell.team_limits import exceeds_quota, get_quotas, make_quota_amounts
from ..models.resources import NO_RESOURCES, Amounts


class QuotaUsage:
    """Usage of each team against its quota, including placements planned but not yet applied.

    A team without a quota is measured against the fleet. A quota of 0 for a resource sets no limit.
    """

    def __init__(self, state: CellState) -> None:
        self._state = state
        self._quotas: dict[str, Amounts] = {}
        self._without_borrowing: set[str] = set()
        self._planned: dict[str, Amounts] = defaultdict(Amounts)
        self._fleet = NO_RESOURCES

    def reload(self) -> None:
        """Reload the current quotas and the capacity of the fleet."""
        quotas = get_quotas(self._state).teams
        self._quotas = {team: make_quota_amounts(quota) for team, quota in quotas.items()}
        self._without_borrowing = {team for team, q in quotas.items() if q.no_borrowing}
        self._fleet = self._state.worker_table.total

    def clear_planned(self) -> None:
        """Clear planned amounts, which by now have been applied or discarded."""
        self._planned.clear()

    def add_planned(self, team: str, amounts: Amounts) -> None:
        """Add amounts planned for a team to its usage."""
        self._planned[team] += amounts

    def get_usage(self, team: str) -> Amounts:
        """Return the usage of a team, including planned placements."""
        return self._state.team_usage[team] + self._planned[team]

    def compute_used_fraction(self, team: str) -> float:
        """Return the largest used fraction of a team's quota, or of the fleet where it has none."""
        quota = self._quotas.get(team, self._fleet)
        usage = self.get_usage(team)
        return max(
            _divide(usage.processors, quota.processors),
            _divide(usage.memory_mb, quota.memory_mb),
            _divide(usage.accelerators, quota.accelerators),
        )

    def has_quota(self, team: str) -> bool:
        """Return whether a quota is set for a team."""
        return team in self._quotas

    def is_borrowing(self, team: str, extra: Amounts = NO_RESOURCES) -> bool:
        """Return whether a team that has a quota would exceed it with an extra amount."""
        quota = self._quotas.get(team)
        if quota is None:
            return False
        return exceeds_quota(self.get_usage(team) + extra, quota)

    def may_take(self, team: str, extra: Amounts) -> bool:
        """Return whether a team may use an extra amount, within its quota or by borrowing."""
        return team not in self._without_borrowing or not self.is_borrowing(team, extra)


def _divide(used: int, quota: int) -> float:
    return used / quota if quota > 0 else 0.0
