"""Decides at submission whether a team's job is within its share, or refused for load.

Answers two loads: one team that sends many times the jobs a second that it is entitled to, and a
fleet that is full for all. Jobs beyond a team's rate only use capacity that no other work waits
for. Jobs within it are always accepted; their order is decided when they are placed.
"""

from dataclasses import dataclass
from enum import Enum

from ..models.resources import NO_RESOURCES, Amounts

# Jobs that a team may send at once, as seconds of its rate. Callers are independent of each other,
# so arrivals at exactly the rate come in groups.
BURST_S = 1.0
MIN_BURST_JOBS = 3.0  # For teams that are entitled to a few jobs a second at most.
# Longest delay that a refusal asks for. Callers give up after a few attempts, so a longer one
# would turn a burst that is over into a loss.
MAX_RETRY_AFTER_S = 4.0
MIN_RETRY_AFTER_S = 0.5


class Admission(Enum):
    """Outcome of a submission."""

    WITHIN_SHARE = "within-share"
    BEYOND_SHARE = "beyond-share"  # Accepted, as there is free capacity.
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Outcome of a submission, and after a refusal the delay until the next attempt."""

    outcome: Admission
    retry_after_s: float = 0.0


class TeamRate:
    """Token bucket of the jobs that a team is entitled to, and the queue of refused callers."""

    def __init__(self, *, now: float, weight: float) -> None:
        self._tokens = _compute_burst(weight)
        self._refilled_at = now
        self._next_return_at = now

    def try_take(self, *, now: float, weight: float) -> bool:
        """Take a token for one job, and return whether there was one."""
        earned = (now - self._refilled_at) * weight
        self._tokens = min(_compute_burst(weight), self._tokens + earned)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def choose_return(self, *, now: float, weight: float) -> float:
        """Return after which delay a refused caller returns, each one when a token is due."""
        return_at = max(self._next_return_at, now + MIN_RETRY_AFTER_S)
        if weight <= 0 or return_at > now + MAX_RETRY_AFTER_S:
            return MAX_RETRY_AFTER_S
        self._next_return_at = return_at + 1 / weight
        return return_at - now


def _compute_burst(weight: float) -> float:
    return max(MIN_BURST_JOBS, weight * BURST_S)


class AdmissionControl:
    """The rates of all teams and the capacity that no accepted work waits for.

    A new leader begins with full buckets and without a known capacity, and then refuses nothing.
    """

    def __init__(self) -> None:
        self._rates: dict[str, TeamRate] = {}
        self._spare: Amounts | None = None

    def update_spare(self, *, free: Amounts, waiting: Amounts) -> None:
        """Record the free capacity, and what the accepted work takes that waits for it."""
        self._spare = free - waiting

    def decide(self, team: str, *, weight: float, demand: Amounts, now: float) -> AdmissionDecision:
        """Decide on a job of a team that takes an amount at once."""
        rate = self._rates.get(team)
        if rate is None:
            rate = self._rates[team] = TeamRate(now=now, weight=weight)
        if rate.try_take(now=now, weight=weight):
            return AdmissionDecision(Admission.WITHIN_SHARE)
        if self._spare is None or demand.fits_in(self._spare):
            self._spare = None if self._spare is None else self._spare - demand
            return AdmissionDecision(Admission.BEYOND_SHARE)
        retry_after_s = rate.choose_return(now=now, weight=weight)
        return AdmissionDecision(Admission.REFUSED, retry_after_s)


def sum_waiting(waiting: dict[str, Amounts], rooms: dict[str, Amounts]) -> Amounts:
    """Return what waiting work can take at most, each team within what its cap leaves."""
    total = NO_RESOURCES
    for team, amounts in waiting.items():
        room = rooms.get(team)
        usable = amounts if room is None else amounts.get_elementwise_min(room)
        total += usable.get_elementwise_max(NO_RESOURCES)
    return total
