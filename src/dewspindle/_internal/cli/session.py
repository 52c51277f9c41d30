"""Requests of the operator commands."""

import sys
import uuid
from functools import partial
from pathlib import Path
from typing import Any

import anyio
import typer

from ..exceptions import ServerUnreachableError
from ..network.json_client import JsonClient
from ..network.json_sender import JsonResponse
from ..utils.addresses import parse_address
from .exit_status import ExitStatus

RESENDS = 2


class Session:
    """Sends an operator's requests, resends what got no answer, and ends on a refusal."""

    def __init__(self, server: str, token: str) -> None:
        try:
            parse_address(server)
        except ValueError as error:
            fail(f"--server: {error}", ExitStatus.BAD_USAGE)
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
        """Send a request and return its answer; end the program on a refusal."""
        answer = self.try_request(method, path, body=body, headers=headers)
        if answer.status >= 400:
            fail(describe_problem(answer), ExitStatus.FAILED)
        return answer

    def change(
        self,
        method: str,
        path: str,
        *,
        key: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> JsonResponse:
        """Send a change under an idempotency key."""
        keyed = {**(headers or {}), "Idempotency-Key": key or uuid.uuid4().hex}
        return self.request(method, path, body=body, headers=keyed)

    def try_request(
        self,
        method: str,
        path: str,
        *,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> JsonResponse:
        """Send a request and return its answer, whatever it is."""
        send = partial(self._send, method, path, body, headers)
        for resend in range(RESENDS + 1):
            try:
                return anyio.run(send)
            except ServerUnreachableError as error:
                if resend == RESENDS:
                    fail(str(error), ExitStatus.UNREACHABLE)
        raise AssertionError

    async def _send(
        self, method: str, path: str, body: Any, headers: dict[str, str] | None
    ) -> JsonResponse:
        client = JsonClient(self._server, token=self._token)
        try:
            return await client.request(method, path, body=body, headers=headers)
        finally:
            await client.close()


def describe_problem(answer: JsonResponse) -> str:
    """Return a problem answer as one line."""
    if not isinstance(answer.body, dict):
        return f"status {answer.status}"
    text = f"{answer.body.get('code')}: {answer.body.get('detail')}"
    hint = answer.body.get("hint")
    return f"{text} ({hint})" if hint else text


def fail(message: str, status: ExitStatus) -> None:
    """End the program with a message."""
    print(f"dewspindle: {message}", file=sys.stderr)
    raise typer.Exit(status.value)


def read_file(path: str) -> str:
    """Return a file's text, or standard input's for `-`; end the program where it can't be read."""
    if path == "-":
        return sys.stdin.read()
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        fail(f"unreadable-file: {path}: {error}", ExitStatus.BAD_USAGE)
    raise AssertionError
