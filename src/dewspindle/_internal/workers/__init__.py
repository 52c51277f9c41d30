"""Polls, orders and task leases of polling workers."""
