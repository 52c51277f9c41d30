"""Observer of the cell state, for instances without a data folder."""

import random

from ..cell.view import CellView
from ..exceptions import UnknownCommandError
from ..replication.transport import PeerUnreachableError
from ..schema import cell_pb2, peers_pb2, settings_pb2
from ..settings.loading import parse_peers
from ..utils.logs import get_logger
from ..utils.timers import TimerService
from . import methods
from .leader_client import RpcClient
from .peer_client import RefusedByPeerError

FOLLOW_WAIT_MS = 500  # Longest time a replica holds a request until the next entry.
RESPONSE_MARGIN_S = 1.0
RETRY_DELAY_S = 0.2

logger = get_logger(__name__)


class CellObserver:
    """Keeps the view up to date from one replica at a time.

    The replica is chosen at random, and another one is chosen once it fails or its own state is too
    old.
    """

    def __init__(
        self,
        *,
        settings: settings_pb2.Settings,
        view: CellView,
        rpc_client: RpcClient,
        timers: TimerService,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._view = view
        self._rpc_client = rpc_client
        self._timers = timers
        self._rng = rng
        self._cell_id = ""
        self._source = ""

    async def run(self) -> None:
        """Observe until cancelled; raise `UnknownCommandError` on an entry from a newer version."""
        while True:
            if not self._source:
                self._source = self._choose_source()
            try:
                await self._follow_once()
            except (PeerUnreachableError, RefusedByPeerError) as error:
                logger.debug("cannot follow replica", address=self._source, why=str(error))
                self._source = ""
                await self._timers.sleep(RETRY_DELAY_S)

    def _choose_source(self) -> str:
        addresses = [str(peer.address) for peer in parse_peers(self._settings.peers)]
        addresses += [voter.address for voter in self._view.state.membership.voters]
        others = sorted(set(addresses) - {self._settings.peer_address})
        return self._rng.choice(others) if others else ""

    async def _follow_once(self) -> None:
        sent_at = self._timers.now()
        request = peers_pb2.FollowRequest(
            instance_id=self._settings.instance_id,
            after=self._view.revision,
            wait_ms=FOLLOW_WAIT_MS,
            cell_id=self._cell_id,
        )
        answer = await self._rpc_client.call(
            self._source,
            methods.FOLLOW,
            request,
            timeout_s=FOLLOW_WAIT_MS / 1000 + RESPONSE_MARGIN_S,
        )
        self._cell_id = answer.cell_id
        self._apply_answer(answer)
        # The age counts from when the request was sent, so that a late answer does not make the
        # view appear fresher than it is.
        self._view.mark_fresh(revision=answer.commit_index, at=sent_at - answer.age_s)
        self._view.set_leader(instance=answer.leader_instance, address=answer.leader_address)
        self._view.finish_batch()
        # Half of fence_after_ms, in seconds.
        if answer.age_s > self._settings.fence_after_ms / 2000:
            # The replica itself is out of contact with the quorum; another one may not be.
            self._source = ""
            await self._timers.sleep(RETRY_DELAY_S)

    def _apply_answer(self, answer: peers_pb2.FollowAnswer) -> None:
        if answer.snapshot:
            self._view.restore(cell_pb2.CellSnapshot.FromString(answer.snapshot))
        for entry in answer.entries:
            if entry.index <= self._view.revision:
                continue
            if entry.index != self._view.revision + 1:
                raise PeerUnreachableError(
                    "gap between the applied revision and the received entries"
                )
            try:
                self._view.apply(entry)
            except UnknownCommandError as error:
                logger.error("cannot apply an entry", error=str(error))
                raise
