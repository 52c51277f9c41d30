"""Addresses of replicas, from the settings and from what other replicas tell."""

from collections.abc import Iterable

from ..schema import settings_pb2
from ..settings.loading import parse_peers, parse_seeds

MAX_ADDRESSES = 64  # Bounds what a peer may tell; a cell has at most nine voters and some learners.


class AddressBook:
    """Grows as replicas make themselves known; the settings' addresses stay first."""

    def __init__(self, settings: settings_pb2.Settings) -> None:
        self._own = settings.peer_address
        self._seeds = [str(address) for address in parse_seeds(settings.seeds)]
        if settings.peers:
            self._seeds += [str(peer.address) for peer in parse_peers(settings.peers)]
        self._known: dict[str, None] = dict.fromkeys(self._seeds)

    @property
    def seeds(self) -> list[str]:
        """Return the addresses from the settings."""
        return list(self._seeds)

    @property
    def others(self) -> list[str]:
        """Return every known address but the own one."""
        return [address for address in self._known if address != self._own]

    def learn(self, addresses: Iterable[str]) -> None:
        """Add addresses that are not known yet."""
        for address in addresses:
            if address and len(self._known) < MAX_ADDRESSES:
                self._known.setdefault(address)

    def replace_seeds(self, addresses: Iterable[str]) -> None:
        """Take over changed settings; what was learnt stays known."""
        self._seeds = list(addresses)
        self.learn(self._seeds)
