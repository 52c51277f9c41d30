"""Measurements, each of which prints its results as JSON."""
