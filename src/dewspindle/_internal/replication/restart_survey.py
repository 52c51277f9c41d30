"""Asks the other voters after a restart whether they have restarted, too."""

import anyio

from ..schema import cell_pb2
from ..utils.logs import get_logger
from ..utils.timers import wait_for_event
from .context import ReplicaContext
from .handlers import CampaignReason, ReplicaHandlers
from .transport import PeerUnreachableError

QUERY_INTERVAL_S = 0.05  # Between two queries of a voter.

logger = get_logger(__name__)


class RestartSurvey:
    """Starts an election as soon as all voters are known to have restarted.

    Without it, restarted replicas withhold their votes until the lease of the last leader would
    have expired.
    """

    def __init__(self, context: ReplicaContext, *, handlers: ReplicaHandlers) -> None:
        self._context = context
        self._handlers = handlers

    async def run(self) -> None:
        """Query the other voters until all are known to have restarted, or a leader is."""
        context = self._context
        if not context.awaits_leader or not context.is_voter:
            return
        # Votes are no longer withheld then.
        ends_at = context.timers.now() + context.election_timeout_s
        async with anyio.create_task_group() as group:
            for voter in context.other_voters:
                group.start_soon(self._query_voter, voter)
            while context.awaits_leader and context.timers.now() < ends_at:
                event = context.state_changed.event
                if context.restarted_voters.includes_all(context.other_voters):
                    self._request_campaign()
                    break
                await wait_for_event(context.timers, event=event, seconds=QUERY_INTERVAL_S)
            group.cancel_scope.cancel()

    def _request_campaign(self) -> None:
        context = self._context
        is_best = context.restarted_voters.is_best_candidate(
            context.replica_id, context.log_end, voters=context.other_voters
        )
        logger.info("all voters have restarted", stands=is_best, revision=context.log.last_index)
        if is_best:
            self._handlers.request_campaign(CampaignReason.ALL_RESTARTED)

    async def _query_voter(self, voter: cell_pb2.Voter) -> None:
        context = self._context
        while True:
            request = context.make_hello_request()
            try:
                answer = await context.transport.say_hello(voter.address, request)
            except PeerUnreachableError as error:
                logger.debug("peer unreachable", address=voter.address, why=str(error))
            else:
                context.restarted_voters.record(answer)
                context.state_changed.set()
            await context.timers.sleep(QUERY_INTERVAL_S)
