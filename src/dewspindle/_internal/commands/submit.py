"""`dewspindle submit`: submit records."""

import json
import uuid
from typing import Annotated, Any

import typer

from ..cli.exit_status import ExitStatus
from ..cli.options import DEFAULT_SERVER, KeyOption, OutputOption, ServerOption, TokenOption
from ..cli.output import OutputFormat, print_rows
from ..cli.session import Session, describe_problem, exit_with_error, read_file


def submit(
    files: Annotated[
        list[str], typer.Argument(help="JSON files, each with one record or a list of records.")
    ],
    server: ServerOption = DEFAULT_SERVER,
    token: TokenOption = "",
    output: OutputOption = OutputFormat.TABLE,
    key: KeyOption = "",
) -> None:
    """Submit the records in the given files; each is accepted or refused individually."""
    session = Session(server, token)
    documents = [document for path in files for document in _read_documents(path)]
    rows = []
    has_refusals = False
    for number, document in enumerate(documents):
        record_key = f"{key}-{number}" if key and len(documents) > 1 else key
        row, accepted = _submit_one(session, document, record_key)
        rows.append(row)
        has_refusals = has_refusals or not accepted
    print_rows(
        {"records": rows}, output, rows="records", columns=("name", "id", "revision", "refused")
    )
    if has_refusals:
        raise typer.Exit(ExitStatus.FAILED.value)


def _read_documents(path: str) -> list[Any]:
    text = read_file(path)
    try:
        value = json.loads(text)
    except ValueError as error:
        exit_with_error(f"malformed-body: {path}: {error}", ExitStatus.BAD_USAGE)
    return value if isinstance(value, list) else [value]


def _submit_one(session: Session, document: Any, key: str) -> tuple[dict[str, Any], bool]:
    response = session.try_request(
        "POST",
        "/v1/records",
        body=document,
        headers={"Idempotency-Key": key or uuid.uuid4().hex},
    )
    name = document.get("name", "") if isinstance(document, dict) else ""
    if response.status >= 400:
        return {"name": name, "refused": describe_problem(response)}, False
    return {"name": name, **response.body}, True


def register(app: typer.Typer) -> None:
    """Register the command."""
    app.command("submit")(submit)
