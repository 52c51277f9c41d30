"""Check of one configuration: the validation of the cell, then the registered checks."""

from collections.abc import Sequence
from dataclasses import dataclass

from google.protobuf.message import Message

from ..exceptions import DewspindleError, InvalidDocumentError, MalformedBodyError
from .findings import CheckInput, Finding, Need, SampleJob, Severity, SkippedCheck
from .fleet import Fleet
from .formats import ConfigFormat
from .registry import get_checks_of, run_checks

DOCUMENT_HINT = "correct the field; the cell refuses the file"


@dataclass(frozen=True, slots=True)
class CheckReport:
    """Findings of one configuration, and the checks that were not made."""

    findings: list[Finding]
    skipped: list[SkippedCheck]

    @property
    def has_faults(self) -> bool:
        """Return whether anything but changes was found."""
        return any(finding.severity is not Severity.CHANGE for finding in self.findings)


def check_document(
    config_format: ConfigFormat,
    body: bytes,
    *,
    current: Message | None = None,
    fleet: Fleet | None = None,
    samples: Sequence[SampleJob] = (),
) -> CheckReport:
    """Check a configuration; one that the cell would refuse has its error as the only finding."""
    try:
        document = config_format.decode(body)
    except (InvalidDocumentError, MalformedBodyError) as error:
        skipped = [
            SkippedCheck(check.code, (Need.VALID_FILE,))
            for check in get_checks_of(config_format.name)
        ]
        return CheckReport([_make_error_finding(error)], skipped)
    subject = CheckInput(document, current=current, fleet=fleet, samples=samples)
    findings, skipped = run_checks(config_format.name, subject, config_format.format_path)
    return CheckReport(findings, skipped)


def _make_error_finding(error: DewspindleError) -> Finding:
    path = ""
    if isinstance(error, InvalidDocumentError):
        path = error.field
    elif isinstance(error, MalformedBodyError) and error.line:
        path = f"line {error.line}"
    return Finding(Severity.ERROR, path, error.code, error.detail, error.hint or DOCUMENT_HINT)
