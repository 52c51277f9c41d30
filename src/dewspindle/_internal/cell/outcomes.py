"""Outcomes: stored results of changes, returned if a change is resent with the same key."""

from collections.abc import Iterable

from ..schema import cell_pb2
from ..utils.refusals import Refusal
from .results import make_refusal

# A change that is resent after its outcome was deleted is applied again.
OUTCOME_LIFETIME_MS = 24 * 3600 * 1000
MAX_OUTCOMES = 50_000


class Outcomes:
    """Outcomes by idempotency key, oldest first."""

    def __init__(self) -> None:
        self._outcomes: dict[str, cell_pb2.Outcome] = {}

    def __len__(self) -> int:
        return len(self._outcomes)

    def find(self, command: cell_pb2.Command) -> cell_pb2.Result | None:
        """Return the stored result of a resent change, or None for a new one.

        A key that was used with another request is refused.
        """
        if not command.key:
            return None
        outcome = self._outcomes.get(command.key)
        if outcome is None:
            return None
        if outcome.digest != command.digest:
            return make_refusal(
                Refusal.KEY_REUSED, "the idempotency key was used with a different request before"
            )
        return outcome.result

    def store(self, command: cell_pb2.Command, result: cell_pb2.Result) -> None:
        """Store the result of a change that has an idempotency key."""
        if not command.key:
            return
        self._outcomes[command.key] = cell_pb2.Outcome(
            key=command.key, digest=command.digest, at_ms=command.at_ms, result=result
        )
        if len(self._outcomes) > MAX_OUTCOMES:
            del self._outcomes[next(iter(self._outcomes))]

    def expire(self, now_ms: int) -> None:
        """Delete outcomes whose lifetime has expired by log time."""
        for key, outcome in list(self._outcomes.items()):
            # All outcomes after this one are as new or newer.
            if outcome.at_ms + OUTCOME_LIFETIME_MS > now_ms:
                return
            del self._outcomes[key]

    def to_messages(self) -> list[cell_pb2.Outcome]:
        """Return all outcomes as snapshot messages."""
        return list(self._outcomes.values())

    def restore(self, messages: Iterable[cell_pb2.Outcome]) -> None:
        """Load the outcomes of a snapshot."""
        self._outcomes = {message.key: message for message in messages}
