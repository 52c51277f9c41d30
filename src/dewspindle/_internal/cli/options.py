"""Options shared by several commands."""

from typing import Annotated

import typer

from .output import OutputFormat

ServerOption = Annotated[
    str,
    typer.Option("--server", envvar="DEWSPINDLE_SERVER", help="Operator address, IP:PORT."),
]
TokenOption = Annotated[
    str,
    typer.Option(
        "--token",
        envvar="DEWSPINDLE_OPERATOR_TOKEN",
        help="Operator token, or the reader token for commands that only read.",
    ),
]
OutputOption = Annotated[
    OutputFormat, typer.Option("--output", "-o", help="Output format: table or JSON.")
]
KeyOption = Annotated[
    str,
    typer.Option("--key", help="Idempotency key for a safe resend; generated if not given."),
]

ReplicaOption = Annotated[
    str,
    typer.Option(
        "--server",
        envvar="DEWSPINDLE_METRICS_SERVER",
        help="Metrics address of any replica of a job cell, IP:PORT.",
    ),
]

DEFAULT_SERVER = "127.0.0.1:8081"
DEFAULT_REPLICA = "127.0.0.1:9310"
