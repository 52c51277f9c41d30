"""Polls, orders and leases of workers."""
