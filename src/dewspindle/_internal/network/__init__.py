"""Clients for other instances, and the services that instances offer each other."""
