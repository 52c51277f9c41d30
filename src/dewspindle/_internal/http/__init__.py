"""HTTP servers and applications."""
