"""Command line flags generated from the settings schema."""

import inspect
from collections.abc import Callable
from typing import Annotated, Any

import typer

from ..settings.loading import (
    get_environment_variable,
    get_flag,
    get_setting_fields,
    get_setting_rule,
)


def with_setting_flags(command: Callable[..., None]) -> Callable[..., None]:
    """Add one flag for each setting to a command that takes a dict of unparsed values by name."""

    def run(**flags: str | None) -> None:
        command(flags)

    parameters = [_make_parameter(field) for field in get_setting_fields()]
    run.__name__ = command.__name__
    run.__doc__ = command.__doc__
    run.__signature__ = inspect.Signature(parameters)  # type: ignore[attr-defined]
    run.__annotations__ = {p.name: p.annotation for p in parameters}
    return run


def _make_parameter(field: Any) -> inspect.Parameter:
    rule = get_setting_rule(field)
    option = typer.Option(
        get_flag(field),
        help=describe_setting(field),
        metavar=rule.unit or "TEXT",
        rich_help_panel=rule.group.capitalize(),
        show_default=False,
    )
    return inspect.Parameter(
        str(field.name),
        inspect.Parameter.KEYWORD_ONLY,
        default=None,
        annotation=Annotated[str | None, option],
    )


def describe_setting(field: Any) -> str:
    """Return the help text of a setting with its default and environment variable."""
    rule = get_setting_rule(field)
    default = f" Default: {rule.default}." if rule.default else ""
    return f"{rule.help}{default} [{get_environment_variable(field)}]"
