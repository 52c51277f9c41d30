"""Adapter to the users' platform: its settings file, its wire names and its calls."""
