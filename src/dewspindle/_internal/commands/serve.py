"""`dewspindle serve`: run one instance."""

import sys
from functools import partial

import anyio
import typer

from ..cli.exit_status import ExitStatus
from ..cli.setting_flags import with_setting_flags
from ..exceptions import DewspindleError
from ..settings.loading import load_settings
from ..utils.garbage import limit_collections
from ..utils.logs import LogFormat, configure_logs


def serve(flags: dict[str, str | None]) -> None:
    """Run one instance until it is told to shut down."""
    from ..instance import run_instance

    settings = load_settings(flags)
    configure_logs(
        log_format=LogFormat(settings.log_format),
        level=settings.log_level,
        instance=settings.instance_id,
        zone=settings.availability_zone,
    )
    limit_collections()
    try:
        anyio.run(partial(run_instance, settings))
    except* DewspindleError as group:
        for error in flatten_errors(group):
            print(f"dewspindle: {error}", file=sys.stderr)
        raise typer.Exit(ExitStatus.FAILED.value) from None


def flatten_errors(group: BaseExceptionGroup[BaseException]) -> list[BaseException]:
    """Return the errors of an exception group, including those of nested groups."""
    errors: list[BaseException] = []
    for error in group.exceptions:
        errors += flatten_errors(error) if isinstance(error, BaseExceptionGroup) else [error]
    return errors


def register(app: typer.Typer) -> None:
    """Register the command."""
    app.command("serve")(with_setting_flags(serve))
