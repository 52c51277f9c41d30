"""Header names and functions for calls and answers."""

from collections.abc import Iterable

HeaderList = list[tuple[bytes, bytes]]

IDEMPOTENCY_KEY = b"idempotency-key"
REPEATABLE = b"dewspindle-repeatable"
TIMEOUT = b"dewspindle-timeout-ms"
CALLER = b"dewspindle-caller"
RAN = b"dewspindle-ran"

# Headers that apply to a single connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


def get_header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Return the first value of a header, whose name is given in lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def copy_end_to_end(headers: Iterable[tuple[bytes, bytes]]) -> HeaderList:
    """Return the end-to-end headers."""
    listed = list(headers)
    connection = get_header(listed, b"connection") or b""
    named = {token.strip().lower() for token in connection.split(b",")}
    dropped = HOP_BY_HOP | named
    return [(key, value) for key, value in listed if key.lower() not in dropped]
