"""Routing of calls to backend servers, and the allocation of their slots."""
