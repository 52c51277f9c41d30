"""`dewspindle config check`: check a configuration before it is sent."""

import json
from collections import defaultdict
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from typing import TYPE_CHECKING, Annotated, Any

import typer
from google.protobuf.message import Message

from ..cli.exit_status import ExitStatus
from ..cli.options import OutputOption, TokenOption
from ..cli.output import OutputFormat, print_json
from ..cli.session import Session, exit_with_error, read_file
from ..exceptions import DewspindleError
from ..network.json_sender import JsonResponse
from ..utils.documents import parse_json_object

if TYPE_CHECKING:
    from ..config_lint.checker import CheckReport
    from ..config_lint.findings import Finding, SampleJob
    from ..config_lint.fleet import Fleet
    from ..config_lint.formats import ConfigFormat

WORKERS_PATH = "/v1/workers"


def check_config_file(
    file: Annotated[str, typer.Argument(help="JSON file; - for standard input.")],
    name: Annotated[
        str,
        typer.Option("--name", help="queue-table, call-limits, quotas or scheduling."),
    ] = "queue-table",
    against: Annotated[
        str, typer.Option("--against", help="File with the version in force; goes before --cell.")
    ] = "",
    cell: Annotated[
        list[str] | None,
        typer.Option(
            "--cell",
            help="Control or operator address, IP:PORT, of a running cell to read the version in "
            "force and the workers from; may be given for each.",
        ),
    ] = None,
    workers: Annotated[
        str, typer.Option("--workers", help="File with the workers; goes before --cell.")
    ] = "",
    sample: Annotated[
        list[str] | None,
        typer.Option("--sample", help="QUEUE=FILE with a job of a queue; may be repeated."),
    ] = None,
    token: TokenOption = "",
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Check a configuration without sending it; exit with 1 if it has faults, 2 if unreadable."""
    from ..config_lint.checker import check_document
    from ..config_lint.formats import get_formats

    config_format = get_formats().get(name)
    if config_format is None:
        known = ", ".join(sorted(get_formats()))
        exit_with_error(f"--name: no configuration {name!r}; known: {known}", ExitStatus.BAD_USAGE)
    body = read_file(file).encode()
    sessions = {
        address: Session(address, token, option="--cell", unreachable_status=ExitStatus.BAD_USAGE)
        for address in cell or ()
    }
    report = check_document(
        config_format,
        body,
        current=_read_current(config_format, against, sessions),
        fleet=_read_fleet(workers, sessions),
        samples=[_read_sample(config_format, text) for text in sample or ()],
    )
    if output is OutputFormat.JSON:
        print_json(_serialize(report, file=file, name=name))
    else:
        _print_text(report, file=file)
    if report.has_faults:
        raise typer.Exit(ExitStatus.FAILED.value)


@contextmanager
def _exit_if_unreadable(source: str) -> Iterator[None]:
    try:
        yield
    except DewspindleError as error:
        exit_with_error(f"{source}: {error}", ExitStatus.BAD_USAGE)


def _ask_cell(sessions: dict[str, Session], path: str) -> dict[str, JsonResponse]:
    """Return the answers of the addresses that serve a path."""
    answers = {address: session.try_request("GET", path) for address, session in sessions.items()}
    return {address: answer for address, answer in answers.items() if answer.status != 404}


def _read_current(
    config_format: "ConfigFormat", against: str, sessions: dict[str, Session]
) -> Message | None:
    """Return the version in force, or None if it is not known."""
    if against:
        with _exit_if_unreadable(against):
            return config_format.decode(read_file(against).encode())
    for address, answer in _ask_cell(sessions, config_format.read_path).items():
        with _exit_if_unreadable(address):
            document = config_format.extract(answer)
            if document is not None:
                return config_format.decode(json.dumps(document).encode())
    return None


def _read_fleet(workers: str, sessions: dict[str, Session]) -> "Fleet | None":
    """Return the workers, or None if they are not known."""
    from ..config_lint.fleet import decode_fleet
    from ..config_lint.formats import get_ok_body

    if workers:
        with _exit_if_unreadable(workers):
            return decode_fleet(parse_json_object(read_file(workers).encode()))
    for address, answer in _ask_cell(sessions, WORKERS_PATH).items():
        with _exit_if_unreadable(address):
            fleet = decode_fleet(get_ok_body(answer))
            if fleet is not None:
                return fleet
    return None


def _read_sample(config_format: "ConfigFormat", text: str) -> "SampleJob":
    from ..config_lint.findings import SampleJob

    queue, separator, file = text.partition("=")
    if not separator or config_format.decode_job is None:
        exit_with_error("--sample: give QUEUE=FILE with a queue table", ExitStatus.BAD_USAGE)
    with _exit_if_unreadable(file):
        spec = config_format.decode_job(read_file(file).encode())
    return SampleJob(queue=queue, source=file, spec=spec)


def _serialize(report: "CheckReport", *, file: str, name: str) -> dict[str, Any]:
    return {
        "file": file,
        "name": name,
        "findings": [
            {
                "severity": finding.severity.value,
                "path": finding.path,
                "code": finding.code,
                "message": finding.message,
                "hint": finding.hint,
            }
            for finding in report.findings
        ],
        "not_checked": [
            {"code": check.code, "needs": [need.value for need in check.missing]}
            for check in report.skipped
        ],
    }


def _print_text(report: "CheckReport", *, file: str) -> None:
    for finding in report.findings:
        print(_format_finding(finding))
    codes_by_need: dict[str, list[str]] = defaultdict(list)
    for check in report.skipped:
        codes_by_need[" and ".join(need.value for need in check.missing)].append(check.code)
    for needs, codes in codes_by_need.items():
        print(f"not checked without {needs}: {', '.join(codes)}")
    print(f"{file}: {_count_findings(report.findings)}")


def _format_finding(finding: "Finding") -> str:
    place = f" {finding.path}" if finding.path else ""
    hint = f" ({finding.hint})" if finding.hint else ""
    return f"{finding.severity.value}{place}: {finding.code}: {finding.message}{hint}"


def _count_findings(findings: "Sequence[Finding]") -> str:
    counts: dict[str, int] = defaultdict(int)
    for finding in findings:
        counts[finding.severity.value] += 1
    return ", ".join(f"{count} {name}(s)" for name, count in counts.items()) or "no findings"
