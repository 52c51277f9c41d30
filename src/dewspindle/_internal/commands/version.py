"""`dewspindle version`: show the version."""

import typer

from ... import __version__


def version() -> None:
    """Show the version."""
    print(f"dewspindle {__version__}")


def register(app: typer.Typer) -> None:
    """Register the command."""
    app.command("version")(version)
