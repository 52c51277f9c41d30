"""Answers to callers, and the error for calls that failed."""

from collections.abc import Awaitable, Callable, MutableMapping
from dataclasses import dataclass
from typing import Any

from ..exceptions import DewspindleError
from ..models.enums import ExecutionStatus
from ..utils.refusals import Refusal
from . import headers as names
from .claims import BufferedAnswer
from .headers import HeaderList

Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]


class CallFailedError(DewspindleError):
    """A call failed after it may have been sent, or was not sent because of an earlier claim.

    `refusal` holds the code of the answer, which is counted among the refusals.
    """

    def __init__(self, refusal: Refusal, detail: str, *, status: int, ran: ExecutionStatus) -> None:
        super().__init__(detail)
        self.refusal = refusal
        self.code = refusal.value
        self.status = status
        self.ran = ran


@dataclass(slots=True)
class Responder:
    """Sends an answer to a caller."""

    send: Send
    is_closing: bool
    is_started: bool = False
    stored_answer: BufferedAnswer | None = None

    async def start(self, status: int, answer_headers: HeaderList) -> None:
        """Send the status and headers of a backend server's answer."""
        self.is_started = True
        listed = [*answer_headers, (names.RAN, ExecutionStatus.YES.value.encode())]
        if self.is_closing:
            listed.append((b"connection", b"close"))
        await self.send({"type": "http.response.start", "status": status, "headers": listed})

    async def send_part(self, part: bytes, *, is_last: bool) -> None:
        """Send a part of the answer's body."""
        await self.send({"type": "http.response.body", "body": part, "more_body": not is_last})
