"""Adapter to the host platform, which starts the programs, writes their settings and probes them.

Names in its settings file and on its wire differ from the scheduler's; the decoders map them.
"""
