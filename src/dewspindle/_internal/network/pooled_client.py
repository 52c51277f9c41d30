"""HTTP client for frequent small requests to many addresses.

The leader keeps up to eight connections to each of hundreds of workers. Uses aiohttp, with which a
request takes less than a third of the processor time that it takes with httpcore. The figures are
in docs/measurements.md.
"""

import json
from typing import Any

import aiohttp

from ..exceptions import ServerNotConnectedError, ServerUnreachableError
from .json_sender import JsonResponse, make_response

MAX_RESPONSE_BYTES = 4 * 1024 * 1024  # A list of 500 ends takes some 50 KB.
IDLE_CONNECTION_S = 60.0  # Longer than servers keep idle connections, so that servers close first.


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    """Return the body; raise `ClientPayloadError` if it is larger than allowed."""
    length = response.content_length
    if length is not None and length <= MAX_RESPONSE_BYTES:
        return await response.read()
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > MAX_RESPONSE_BYTES:
            raise aiohttp.ClientPayloadError(f"the body exceeds {MAX_RESPONSE_BYTES} bytes")
    return bytes(body)


class PooledJsonClient:
    """Sends JSON to any address over pooled connections."""

    def __init__(self, *, connections_per_address: int) -> None:
        self._connections_per_address = connections_per_address
        self._session: aiohttp.ClientSession | None = None

    async def post(
        self, address: str, path: str, *, body: Any, headers: dict[str, str], timeout_s: float
    ) -> JsonResponse:
        """Send a request; raise `ServerUnreachableError` if no complete response arrives.

        A body above `MAX_RESPONSE_BYTES` counts as incomplete.
        Raises `ServerNotConnectedError` if the request was certainly not sent, and `TimeoutError`
        if the connection stayed open without a response in time.
        """
        content = json.dumps(body, separators=(",", ":")).encode()
        all_headers = {"Content-Type": "application/json", **headers}
        try:
            async with self._get_session().post(
                f"http://{address}{path}",
                data=content,
                headers=all_headers,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                response_body = await _read_body(response)
        except TimeoutError:
            raise
        except aiohttp.ClientConnectorError as error:
            raise ServerNotConnectedError(f"{address}: {error}") from None
        except (aiohttp.ClientError, OSError, ValueError) as error:
            # The HTTP library raises `ValueError` for what it cannot send, such as a header with a
            # control character.
            raise ServerUnreachableError(f"{address}: {error or type(error).__name__}") from None
        return make_response(
            address, status=response.status, headers=response.headers.items(), content=response_body
        )

    def _get_session(self) -> aiohttp.ClientSession:
        """Return the session, which belongs to the running event loop."""
        if self._session is None:
            connector = aiohttp.TCPConnector(
                limit=0,
                limit_per_host=self._connections_per_address,
                keepalive_timeout=IDLE_CONNECTION_S,
                happy_eyeballs_delay=None,
            )
            self._session = aiohttp.ClientSession(
                connector=connector,
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False,
                skip_auto_headers=("Accept", "Accept-Encoding", "User-Agent"),
            )
        return self._session

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None
