"""Command line application."""
