"""Calls to the advisor."""

from ..exceptions import ServerUnreachableError
from ..jobs.gateway import Advice, AdvisorBusyError, WorkerUnreachableError
from ..network.json_client import JsonClient
from ..utils.timers import TimerService


class AdvisorCalls:
    """Asks the advisor, one call after the other."""

    def __init__(self, address: str, *, timers: TimerService) -> None:
        self._client = JsonClient(address, max_connections=2)
        self._timers = timers

    async def advise(
        self, job: str, occurrence: int, step: int, workers: list[str], *, timeout_s: float
    ) -> Advice:
        """Ask which of some workers may run a step."""
        body = {"step_id": f"{job}.{occurrence}.{step}", "workers": workers}
        try:
            with self._timers.fail_after(timeout_s):
                answer = await self._client.request(
                    "POST", "/advise", body=body, timeout_s=timeout_s
                )
        except TimeoutError:
            raise WorkerUnreachableError("the advisor did not answer in time") from None
        except ServerUnreachableError as error:
            raise WorkerUnreachableError(error.detail) from None
        if answer.status == 429:
            raise AdvisorBusyError
        if answer.status != 200 or not isinstance(answer.body, dict):
            raise WorkerUnreachableError(f"the advisor answered {answer.status}")
        tickets = {}
        for row in answer.body.get("approved", []):
            if isinstance(row, list) and len(row) >= 2:
                tickets[str(row[0])] = str(row[1])
        validity_ms = answer.body.get("validity_ms", 0)
        return Advice(tickets=tickets, validity_s=float(validity_ms) / 1000)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()
