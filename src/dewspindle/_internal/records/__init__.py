"""Versions of the record schema, and conversions between them."""
