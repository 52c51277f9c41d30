"""Checks of the configurations `scheduling`, `quotas` and `call-limits`."""

from collections.abc import Iterator

from ..cell.config_documents import CALL_LIMITS_CONFIG
from ..cell.team_limits import QUOTAS_CONFIG, SCHEDULING_CONFIG, make_quota_amounts
from ..models.resources import NO_RESOURCES
from ..schema import documents_pb2
from .findings import CheckInput, Need, Severity, Violation
from .registry import register_check
from .team_checks import find_amounts_above_fleet


@register_check(
    "quota-above-fleet",
    config=QUOTAS_CONFIG,
    severity=Severity.WARNING,
    meaning="The quota of a team is above what all workers have together, so it limits nothing.",
    hint="lower the quota, or set 0 for no limit",
    needs=(Need.WORKERS,),
)
def _check_quota_sizes(subject: CheckInput[documents_pb2.QuotasDocument]) -> Iterator[Violation]:
    for team, quota in sorted(subject.document.teams.items()):
        yield from find_amounts_above_fleet(
            ("teams", team), f"team {team!r}", quota, subject.require_fleet()
        )


@register_check(
    "quota-without-amount",
    config=QUOTAS_CONFIG,
    severity=Severity.WARNING,
    meaning="A team may not borrow beyond its quota, but its quota sets no limit.",
    hint="set an amount, or remove no_borrowing",
)
def _check_borrowing(subject: CheckInput[documents_pb2.QuotasDocument]) -> Iterator[Violation]:
    for team, quota in sorted(subject.document.teams.items()):
        if quota.no_borrowing and make_quota_amounts(quota) == NO_RESOURCES:
            yield Violation(
                ("teams", team, "no_borrowing"), f"the quota of team {team!r} limits no resource"
            )


@register_check(
    "call-limit-without-effect",
    config=CALL_LIMITS_CONFIG,
    severity=Severity.WARNING,
    meaning="The entry of a service sets neither a limit nor a priority.",
    hint="set concurrency, rate_per_s or priority, or remove the entry",
)
def _check_call_limits(
    subject: CheckInput[documents_pb2.CallLimitsDocument],
) -> Iterator[Violation]:
    for service, limit in sorted(subject.document.services.items()):
        if limit == documents_pb2.ServiceLimitDocument():
            yield Violation(("services", service), f"the entry of {service!r} has no effect")


@register_check(
    "setting-not-used",
    config=SCHEDULING_CONFIG,
    severity=Severity.WARNING,
    meaning="The cell does not use a setting that the file has.",
    hint="remove the setting",
)
def _check_unused(subject: CheckInput[documents_pb2.SchedulingDocument]) -> Iterator[Violation]:
    if subject.document.retry_percent:
        yield Violation(("retry_percent",), "the cell does not use this setting")
