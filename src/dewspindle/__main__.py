"""Command-line entry point."""

import sys


def main() -> None:
    """Run the command-line interface."""
    from ._internal.cli.main import run

    sys.exit(run())


if __name__ == "__main__":
    main()
