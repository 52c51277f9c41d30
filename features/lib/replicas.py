"""Replicas with real logs in a folder, over a fake disk, network and clock."""

import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
import anyio.lowlevel

from dewspindle._internal.cell import appliers  # noqa: F401
from dewspindle._internal.cell.view import CellView
from dewspindle._internal.exceptions import DewspindleError
from dewspindle._internal.leader_services import LeaderServices
from dewspindle._internal.models.enums import Role
from dewspindle._internal.replication.formation import Formation
from dewspindle._internal.replication.replica import Replica, load_context
from dewspindle._internal.replication.transport import PeerUnreachableError
from dewspindle._internal.routing.directory import BackendDirectory
from dewspindle._internal.schema import cell_pb2, peers_pb2
from dewspindle._internal.settings.loading import load_settings
from dewspindle._internal.utils.metrics import Metrics

from .clock import ManualClock, ManualTimerService
from .disk import FaultyDisk
from .network import FakeNetwork, FakeTransport


class Node:
    """An instance with a replica, which can be killed, wiped and restarted.

    The tests call it a node, as it outlives the replica: a wiped instance has a new replica id.
    """

    def __init__(self, cell: "ReplicaCell", name: str, address: str, **flags: str) -> None:
        self.cell = cell
        self.name = name
        self.address = address
        self.disk = FaultyDisk()
        self.timers = ManualTimerService(cell.clock)
        self.replica: Replica | None = None
        self.formation: Formation | None = None
        self.failure: BaseException | None = None  # The error that ended the process.
        self.folder_number = 0  # Number of times that the data folder was replaced by an empty one.
        self._flags = flags
        self._scope: anyio.CancelScope | None = None
        self._disk_waits: set[anyio.CancelScope] = set()
        self._highest_revision = 0  # Since the last start, as a replica applies its log anew.
        self._highest_fresh_revision = 0  # Over all starts, as only a fresh view is served.

    @property
    def folder(self) -> Path:
        return self.cell.folder / self.name / str(self.folder_number)

    @property
    def is_up(self) -> bool:
        return self._scope is not None

    @property
    def is_leader(self) -> bool:
        return self.replica is not None and self.is_up and self.replica.role is Role.LEADER

    @property
    def revision(self) -> int:
        return self.replica.context.view.revision if self.replica else 0

    async def _offload(self, call: Callable[..., Any], *args: Any) -> Any:
        if self.disk.delay_s:
            await self._wait_for_disk(self.disk.delay_s)
        return call(*args)

    async def _wait_for_disk(self, seconds: float) -> None:
        """Wait as a thread does, which only the end of the process interrupts."""
        scope = anyio.CancelScope(shield=True)
        self._disk_waits.add(scope)
        with scope:
            await self.timers.sleep(seconds)
        self._disk_waits.discard(scope)
        if scope.cancelled_caught:
            await anyio.lowlevel.checkpoint()
            raise PeerUnreachableError("the process has ended")

    def stop_disk_waits(self) -> None:
        """Interrupt the threads that wait for the disk, as the process ends."""
        for scope in self._disk_waits:
            scope.cancel()

    def start(self) -> None:
        # A process that ended by an error, not by `kill`, still has unsynced writes.
        self.disk.crash()
        settings = load_settings(
            {
                "instance_id": self.name,
                "availability_zone": "z",
                "peer_address": self.address,
                **self.cell.node_flags,
                "data_dir": str(self.folder),
                "operator_token": "t",
                **self._flags,
            },
            environment={},
        )
        view = CellView(timers=self.timers, fence_after_s=settings.fence_after_ms / 1000)
        context = load_context(
            settings=settings,
            timers=self.timers,
            transport=FakeTransport(self.cell.network, self.address),
            view=view,
            rng=random.Random(f"{self.cell.seed}-{self.name}-{self.folder_number}"),
            disk=self.disk,
            offload=self._offload,
        )
        self.replica = Replica(context)
        self.formation = Formation(context)
        self._attach(self.replica, self.formation)
        self._highest_revision = 0
        self.cell.start_soon(self._run)

    def _attach(self, replica: Replica, formation: Formation) -> None:
        handlers = replica.handlers
        self.leader_services = LeaderServices(
            settings=replica.context.settings,
            replica=replica,
            view=replica.context.view,
            directory=BackendDirectory(settings=replica.context.settings, timers=self.timers),
            share_client=None,
            timers=self.timers,
            metrics=Metrics(instance=self.name, zone="z"),
        )
        self.cell.network.attach(
            self.address,
            {
                "request_vote": handlers.handle_vote,
                "append": handlers.handle_append,
                "install_snapshot": handlers.handle_snapshot,
                "transfer": handlers.handle_transfer,
                "say_hello": formation.handle_hello,
                "form": formation.handle_form,
                "join": self.leader_services.members.handle_join,
            },
            self.timers,
        )

    def _list_member_tasks(self) -> list[Callable[[], Any]]:
        """Return the functions that run once the node belongs to a cell."""
        assert self.replica is not None
        return [self.replica.run, self.leader_services.run]

    async def _run(self) -> None:
        assert self.formation is not None
        assert self.replica is not None
        scope = anyio.CancelScope()
        self._scope = scope
        try:
            with scope:
                await self.formation.run()
                async with anyio.create_task_group() as group:
                    for run in self._list_member_tasks():
                        group.start_soon(run)
        except BaseExceptionGroup as error:
            self.failure = error
            self._stop_serving()
        except DewspindleError as error:
            self.failure = error
            self._stop_serving()

    def _stop_serving(self) -> None:
        self.cell.network.detach(self.address)
        self._scope = None

    def kill(self) -> None:
        """End the process without a shutdown, and discard the writes that are not synced."""
        if self._scope is not None:
            self._scope.cancel()
        self.stop_disk_waits()
        self._stop_serving()
        self.disk.crash()

    def wipe(self) -> None:
        """Use an empty data folder from the next start on."""
        self.folder_number += 1

    def check_invariants(self) -> None:
        """Check that neither the revision nor that of a fresh view goes back."""
        if self.replica is None or not self.is_up:
            return
        assert self.revision >= self._highest_revision, f"{self.name} went back in revision"
        self._highest_revision = self.revision
        if self.replica.context.view.is_fresh and not self.timers.is_paused:
            assert self.revision >= self._highest_fresh_revision, (
                f"{self.name} serves an older revision"
            )
            self._highest_fresh_revision = self.revision


class ReplicaCell:
    """Several nodes, a client that proposes changes, and checks of the nodes and the answers.

    The flags are settings of every node, by name.
    """

    node_class: type[Node] = Node

    def __init__(self, folder: Path, *, size: int, seed: int, **flags: str) -> None:
        self.folder = folder
        self.seed = seed
        self.clock = ManualClock()
        self.network = FakeNetwork(self.clock)
        self._stop = anyio.Event()
        self._group: Any = None
        names = [f"n{number}" for number in range(size)]
        self.peers = ",".join(f"{n}@127.0.0.1:{7000 + i}" for i, n in enumerate(names))
        self.nodes = [
            self.node_class(self, name, f"127.0.0.1:{7000 + i}", **flags)
            for i, name in enumerate(names)
        ]
        self._flags = flags
        self.node_flags = {"peers": self.peers}
        self.acknowledged: dict[str, cell_pb2.Result] = {}  # By the key of the change.
        self.unknown: set[str] = set()  # Keys of changes whose proposal failed.
        # Term and command of the entries that some node had committed, by index.
        self._committed: dict[int, tuple[int, bytes]] = {}
        self.clock.add_check(self.check_invariants)

    async def host(self) -> None:
        """Run the tasks of all nodes until `stop`."""
        async with anyio.create_task_group() as group:
            self._group = group
            await self._stop.wait()
            group.cancel_scope.cancel()

    def stop(self) -> None:
        for node in self.nodes:
            if node.timers.is_paused:
                node.timers.resume()
            node.stop_disk_waits()
        self._stop.set()

    def start_soon(self, run: Callable[..., Any], *args: Any) -> None:
        self._group.start_soon(run, *args)

    def add_node(self) -> Node:
        number = len(self.nodes)
        node = self.node_class(self, f"n{number}", f"127.0.0.1:{7000 + number}", **self._flags)
        self.nodes.append(node)
        return node

    @property
    def addresses(self) -> list[str]:
        return [node.address for node in self.nodes]

    @property
    def leader(self) -> Node | None:
        leaders = [
            n for n in self.nodes if n.is_leader and n.replica and n.replica.may_act_as_leader
        ]
        leaders = [n for n in leaders if not n.timers.is_paused]
        return leaders[0] if leaders else None

    def check_invariants(self) -> None:
        """Check that at most one replica leads, and that committed entries and revisions stay."""
        holders = [
            node.name
            for node in self.nodes
            if node.is_up
            and node.replica
            and node.replica.may_act_as_leader
            and not node.timers.is_paused
        ]
        assert len(holders) <= 1, f"several replicas hold the leader lease: {holders}"
        for node in self.nodes:
            node.check_invariants()
            self._check_committed(node)

    def _check_committed(self, node: Node) -> None:
        if node.replica is None or not node.is_up:
            return
        context = node.replica.context
        start = max(context.log.first_index, getattr(node, "checked_index", 0) + 1)
        for entry in context.log.get_entries(start, context.commit_index, max_bytes=1 << 60):
            seen = self._committed.setdefault(entry.index, (entry.term, entry.command))
            assert seen == (entry.term, entry.command), (
                f"{node.name} differs at entry {entry.index}"
            )
        node.checked_index = context.commit_index  # type: ignore[attr-defined]

    async def wait_for_leader(self, *, seconds: float = 15.0) -> Node:
        assert await self.clock.advance_until(lambda: self.leader is not None, seconds=seconds), (
            f"no leader was elected within {seconds} s"
        )
        assert self.leader is not None
        return self.leader

    async def put(self, key: str, *, node: Node | None = None) -> None:
        """Propose a change under a key, to the leader by default; do nothing without one.

        The result is recorded, or after a `DewspindleError` that the outcome is unknown.
        """
        chosen = node or self.leader
        if chosen is None or chosen.replica is None:
            return
        command = cell_pb2.Command(
            key=key,
            digest=key.encode(),
            put_config=cell_pb2.PutConfig(name=key, value=key.encode()),
        )
        try:
            self.acknowledged[key] = await chosen.replica.propose(command)
        except DewspindleError:
            self.unknown.add(key)

    async def put_many(self, keys: list[str]) -> None:
        """Propose a change under each key at the same time, and advance the time by 0.2 s."""
        for key in keys:
            self.start_soon(self.put, key)
        await self.clock.advance(0.2)

    def heal(self) -> None:
        """Remove all faults and start the nodes that are down."""
        self.network.heal()
        for node in self.nodes:
            node.disk.free()
            if node.timers.is_paused:
                node.timers.resume()
            if not node.is_up:
                node.failure = None
                node.start()

    async def check_convergence(self) -> None:
        """Check that all nodes reach the leader's revision with each acknowledged change once."""
        await self.wait_for_leader(seconds=30.0)
        await self.put_many(["after"])
        assert await self.clock.advance_until(self._has_converged, seconds=30.0), self.describe()
        for node in self.nodes:
            self._check_acknowledged(node)

    def _has_converged(self) -> bool:
        leader = self.leader
        if leader is None or "after" not in self.acknowledged:
            return False
        return all(node.revision == leader.revision and node.is_up for node in self.nodes)

    def _check_acknowledged(self, node: Node) -> None:
        assert node.replica is not None
        state = node.replica.context.view.state
        for key, result in self.acknowledged.items():
            if result.code:
                continue
            assert key in state.config, f"{node.name} lost the acknowledged change {key}"
            assert state.config[key].revision == result.revision, f"{key} applied twice"
        names = [entry.name for entry in state.config_versions]
        assert len(names) == len(set(names)), f"{node.name} applied a change twice"

    def describe(self) -> str:
        return ", ".join(
            f"{n.name}: up={n.is_up} role={n.replica.role if n.replica else None} "
            f"revision={n.revision} failure={n.failure!r}"
            for n in self.nodes
        )


__all__ = ["Node", "ReplicaCell", "peers_pb2"]
