"""RPC methods between instances."""

from dataclasses import dataclass
from typing import Generic, TypeVar

from google.protobuf.message import Message

from ..schema import cell_pb2, jobs_pb2, peers_pb2

RequestT = TypeVar("RequestT", bound=Message)
AnswerT = TypeVar("AnswerT", bound=Message)

SERVICE = "dewspindle.Peers"


@dataclass(frozen=True, slots=True)
class Method(Generic[RequestT, AnswerT]):
    """An RPC method with its request and answer types."""

    name: str
    request: type[RequestT]
    answer: type[AnswerT]
    is_streamed: bool = False  # Small calls of which many come at once share a stream.

    @property
    def path(self) -> str:
        """Return the gRPC path of the method."""
        return f"/{SERVICE}/{self.name}"


VOTE = Method("Vote", peers_pb2.VoteRequest, peers_pb2.VoteAnswer)
APPEND = Method("Append", peers_pb2.AppendRequest, peers_pb2.AppendAnswer)
SNAPSHOT = Method("Snapshot", peers_pb2.SnapshotRequest, peers_pb2.SnapshotAnswer)
TRANSFER = Method("Transfer", peers_pb2.TransferRequest, peers_pb2.TransferAnswer)
HELLO = Method("Hello", peers_pb2.HelloRequest, peers_pb2.HelloAnswer, is_streamed=True)
FORM = Method("Form", peers_pb2.FormRequest, peers_pb2.FormAnswer)
JOIN = Method("Join", peers_pb2.JoinRequest, peers_pb2.JoinAnswer)
FOLLOW = Method("Follow", peers_pb2.FollowRequest, peers_pb2.FollowAnswer)
PROPOSE = Method("Propose", peers_pb2.ProposeRequest, cell_pb2.Result, is_streamed=True)
RELAY_POLL = Method(
    "RelayPoll", peers_pb2.RelayPollRequest, peers_pb2.RelayPollAnswer, is_streamed=True
)
SHARE = Method("Share", peers_pb2.ShareRequest, peers_pb2.ShareAnswer, is_streamed=True)
RELAY_JOBS = Method(
    "RelayJobs", peers_pb2.RelayJobsRequest, peers_pb2.RelayJobsAnswer, is_streamed=True
)
RELAY_HEARTBEAT = Method(
    "RelayBeat", peers_pb2.RelayBeatRequest, peers_pb2.RelayBeatAnswer, is_streamed=True
)
ADVISE = Method("Advise", peers_pb2.AdviseRequest, peers_pb2.AdviseAnswer, is_streamed=True)
READ_QUEUES = Method("ReadQueues", peers_pb2.ReadQueueTableRequest, jobs_pb2.QueueTable)
CALLS = Method("Calls", peers_pb2.CallFrame, peers_pb2.CallAnswerFrame)
LEAVE = Method("Leave", peers_pb2.LeaveRequest, peers_pb2.LeaveAnswer)
CHANGE_MEMBERS = Method("ChangeMembers", peers_pb2.ChangeMembersRequest, cell_pb2.Result)
