"""Subcommands of the command line, one module each."""
