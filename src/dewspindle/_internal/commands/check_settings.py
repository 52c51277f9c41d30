"""`dewspindle check-settings`: validate settings without starting an instance."""

import typer

from ..cli.setting_flags import with_setting_flags
from ..settings.loading import (
    get_flag,
    get_setting_fields,
    get_setting_rule,
    load_settings,
)


def check_settings(flags: dict[str, str | None]) -> None:
    """Validate the settings as `serve` does, and print the effective values."""
    settings = load_settings(flags)
    for field in get_setting_fields():
        value = getattr(settings, field.name)
        shown = "(set)" if get_setting_rule(field).secret and value else value
        print(f"{get_flag(field)} {shown}")


def register(app: typer.Typer) -> None:
    """Register the command."""
    app.command("check-settings")(with_setting_flags(check_settings))
