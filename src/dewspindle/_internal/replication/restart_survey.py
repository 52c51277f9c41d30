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
            is_complete = False
            # The queries go on when it is complete, as they tell the others of this replica.
            while context.awaits_leader and context.timers.now() < ends_at:
                event = context.state_changed.event
                if not is_complete and context.restarted_voters.includes_all(context.other_voters):
                    is_complete = True
                    self._request_campaign()
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
        """Query a voter, and tell it of this replica's restart as soon as it has answered.

        A voter that started before this replica may not reach it yet, as it tries to connect at
        intervals. The process id in its answer shows it that the statement is newer than its start.
        """
        context = self._context
        known_process = ""
        while True:
            request = context.make_hello_request()
            request.known_process = known_process
            restarted = context.describe_restart()
            if restarted is not None:
                request.restarted.CopyFrom(restarted)
            try:
                answer = await context.transport.say_hello(voter.address, request)
            except PeerUnreachableError as error:
                logger.debug("peer unreachable", address=voter.address, why=str(error))
            else:
                context.record_restarted(answer)
                if answer.process != known_process:
                    known_process = answer.process
                    continue
            await context.timers.sleep(QUERY_INTERVAL_S)
