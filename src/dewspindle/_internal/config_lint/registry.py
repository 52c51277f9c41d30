"""Registry of the checks of configurations."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from .findings import CheckInput, Finding, Need, Path, Severity, SkippedCheck, Violation

QUEUE_TABLE = "queue-table"
ANY_CONFIG = ""

CheckFunction = Callable[[CheckInput[Any]], Iterable[Violation]]
PathFormatter = Callable[[Path], str]


@dataclass(frozen=True, slots=True)
class Check:
    """Registered check; all of its findings have its code, severity and hint."""

    code: str
    config: str
    severity: Severity
    meaning: str
    hint: str
    needs: tuple[Need, ...]
    find: CheckFunction


_CHECKS: dict[str, Check] = {}


def register_check(
    code: str,
    *,
    config: str,
    severity: Severity,
    meaning: str,
    hint: str,
    needs: tuple[Need, ...] = (),
) -> Callable[[CheckFunction], CheckFunction]:
    """Register a check of the named configuration, or of all with `ANY_CONFIG`."""

    def register(find: CheckFunction) -> CheckFunction:
        if code in _CHECKS:
            raise ValueError(f"two checks have the code {code!r}")
        _CHECKS[code] = Check(code, config, severity, meaning, hint, needs, find)
        return find

    return register


def get_checks() -> list[Check]:
    """Return all checks, the worst findings first."""
    from . import config_checks, differences, queue_checks, sample_checks, team_checks  # noqa: F401

    order = list(Severity)
    return sorted(_CHECKS.values(), key=lambda check: (order.index(check.severity), check.code))


def get_checks_of(config: str) -> list[Check]:
    """Return the checks of the named configuration."""
    return [check for check in get_checks() if check.config in (config, ANY_CONFIG)]


def run_checks(
    config: str, subject: CheckInput[Any], format_path: PathFormatter
) -> tuple[list[Finding], list[SkippedCheck]]:
    """Return what the checks of a configuration find, and which of them lack knowledge."""
    findings = []
    skipped = []
    known = subject.known
    for check in get_checks_of(config):
        missing = tuple(need for need in check.needs if need not in known)
        if missing:
            skipped.append(SkippedCheck(check.code, missing))
            continue
        findings += [
            Finding(check.severity, format_path(v.path), check.code, v.message, check.hint)
            for v in check.find(subject)
        ]
    return findings, skipped
