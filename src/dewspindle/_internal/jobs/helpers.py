"""The instances that ask the advisor for the leader, as it serves one call an instance."""

from collections.abc import Callable
from dataclasses import dataclass

from ..exceptions import ServerUnreachableError
from ..network import methods
from ..network.peer_server import PeerServer
from ..schema import peers_pb2
from ..utils.timers import TimerService
from .gateway import AdvisorBusyError, AdvisorGateway, WorkerUnreachableError

ENTRY_SILENCE_S = 3.0  # An entry that has relayed nothing for so long is not asked to help.


@dataclass(frozen=True, slots=True)
class Helper:
    """An instance that can ask the advisor."""

    address: str
    is_replica: bool
    is_leader: bool = False


class HelperBook:
    """Knows which instances can ask the advisor now."""

    def __init__(
        self,
        *,
        own_address: str,
        list_replicas: Callable[[], list[str]],
        timers: TimerService,
    ) -> None:
        self._own_address = own_address
        self._list_replicas = list_replicas
        self._timers = timers
        self._entries_seen: dict[str, float] = {}

    def note_entry(self, address: str) -> None:
        """Take note that an entry which can help is alive."""
        if address:
            self._entries_seen[address] = self._timers.now()

    def list_helpers(self) -> list[Helper]:
        """Return the replicas that are alive, the leader among them, and recent entries."""
        oldest = self._timers.now() - ENTRY_SILENCE_S
        self._entries_seen = {a: at for a, at in self._entries_seen.items() if at >= oldest}
        helpers = [Helper(address, is_replica=True) for address in self._list_replicas()]
        helpers += [Helper(address, is_replica=False) for address in self._entries_seen]
        return [*helpers, Helper(self._own_address, is_replica=True, is_leader=True)]


class AdviceHelper:
    """Asks the advisor from this instance."""

    def __init__(self, advisor: AdvisorGateway | None) -> None:
        self._advisor = advisor

    def register(self, server: PeerServer) -> None:
        """Answer leaders that want the advisor asked from here."""
        server.register(methods.ADVISE, self.answer)

    async def close(self) -> None:
        """Close the connections to the advisor."""
        if self._advisor is not None:
            await self._advisor.close()

    async def answer(self, request: peers_pb2.AdviseRequest) -> peers_pb2.AdviseAnswer:
        """Ask the advisor; raise `ServerUnreachableError` where it gives none."""
        if self._advisor is None:
            raise ServerUnreachableError("no advisor is set")
        try:
            advice = await self._advisor.advise(
                request.job,
                request.occurrence,
                request.step,
                list(request.workers),
                timeout_s=request.timeout_ms / 1000,
            )
        except AdvisorBusyError:
            return peers_pb2.AdviseAnswer(busy=True)
        except WorkerUnreachableError as error:
            raise ServerUnreachableError(str(error)) from None
        answer = peers_pb2.AdviseAnswer(validity_ms=int(advice.validity_s * 1000))
        for worker, ticket in advice.tickets.items():
            answer.approvals.add(worker=worker, ticket=ticket)
        return answer
