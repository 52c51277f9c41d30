"""Size-limited reading of request bodies."""

from starlette.requests import Request

from ..exceptions import BodyTooLargeError


async def read_body(request: Request, *, limit: int) -> bytes:
    """Return the body; raise `BodyTooLargeError` once it exceeds the limit in bytes."""
    parts = []
    size = 0
    async for part in request.stream():
        size += len(part)
        if size > limit:
            raise BodyTooLargeError(f"the request body is larger than the limit of {limit} bytes")
        parts.append(part)
    return b"".join(parts)
