"""Simulated clock, disk, network and workers, and live instances, for the features."""
