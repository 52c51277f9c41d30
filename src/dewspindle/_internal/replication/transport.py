"""What a replica needs of the network to reach another replica."""

from typing import Protocol

from ..schema import peers_pb2


class PeerUnreachableError(Exception):
    """A peer did not answer, in time or at all."""


class PeerNotConnectedError(PeerUnreachableError):
    """A peer could not be connected to, so the request surely was not sent."""


class PeerTransport(Protocol):
    """Sends one request to the replica at an address; raises `PeerUnreachableError`."""

    async def request_vote(
        self, address: str, request: peers_pb2.VoteRequest
    ) -> peers_pb2.VoteAnswer:
        """Ask for a vote."""

    async def append(
        self, address: str, request: peers_pb2.AppendRequest
    ) -> peers_pb2.AppendAnswer:
        """Send entries, or none as a heartbeat."""

    async def install_snapshot(
        self, address: str, request: peers_pb2.SnapshotRequest
    ) -> peers_pb2.SnapshotAnswer:
        """Send a snapshot in place of entries that are no longer held."""

    async def transfer(
        self, address: str, request: peers_pb2.TransferRequest
    ) -> peers_pb2.TransferAnswer:
        """Ask a replica to stand for election at once."""

    async def say_hello(
        self, address: str, request: peers_pb2.HelloRequest
    ) -> peers_pb2.HelloAnswer:
        """Ask an instance who it is and whether it belongs to a cell."""

    async def form(self, address: str, request: peers_pb2.FormRequest) -> peers_pb2.FormAnswer:
        """Ask an empty replica to take part in forming a cell."""

    async def join(self, address: str, request: peers_pb2.JoinRequest) -> peers_pb2.JoinAnswer:
        """Ask a member to have a replica added as a learner."""
