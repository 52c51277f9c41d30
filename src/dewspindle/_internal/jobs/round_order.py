"""Which waiting steps a planning round looks at, and in which order.

A round that looked at all steps of a long backlog would take as long as the backlog, and delay all
else that the leader does. So it looks at a bounded number, and at the others in later rounds.
"""

import heapq
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass

from ..scheduling.start_turns import StartTurns
from .advice import StepKey
from .runs import StepRun

MAX_RANKED = 32  # Steps of highest rank, which each round looks at.
MAX_ROTATED = 12  # Of the others, those that were looked at longest ago.


@dataclass(frozen=True, slots=True)
class RoundOrder:
    """The steps that a round looks at."""

    in_turn: list[StepRun]  # Stalled steps, which go first.
    ranked: list[StepRun]  # All others, in rank order.


class RoundOrderer:
    """Chooses the steps of each planning round."""

    def __init__(self) -> None:
        self._turns: StartTurns[StepKey] = StartTurns()
        self._looked_at: dict[StepKey, int] = {}  # Number of the last round that did.
        self._rounds = 0

    @property
    def turns(self) -> StartTurns[StepKey]:
        """Return the turns of stalled steps."""
        return self._turns

    def choose(
        self,
        ready: Sequence[StepRun],
        *,
        always: Collection[StepKey],
        may_go_first: Callable[[StepRun], bool],
        now: float,
    ) -> RoundOrder:
        """Return the steps to look at, given all ready ones in rank order.

        `may_go_first` tells whether a stalled step may come before those of higher rank.
        `always` are looked at whatever their rank, such as those whose requests for advice were
        answered since the last round, as the tickets that they got do not stay valid for long.
        """
        by_key = {step.key: step for step in ready}
        eligible = {step.key for step in ready if may_go_first(step)}
        self._turns.update(by_key, eligible=eligible, now=now)
        in_turn = {key: by_key[key] for key in self._turns.list_turns()}
        chosen = {step.key for step in ready[:MAX_RANKED]}
        chosen.update(key for key in always if key in by_key)
        chosen.update(in_turn)
        rest = [step for step in ready if step.key not in chosen]
        last = self._looked_at
        rotated = heapq.nsmallest(MAX_ROTATED, rest, key=lambda step: last.get(step.key, 0))
        chosen.update(step.key for step in rotated)
        self._looked_at = {key: last.get(key, 0) for key in by_key}
        ranked = [step for step in ready if step.key in chosen and step.key not in in_turn]
        return RoundOrder(list(in_turn.values()), ranked)

    def record_looks(self, looked_at: Iterable[StepKey]) -> None:
        """Record which of the chosen steps a round has looked at."""
        self._rounds += 1
        self._looked_at.update(dict.fromkeys(looked_at, self._rounds))
