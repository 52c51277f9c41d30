"""Adapter between the scheduler and the host platform's settings, wire names and interfaces."""
