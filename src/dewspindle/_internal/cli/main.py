"""Entry point of the command line."""

import sys

import typer

from ..commands import (
    backends,
    cancel,
    change,
    check_settings,
    config,
    dev,
    drain,
    explain,
    get,
    interference,
    list_records,
    replica,
    serve,
    snapshot,
    status,
    submit,
    teams,
    version,
    watch,
    workers,
)
from ..exceptions import DewspindleError, InvalidSettingError
from .exit_status import ExitStatus

app = typer.Typer(
    name="dewspindle",
    help="A cluster scheduler for services, batch runs and gangs.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)

for module in (
    serve,
    dev,
    submit,
    change,
    cancel,
    get,
    list_records,
    explain,
    watch,
    config,
    status,
    workers,
    backends,
    teams,
    interference,
    drain,
    replica,
    snapshot,
    check_settings,
    version,
):
    module.register(app)


def run() -> int:
    """Run the command line application and return its exit status."""
    try:
        app(standalone_mode=True)
    except DewspindleError as error:
        print(f"dewspindle: {error}", file=sys.stderr)
        if isinstance(error, InvalidSettingError):
            return ExitStatus.BAD_USAGE.value
        return ExitStatus.FAILED.value
    except SystemExit as error:
        return int(error.code or 0)
    return ExitStatus.OK.value
