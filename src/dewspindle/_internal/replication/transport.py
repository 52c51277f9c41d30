"""Interface through which a replica sends requests to other replicas."""

from typing import Protocol

from ..schema import peers_pb2


class PeerUnreachableError(Exception):
    """A peer did not answer in time, or a replica refused the request."""


class PeerNotConnectedError(PeerUnreachableError):
    """No connection to the peer, so the request was certainly not sent."""


class PeerTransport(Protocol):
    """Sends one request to the replica at an address; raises `PeerUnreachableError`."""

    async def request_vote(
        self, address: str, request: peers_pb2.VoteRequest
    ) -> peers_pb2.VoteAnswer:
        """Request a vote."""

    async def append(
        self, address: str, request: peers_pb2.AppendRequest
    ) -> peers_pb2.AppendAnswer:
        """Send entries, or an empty request as a heartbeat."""

    async def install_snapshot(
        self, address: str, request: peers_pb2.SnapshotRequest
    ) -> peers_pb2.SnapshotAnswer:
        """Send a snapshot in place of entries that are no longer retained."""

    async def transfer(
        self, address: str, request: peers_pb2.TransferRequest
    ) -> peers_pb2.TransferAnswer:
        """Ask a replica to start an election immediately."""

    async def say_hello(
        self, address: str, request: peers_pb2.HelloRequest
    ) -> peers_pb2.HelloAnswer:
        """Ask an instance for its identity and whether it belongs to a cell."""

    async def form(self, address: str, request: peers_pb2.FormRequest) -> peers_pb2.FormAnswer:
        """Ask a replica with an empty data folder to take part in forming a cell."""

    async def join(self, address: str, request: peers_pb2.JoinRequest) -> peers_pb2.JoinAnswer:
        """Ask the leader to add a replica as a learner."""
