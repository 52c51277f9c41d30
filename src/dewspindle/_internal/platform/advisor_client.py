"""HTTP client of the placement advisor."""

from typing import Any

from ..exceptions import InvalidDocumentError, ServerUnreachableError
from ..jobs.gateway import Advice, AdvisorBusyError, NoDefiniteAnswerError
from ..network.json_sender import JsonSender
from ..utils.logs import get_logger
from .fields import is_encodable, is_name, read_list, read_number

MAX_TICKET_LENGTH = 4096  # Characters.

logger = get_logger(__name__)


class AdvisorClient:
    """Requests advice on which workers may run a step."""

    def __init__(self, address: str, client: JsonSender) -> None:
        self._address = address
        self._client = client

    async def advise(
        self, job: str, occurrence: int, step: int, workers: list[str], *, timeout_s: float
    ) -> Advice:
        """Ask the advisor which of the given workers may run a step."""
        body = {"step_id": f"{job}.{occurrence}.{step}", "workers": workers}
        try:
            response = await self._client.post(
                self._address, "/advise", body=body, headers={}, timeout_s=timeout_s
            )
        except TimeoutError:
            raise NoDefiniteAnswerError("the advisor did not respond before the timeout") from None
        except ServerUnreachableError as error:
            raise NoDefiniteAnswerError(error.detail) from None
        if response.status == 429:
            raise AdvisorBusyError
        if response.status != 200 or not isinstance(response.body, dict):
            raise NoDefiniteAnswerError(f"the advisor returned HTTP status {response.status}")
        return decode_advice(response.body)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()


def make_advisor_client(address: str, client: JsonSender) -> AdvisorClient | None:
    """Return a client of the advisor, or None where no advisor is configured."""
    return AdvisorClient(address, client) if address else None


def is_ticket(value: Any) -> bool:
    """Return whether a value is a string that can be handed to a worker."""
    return isinstance(value, str) and len(value) <= MAX_TICKET_LENGTH and is_encodable(value)


def decode_advice(fields: dict[str, Any]) -> Advice:
    """Return the approvals; skip malformed rows, which approve no worker."""
    tickets = {}
    is_incomplete = False
    try:
        for row in read_list(fields, "approved"):
            if isinstance(row, list) and len(row) >= 2 and is_name(row[0]) and is_ticket(row[1]):
                tickets[row[0]] = row[1]
            else:
                logger.warning("malformed approval ignored", row=str(row)[:100])
                is_incomplete = True
        validity_ms = read_number(fields, "validity_ms")
    except InvalidDocumentError as error:
        raise NoDefiniteAnswerError(error.detail) from None
    return Advice(tickets=tickets, validity_s=validity_ms / 1000, is_incomplete=is_incomplete)
