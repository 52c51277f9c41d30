"""Team quotas and scheduling limits from the current configuration."""

from google.protobuf import json_format

from ..models.enums import Objective
from ..models.resources import Amounts
from ..schema import documents_pb2
from .state import CellState

DEFAULT_MAX_WAITING = 20_000  # Waiting tasks per team.
SCHEDULING_CONFIG = "scheduling"
QUOTAS_CONFIG = "quotas"


def get_scheduling(state: CellState) -> documents_pb2.SchedulingDocument:
    """Return the current scheduling configuration."""
    document = documents_pb2.SchedulingDocument()
    entry = state.config.get(SCHEDULING_CONFIG)
    if entry is not None:
        json_format.Parse(entry.value, document, ignore_unknown_fields=True)
    return document


def get_quotas(state: CellState) -> documents_pb2.QuotasDocument:
    """Return the current team quotas."""
    document = documents_pb2.QuotasDocument()
    entry = state.config.get(QUOTAS_CONFIG)
    if entry is not None:
        json_format.Parse(entry.value, document, ignore_unknown_fields=True)
    return document


def get_objective(state: CellState) -> Objective:
    """Return the current scheduling objective."""
    return Objective(get_scheduling(state).objective or Objective.WAITING.value)


def get_max_waiting(state: CellState, team: str) -> int:
    """Return the maximum number of waiting tasks of a team."""
    quota = get_quotas(state).teams.get(team)
    if quota is not None and quota.max_waiting:
        return int(quota.max_waiting)
    return int(get_scheduling(state).max_waiting_tasks or DEFAULT_MAX_WAITING)


def exceeds_quota(used: Amounts, quota: Amounts) -> bool:
    """Return whether an amount exceeds a quota, in which 0 sets no limit for a resource."""
    return any(
        amount > limit > 0
        for amount, limit in (
            (used.processors, quota.processors),
            (used.memory_mb, quota.memory_mb),
            (used.accelerators, quota.accelerators),
        )
    )


def make_quota_amounts(quota: documents_pb2.QuotaDocument) -> Amounts:
    """Return a quota as resource amounts."""
    return Amounts(quota.processors, quota.memory_mb, quota.accelerators)
