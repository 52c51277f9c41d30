"""Discovery of the leader, for instances that do not follow the cell state."""

import random

import anyio
from anyio.abc import TaskGroup

from ..exceptions import DewspindleError
from ..replication.address_book import AddressBook
from ..replication.transport import PeerUnreachableError
from ..schema import peers_pb2, settings_pb2
from ..utils.logs import get_logger
from ..utils.timers import Signal, TimerService, wait_for_event
from . import methods
from .leader_client import RpcClient

CHECK_INTERVAL_S = 1.0  # Between checks of a known leader.
SEARCH_INTERVAL_S = 0.1  # Between queries of one replica while no leader is known.
HELLO_TIMEOUT_S = 0.4
# Age of the last answer up to which the leader counts as reachable and an entry instance as ready.
LEADER_ALIVE_S = 3.0

logger = get_logger(__name__)


class LeaderTracker:
    """Finds the leader by querying replicas, starting from the seeds."""

    def __init__(
        self,
        *,
        settings: settings_pb2.Settings,
        address_book: AddressBook,
        rpc_client: RpcClient,
        timers: TimerService,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._address_book = address_book
        self._rpc_client = rpc_client
        self._timers = timers
        self._rng = rng
        self._signal = Signal()
        self._leader_address = ""
        self._answered_at = float("-inf")
        self._suspected = Signal()
        self._searched: set[str] = set()  # Replicas that the current search queries.

    @property
    def leader_address(self) -> str:
        """Return the peer address of the last known leader, or an empty string."""
        return self._leader_address

    @property
    def signal(self) -> Signal:
        """Return the signal that is set when a new leader is found, but not when one is lost."""
        return self._signal

    def suspect_leader(self, address: str) -> None:
        """Check the leader again after it did not answer a request."""
        if address == self._leader_address:
            self._suspected.set()

    @property
    def is_connected(self) -> bool:
        """Return whether a leader answered within `LEADER_ALIVE_S`."""
        return self._timers.now() - self._answered_at <= LEADER_ALIVE_S

    async def run(self) -> None:
        """Track the leader until cancelled."""
        while True:
            suspected = self._suspected.event
            if not self._leader_address:
                await self._search()
            elif not await self._query(self._leader_address):
                logger.warning("leader lost", address=self._leader_address)
                await self._search()
            elif await wait_for_event(self._timers, event=suspected, seconds=CHECK_INTERVAL_S):
                # The search also queries the suspected leader, as another may lead already.
                logger.info("leader suspected", address=self._leader_address)
                await self._search()

    async def _search(self) -> None:
        """Query all known replicas until one of them leads.

        Each is queried at its own pace, so that one that does not answer delays none of the others.
        """
        self._leader_address = ""
        self._searched = set()
        async with anyio.create_task_group() as group:
            while not self._leader_address:
                found = self._signal.event
                self._start_queries(group)
                await wait_for_event(self._timers, event=found, seconds=SEARCH_INTERVAL_S)
            group.cancel_scope.cancel()

    def _start_queries(self, group: TaskGroup) -> None:
        """Begin to query the replicas that became known during the search."""
        addresses = [
            address
            for address in self._address_book.other_replica_addresses
            if address not in self._searched
        ]
        self._rng.shuffle(addresses)
        self._searched.update(addresses)
        for address in addresses:
            group.start_soon(self._query_repeatedly, address)

    async def _query_repeatedly(self, address: str) -> None:
        while not await self._query(address):
            await self._timers.sleep(SEARCH_INTERVAL_S)

    async def _query(self, address: str) -> bool:
        """Query one replica; return whether it is the leader."""
        request = peers_pb2.HelloRequest(instance_id=self._settings.instance_id)
        try:
            answer = await self._rpc_client.call(
                address, methods.HELLO, request, timeout_s=HELLO_TIMEOUT_S
            )
        except (PeerUnreachableError, DewspindleError) as error:
            logger.debug("replica query failed", address=address, why=str(error))
            return False
        self._address_book.add(answer.replicas)
        if not answer.leads:
            return False
        self._answered_at = self._timers.now()
        if answer.address != self._leader_address:
            logger.info("leader found", address=answer.address, instance=answer.instance_id)
            self._leader_address = answer.address
            self._signal.set()
        return True
