"""Cluster scheduler for mixed workloads."""

__version__ = "0.1.0"
