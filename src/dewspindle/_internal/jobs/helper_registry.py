"""Registry of helpers, the instances that call the advisor on behalf of the leader.

The advisor serves one call per instance at a time, so several instances call it.
"""

from collections.abc import Callable
from dataclasses import dataclass

from ..utils.timers import TimerService

ENTRY_TIMEOUT_S = 3.0  # An entry instance that relayed no request for this long is not a helper.


@dataclass(frozen=True, slots=True)
class Helper:
    """An instance that can call the advisor."""

    address: str
    is_replica: bool
    is_leader: bool = False


class HelperRegistry:
    """Tracks which instances can currently call the advisor."""

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
        self._entry_instances_seen: dict[str, float] = {}

    def record_entry_instance(self, address: str) -> None:
        """Record that an entry instance that can call the advisor is alive."""
        if address:
            self._entry_instances_seen[address] = self._timers.now()

    def list_helpers(self) -> list[Helper]:
        """Return the live replicas, the recently seen entry instances and the leader."""
        oldest = self._timers.now() - ENTRY_TIMEOUT_S
        self._entry_instances_seen = {
            a: at for a, at in self._entry_instances_seen.items() if at >= oldest
        }
        helpers = [Helper(address, is_replica=True) for address in self._list_replicas()]
        helpers += [Helper(address, is_replica=False) for address in self._entry_instances_seen]
        return [*helpers, Helper(self._own_address, is_replica=True, is_leader=True)]
