"""Randomized soak test that injects faults into the real programs from outside."""
