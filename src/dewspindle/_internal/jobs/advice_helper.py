"""Calls the advisor from this instance on behalf of the leader."""

from ..exceptions import ServerUnreachableError
from ..network import methods
from ..network.peer_server import PeerServer
from ..schema import peers_pb2
from ..utils.logs import get_logger
from .gateway import AdvisorBusyError, AdvisorGateway, NoDefiniteAnswerError

logger = get_logger(__name__)


class AdviceHelper:
    """Answers requests to call the advisor from this instance."""

    def __init__(self, advisor: AdvisorGateway | None) -> None:
        self._advisor = advisor

    def register(self, server: PeerServer) -> None:
        """Register the handler of advise requests."""
        server.register(methods.ADVISE, self.answer)

    async def close(self) -> None:
        """Close the connections to the advisor."""
        if self._advisor is not None:
            await self._advisor.close()

    async def answer(self, request: peers_pb2.AdviseRequest) -> peers_pb2.AdviseAnswer:
        """Call the advisor; raise `ServerUnreachableError` if it gives no answer."""
        if self._advisor is None:
            raise ServerUnreachableError("no advisor is configured")
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
        except NoDefiniteAnswerError as error:
            raise ServerUnreachableError(str(error)) from None
        except MemoryError:
            raise
        except Exception as error:
            logger.exception("call to the advisor failed", job=request.job)
            raise ServerUnreachableError(f"unexpected {type(error).__name__}") from error
        answer = peers_pb2.AdviseAnswer(
            validity_ms=int(advice.validity_s * 1000), incomplete=advice.is_incomplete
        )
        for worker, ticket in advice.tickets.items():
            answer.approvals.add(worker=worker, ticket=ticket)
        return answer
