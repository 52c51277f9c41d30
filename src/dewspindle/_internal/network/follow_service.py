"""Service through which instances without a data folder follow the cell state."""

from ..exceptions import NotLeaderError
from ..replication.replica import Replica
from ..schema import peers_pb2
from ..utils.timers import TimerService, wait_for_event

MAX_ENTRIES_BYTES = 4 * 1024 * 1024


class FollowService:
    """Answers observers with entries, or with a snapshot if they lag too far behind."""

    def __init__(self, replica: Replica, *, timers: TimerService) -> None:
        self._replica = replica
        self._timers = timers

    async def follow(self, request: peers_pb2.FollowRequest) -> peers_pb2.FollowAnswer:
        """Return the changes after a revision, after waiting up to `wait_ms` for the first one."""
        context = self._replica.context
        view = context.view
        cell_id = context.membership.cell_id
        if request.cell_id and request.cell_id != cell_id:
            raise NotLeaderError(f"this replica is not a member of cell {request.cell_id}")
        deadline = self._timers.now() + request.wait_ms / 1000
        while view.revision <= request.after:
            remaining = deadline - self._timers.now()
            if remaining <= 0:
                break
            await wait_for_event(self._timers, event=view.signal.event, seconds=remaining)
        answer = peers_pb2.FollowAnswer(
            cell_id=cell_id,
            commit_index=view.revision,  # The applied revision, as only applied entries are sent.
            age_s=max(0.0, min(view.age_s, 1e9)),
            leader_address=view.leader_address,
            leader_instance=view.leader_instance,
        )
        self._add_changes(answer, after=request.after)
        return answer

    def _add_changes(self, answer: peers_pb2.FollowAnswer, *, after: int) -> None:
        context = self._replica.context
        revision = context.view.revision
        if after >= revision:
            return
        if after + 1 < context.log.first_index:
            answer.snapshot = context.view.state.serialize()
            return
        answer.entries.extend(
            context.log.get_entries(after + 1, revision, max_bytes=MAX_ENTRIES_BYTES)
        )
