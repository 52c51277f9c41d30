"""Everything behind the public face; no interface here is stable."""
