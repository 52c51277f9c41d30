"""Checks of a configuration before it is sent to a cell."""
