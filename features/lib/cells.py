"""Instances that run in the test process and communicate over real sockets.

Their short leader leases would not outlast a slow sync of the machine's disk, so they write their
data folders without syncs.
"""

import random
from pathlib import Path
from typing import Any

import anyio

from dewspindle._internal.instance import Instance
from dewspindle._internal.network.json_client import JsonClient
from dewspindle._internal.replication.disk import Disk
from dewspindle._internal.settings.loading import load_settings
from dewspindle._internal.utils.local_ports import reserve_address

from .disk import MemoryDisk

OPERATOR_TOKEN = "secret"
READER_TOKEN = "reader"


class LiveInstance:
    """An instance with its addresses, and clients of its operator and HTTP addresses."""

    def __init__(
        self, name: str, peer_address: str, folder: Path | None, *, disk: Disk, **flags: str
    ) -> None:
        self.name = name
        self.http_address = reserve_address()
        self.operator_address = reserve_address()
        self.peer_address = peer_address
        self._folder = folder
        self._disk = disk
        self._flags = flags
        self.instance: Instance | None = None
        self.ended = anyio.Event()
        self.operator = JsonClient(self.operator_address, token=OPERATOR_TOKEN)
        self.reader = JsonClient(self.operator_address, token=READER_TOKEN)
        self.anonymous = JsonClient(self.operator_address)
        self.caller = JsonClient(self.http_address, max_connections=64)

    def make(self, peers: str) -> Instance:
        """Create the instance, with shorter timeouts than the defaults."""
        settings = load_settings(
            {
                "instance_id": self.name,
                "availability_zone": "zone-a",
                "http_address": self.http_address,
                "operator_address": self.operator_address,
                "peer_address": self.peer_address,
                "peers": peers,
                "data_dir": str(self._folder) if self._folder else "",
                "operator_token": OPERATOR_TOKEN,
                "reader_token": READER_TOKEN,
                "ready_delay_ms": "0",
                "election_timeout_ms": "200",
                "leader_lease_ms": "150",
                "heartbeat_interval_ms": "40",
                "share_interval_ms": "50",
                **self._flags,
            },
            environment={},
        )
        self.instance = Instance(settings, rng=random.Random(self.name), disk=self._disk)
        return self.instance

    async def close_clients(self) -> None:
        for client in (self.operator, self.reader, self.anonymous, self.caller):
            await client.close()


class LiveCell:
    """Several instances, of which the first `replicas` have a data folder."""

    def __init__(
        self,
        folder: Path,
        *,
        size: int,
        replicas: int,
        disk: Disk | None = None,
        **flags: str,
    ) -> None:
        disk = disk or MemoryDisk()
        addresses = [reserve_address() for _ in range(size)]
        self.peers = ",".join(f"i{n}@{addresses[n]}" for n in range(replicas))
        self.instances = [
            LiveInstance(
                f"i{n}",
                addresses[n],
                folder / f"i{n}" if n < replicas else None,
                disk=disk,
                **flags,
            )
            for n in range(size)
        ]
        self._stop = anyio.Event()
        self._group: Any = None

    async def host(self) -> None:
        """Run the instances until `stop`; may be called again afterwards."""
        self._stop = anyio.Event()
        async with anyio.create_task_group() as group:
            self._group = group
            for live in self.instances:
                group.start_soon(self._run, live)
            await self._stop.wait()
            group.cancel_scope.cancel()
        for live in self.instances:
            await live.close_clients()
            live.instance = None

    async def _run(self, live: LiveInstance) -> None:
        await live.make(self.peers).run()
        live.ended.set()

    def start_soon(self, run: Any, *args: Any) -> None:
        self._group.start_soon(run, *args)

    def stop(self) -> None:
        self._stop.set()

    async def wait_until_ready(self) -> None:
        """Wait until every instance accepts new requests."""
        for live in self.instances:
            while live.instance is None or not live.instance.is_ready:
                if live.instance is not None:
                    await live.instance.view.signal.event.wait()
                else:
                    await anyio.lowlevel.checkpoint()
