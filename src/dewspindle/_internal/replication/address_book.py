"""Peer addresses of replicas, from the settings and from other replicas."""

from collections.abc import Iterable

from ..schema import settings_pb2
from ..settings.loading import parse_peers, parse_seeds

MAX_ADDRESSES = 64  # Caps what a peer can add; a cell has at most nine voters and some learners.


class AddressBook:
    """Known peer addresses of replicas, those from the settings first."""

    def __init__(self, settings: settings_pb2.Settings) -> None:
        self._own_address = settings.peer_address
        self._seeds = [str(address) for address in parse_seeds(settings.seeds)]
        if settings.peers:
            self._seeds += [str(peer.address) for peer in parse_peers(settings.peers)]
        self._known: dict[str, None] = dict.fromkeys(self._seeds)

    @property
    def seeds(self) -> list[str]:
        """Return the addresses of --seeds and --peers, or those that replaced them."""
        return list(self._seeds)

    @property
    def other_replica_addresses(self) -> list[str]:
        """Return every known address except that of this instance."""
        return [address for address in self._known if address != self._own_address]

    def add(self, addresses: Iterable[str]) -> None:
        """Add addresses that are not known yet, up to the limit."""
        for address in addresses:
            if address and len(self._known) < MAX_ADDRESSES:
                self._known.setdefault(address)

    def replace_seeds(self, addresses: Iterable[str]) -> None:
        """Replace the seeds after a change of the settings; known addresses are kept."""
        self._seeds = list(addresses)
        self.add(self._seeds)
