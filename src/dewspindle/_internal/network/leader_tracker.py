"""Finds the leader for an instance that does not follow the cell state."""

import random

import anyio

from ..exceptions import DewspindleError
from ..replication.address_book import AddressBook
from ..replication.transport import PeerUnreachableError
from ..schema import peers_pb2, settings_pb2
from ..utils.logs import get_logger
from ..utils.timers import Signal, TimerService, wait_for_event
from . import methods
from .leader_client import Caller

CHECK_INTERVAL_S = 1.0  # Between looks at a leader that answers.
SEARCH_INTERVAL_S = 0.1  # Between rounds while none is known.
HELLO_TIMEOUT_S = 0.4
ALIVE_S = 3.0  # A leader that answered within this time counts as reachable.

logger = get_logger(__name__)


class LeaderTracker:
    """Asks replicas who leads, starting from the seeds."""

    def __init__(
        self,
        *,
        settings: settings_pb2.Settings,
        book: AddressBook,
        caller: Caller,
        timers: TimerService,
        seed: random.Random,
    ) -> None:
        self._settings = settings
        self._book = book
        self._caller = caller
        self._timers = timers
        self._random = seed
        self._signal = Signal()
        self._leader_address = ""
        self._confirmed_at = float("-inf")
        self._suspected = Signal()

    @property
    def leader_address(self) -> str:
        """Return the peer address of the leader as far as is known, or an empty string."""
        return self._leader_address

    @property
    def signal(self) -> Signal:
        """Return the signal that is set when another leader is found."""
        return self._signal

    def suspect_leader(self, address: str) -> None:
        """Look for the leader again, as a request to it was not answered."""
        if address == self._leader_address:
            self._suspected.set()

    @property
    def is_connected(self) -> bool:
        """Tell whether the leader answered a short time ago."""
        return self._timers.now() - self._confirmed_at <= ALIVE_S

    async def run(self) -> None:
        """Track until cancelled."""
        while True:
            suspected = self._suspected.event
            if self._leader_address and await self._ask(self._leader_address):
                await wait_for_event(self._timers, event=suspected, seconds=CHECK_INTERVAL_S)
                continue
            await self._search()
            if not self._leader_address:
                await self._timers.sleep(SEARCH_INTERVAL_S)

    async def _search(self) -> None:
        """Ask every known replica at once."""
        lost, self._leader_address = self._leader_address, ""
        if lost:
            logger.warning("leader lost", address=lost)
        addresses = self._book.peer_addresses
        self._random.shuffle(addresses)
        async with anyio.create_task_group() as group:
            for address in addresses:
                group.start_soon(self._ask, address)

    async def _ask(self, address: str) -> bool:
        """Ask one replica, and tell whether it leads."""
        request = peers_pb2.HelloRequest(instance_id=self._settings.instance_id)
        try:
            answer = await self._caller.call(
                address, methods.HELLO, request, timeout_s=HELLO_TIMEOUT_S
            )
        except (PeerUnreachableError, DewspindleError) as error:
            logger.debug("replica does not answer", address=address, why=str(error))
            return False
        self._book.add(answer.replicas)
        if not answer.leads:
            return False
        self._confirmed_at = self._timers.now()
        if answer.address != self._leader_address:
            logger.info("leader found", address=answer.address, instance=answer.instance_id)
            self._leader_address = answer.address
            self._signal.set()
        return True
