"""Decides at submission whether a job is accepted, or refused for load.

Answers three loads: one team that sends many times the jobs a second that it is entitled to, a
fleet that is full for all, and a leader that cannot start tasks as fast as they arrive. Jobs beyond
a team's rate are accepted as long as they can be served in time. Jobs within it are refused only if
they would surely be served too late to be of use.
"""

from dataclasses import dataclass
from enum import Enum

from ..models.resources import Amounts
from .job_order import OVERDUE_FACTOR

# Jobs that a team may send at once, as seconds of its rate. Callers are independent of each other,
# so arrivals at exactly the rate come in groups.
BURST_S = 1.0
MIN_BURST_JOBS = 3.0  # For teams that are entitled to a few jobs a second at most.
# Jobs that a team may send to a new leader at once, as seconds of its rate: callers wait for 3 s
# for an answer, so that the requests of an outage arrive together.
INITIAL_BURST_S = 3.0
# Longest delay that a refusal asks for. Callers give up after a few attempts, so a longer one
# would turn a burst that is over into a loss.
MAX_RETRY_AFTER_S = 4.0
MIN_RETRY_AFTER_S = 0.5


class Admission(Enum):
    """Outcome of a submission."""

    WITHIN_SHARE = "within-share"
    BEYOND_SHARE = "beyond-share"  # Accepted, as it can be served in time.
    REFUSED_BEYOND_SHARE = "refused-beyond-share"
    REFUSED_HOPELESS = "refused-hopeless"


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Outcome of a submission, and after a refusal the delay until the next attempt."""

    outcome: Admission
    retry_after_s: float = 0.0


class TeamRate:
    """Token bucket of the jobs that a team is entitled to, and the queue of refused callers."""

    def __init__(self, *, now: float, weight: float) -> None:
        self._tokens = max(_compute_burst(weight), weight * INITIAL_BURST_S)
        self._refilled_at = now
        self._next_return_at = now

    def try_take(self, *, now: float, weight: float) -> bool:
        """Take a token for one job, and return whether there was one."""
        earned = (now - self._refilled_at) * weight
        self._tokens = max(self._tokens, min(_compute_burst(weight), self._tokens + earned))
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


@dataclass(frozen=True, slots=True)
class JobDemand:
    """What a submitted job takes at once, and how long it can wait."""

    amounts: Amounts
    priority: int
    path_s: float  # Estimated duration of its longest path.
    target_s: float  # Its target latency.


@dataclass(frozen=True, slots=True)
class Backlog:
    """Accepted work that waits, and how fast it is worked off."""

    spare: Amounts  # Free capacity that no waiting work takes.
    waits_s: tuple[tuple[int, float], ...] = ()  # By priority: the wait behind all up to it.

    def predict_wait(self, *, priority: int | None = None) -> float:
        """Return the wait behind the work up to a priority, or behind all work."""
        waits = [s for number, s in self.waits_s if priority is None or number <= priority]
        return max(waits, default=0.0)


class AdmissionControl:
    """The rates of all teams and the accepted work that waits.

    A new leader begins with more than full buckets and without a known backlog, and then refuses
    nothing.
    """

    def __init__(self) -> None:
        self._rates: dict[str, TeamRate] = {}
        self._backlog: Backlog | None = None
        self._spare: Amounts | None = None

    def update_backlog(self, backlog: Backlog) -> None:
        """Record the work that waits after a planning round."""
        self._backlog = backlog
        self._spare = backlog.spare

    def decide(
        self, team: str, *, weight: float, demand: JobDemand, now: float
    ) -> AdmissionDecision:
        """Decide on a job of a team."""
        rate = self._rates.get(team)
        if rate is None:
            rate = self._rates[team] = TeamRate(now=now, weight=weight)
        is_within = rate.try_take(now=now, weight=weight)
        if self._backlog is None or self._spare is None:
            return AdmissionDecision(_ACCEPTED[is_within])
        if demand.amounts.fits_in(self._spare):
            self._spare -= demand.amounts
            return AdmissionDecision(_ACCEPTED[is_within])
        if is_within:
            wait_s = self._backlog.predict_wait(priority=demand.priority)
            latest_s = demand.target_s * OVERDUE_FACTOR - demand.path_s
            if wait_s <= latest_s:
                return AdmissionDecision(Admission.WITHIN_SHARE)
            retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s - latest_s))
            return AdmissionDecision(Admission.REFUSED_HOPELESS, retry_after_s)
        if self._backlog.predict_wait() <= demand.target_s - demand.path_s:
            return AdmissionDecision(Admission.BEYOND_SHARE)
        retry_after_s = rate.choose_return(now=now, weight=weight)
        return AdmissionDecision(Admission.REFUSED_BEYOND_SHARE, retry_after_s)


_ACCEPTED = {True: Admission.WITHIN_SHARE, False: Admission.BEYOND_SHARE}
