"""Digests of callers' keys, so that no key is sent between instances or compared itself."""

import hashlib


def compute_key_digest(key: str) -> bytes:
    """Return the SHA-256 digest of a key."""
    return hashlib.sha256(key.encode()).digest()
