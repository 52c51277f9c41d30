"""Metrics of one instance, which load their exporter when it is needed."""

from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING

from .refusals import Refusal, RetryReason

if TYPE_CHECKING:
    from .instruments import Instruments

MAX_EARLY_VALUES = 10_000  # Values of histograms that are kept until then; later ones are dropped.

# Teams with a label of their own; each label is a time series, which the scraper keeps for weeks.
MAX_TEAM_LABELS = 32
OTHER_TEAMS = "other"

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """Counters and histograms of one instance.

    Programs load it before they start the RPC library, as imports beside its threads are not safe.
    Until then, counts and values are kept, and then handed over.
    """

    def __init__(self, *, instance: str, zone: str) -> None:
        self._instance = instance
        self._zone = zone
        self._instruments: Instruments | None = None
        self._early_counts: Counter[tuple[str, Labels]] = Counter()
        self._early_values: list[tuple[str, float, dict[str, str]]] = []
        self._labeled_teams: set[str] = set()

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add to a counter, creating it on first use."""
        if self._instruments is not None:
            self._instruments.count(name, amount, labels)
        else:
            self._early_counts[name, tuple(labels.items())] += amount

    def count_refusal(self, refusal: Refusal) -> None:
        """Increment the refusal counter of a reason."""
        self.count("dewspindle_refusals", reason=refusal.value)

    def count_team_job(self, team: str, *, is_beyond_share: bool) -> None:
        """Increment the counter of a team's accepted jobs."""
        share = "beyond" if is_beyond_share else "within"
        self.count("dewspindle_team_jobs", team=self._choose_team_label(team), share=share)

    def count_team_refusal(self, team: str, refusal: Refusal) -> None:
        """Increment the refusal counter of a team and reason."""
        label = self._choose_team_label(team)
        self.count("dewspindle_team_refusals", team=label, reason=refusal.value)

    def _choose_team_label(self, team: str) -> str:
        """Return the name of one of the first teams counted, or the label of the rest."""
        if len(self._labeled_teams) < MAX_TEAM_LABELS:
            self._labeled_teams.add(team)
        return team if team in self._labeled_teams else OTHER_TEAMS

    def count_retry(self, reason: RetryReason) -> None:
        """Increment the retry counter of a reason."""
        self.count("dewspindle_retries", reason=reason.value)

    def record(self, name: str, value: float, **labels: str) -> None:
        """Add a value to a histogram, creating it on first use."""
        if self._instruments is not None:
            self._instruments.record(name, value, labels)
        elif len(self._early_values) < MAX_EARLY_VALUES:
            self._early_values.append((name, value, labels))

    def load(self) -> None:
        """Load the exporter, which the first scrape does otherwise."""
        self._load()

    def _load(self) -> "Instruments":
        if self._instruments is None:
            from .instruments import Instruments

            self._instruments = Instruments(instance=self._instance, zone=self._zone)
            for (name, labels), amount in self._early_counts.items():
                self._instruments.count(name, amount, dict(labels))
            for name, value, value_labels in self._early_values:
                self._instruments.record(name, value, value_labels)
            self._early_counts.clear()
            self._early_values.clear()
        return self._instruments

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self._load().render()


def initialize_reason_counters(metrics: Metrics, *, enums: tuple[type[Enum], ...]) -> None:
    """Export the counters of all refusal and retry reasons as zero before their first use."""
    for enum in enums:
        name = "dewspindle_refusals" if enum is Refusal else "dewspindle_retries"
        for member in enum:
            metrics.count(name, 0, reason=str(member.value))
