"""The replicated state of a cell."""
