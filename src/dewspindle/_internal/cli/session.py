"""HTTP requests of the operator commands."""

import sys
import uuid
from functools import partial
from pathlib import Path
from typing import Any, NoReturn

import anyio
import typer

from ..exceptions import ServerUnreachableError
from ..network.json_client import JsonClient
from ..network.json_sender import JsonResponse
from ..utils.addresses import parse_address
from .exit_status import ExitStatus

MAX_RESENDS = 2


class Session:
    """Sends operator requests; resends those without a response, and exits if none arrives."""

    def __init__(
        self,
        server: str,
        token: str,
        *,
        option: str = "--server",
        unreachable_status: ExitStatus = ExitStatus.UNREACHABLE,
    ) -> None:
        try:
            parse_address(server)
        except ValueError as error:
            exit_with_error(f"{option}: {error}", ExitStatus.BAD_USAGE)
        self._unreachable_status = unreachable_status
        self._server = server
        self._token = token

    def request(
        self,
        method: str,
        path: str,
        *,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> JsonResponse:
        """Send a request and return its response; exit if it is refused."""
        response = self.try_request(method, path, body=body, headers=headers)
        if response.status >= 400:
            exit_with_error(describe_problem(response), ExitStatus.FAILED)
        return response

    def change(
        self,
        method: str,
        path: str,
        *,
        key: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> JsonResponse:
        """Send a change with an idempotency key and return the response; exit if it is refused."""
        keyed_headers = {**(headers or {}), "Idempotency-Key": key or uuid.uuid4().hex}
        return self.request(method, path, body=body, headers=keyed_headers)

    def try_request(
        self,
        method: str,
        path: str,
        *,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> JsonResponse:
        """Send a request and return its response, whatever its status."""
        send = partial(self._send, method, path, body, headers)
        for resend in range(MAX_RESENDS + 1):
            try:
                return anyio.run(send)
            except ServerUnreachableError as error:
                if resend == MAX_RESENDS:
                    exit_with_error(str(error), self._unreachable_status)
        raise AssertionError

    async def _send(
        self, method: str, path: str, body: Any, headers: dict[str, str] | None
    ) -> JsonResponse:
        client = JsonClient(self._server, token=self._token)
        try:
            return await client.request(method, path, body=body, headers=headers)
        finally:
            await client.close()


def read_leader_view(server: str, path: str) -> dict[str, Any]:
    """Return a view of the leader of a job cell, by way of any of its replicas; exit if refused."""
    response = Session(server, "").try_request("GET", path)
    if response.status == 503 and isinstance(response.body, dict):
        leader = response.body.get("leader_address")
        if leader:
            response = Session(leader, "").try_request("GET", path)
    if response.status >= 400:
        exit_with_error(describe_problem(response), ExitStatus.FAILED)
    if not isinstance(response.body, dict):
        message = f"{server} does not serve {path} (name the metrics address of a replica)"
        exit_with_error(message, ExitStatus.FAILED)
    return dict(response.body)


def describe_problem(response: JsonResponse) -> str:
    """Format a problem response as one line."""
    if not isinstance(response.body, dict):
        return f"HTTP status {response.status}"
    text = f"{response.body.get('code')}: {response.body.get('detail')}"
    hint = response.body.get("hint")
    return f"{text} ({hint})" if hint else text


def exit_with_error(message: str, status: ExitStatus) -> NoReturn:
    """Print an error message and exit with the given status; never returns."""
    print(f"dewspindle: {message}", file=sys.stderr)
    raise typer.Exit(status.value)


def read_file(path: str) -> str:
    """Return the text of a file, or of standard input for `-`; exit if it is unreadable."""
    try:
        if path == "-":
            return sys.stdin.buffer.read().decode()
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        exit_with_error(f"unreadable-file: {path}: {error}", ExitStatus.BAD_USAGE)
