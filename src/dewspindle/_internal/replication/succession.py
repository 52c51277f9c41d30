"""Which voter a replica may take the place of.

Silence alone does not tell a voter that is gone for good from one that is frozen, cut off or
restarting. A replica that was created shortly after a voter fell silent does, as machines are
replaced by new ones. Where the new one comes first, the other tells that it ends.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from ..schema import cell_pb2

# Share of the catch-up time for which a voter must be silent. The rest is left for the start of its
# successor, for an election, and for the changes of the membership.
SILENT_SHARE = 0.3
# A machine may still answer for a moment after its successor has started.
OVERLAP_S = 1.0
# In catch-up times, from the creation of a replica to the planned end of the one it replaces.
PLANNED_FACTOR = 2


@dataclass(frozen=True, slots=True)
class VoterContact:
    """What the leader knows of a voter."""

    voter: cell_pb2.Voter
    silent_s: float  # 0 for up to an election timeout.
    is_answering: bool  # To this leader, within an election timeout.
    watched_s: float  # For which this leader has sent to it; the leader before may have seen more.
    heard_at: float | None  # None if no leader has heard from it, as far as this one knows.
    is_leaving: bool = False  # It has announced that its process ends.


@dataclass(frozen=True, slots=True)
class Successor:
    """A learner that may become a voter."""

    learner: cell_pb2.Voter
    created_at: float | None  # None if that is long ago.
    is_ready: bool  # It answers, and has caught up with the log.


@dataclass(frozen=True, slots=True)
class SilenceLimits:
    """For how long voters must be silent before they are replaced."""

    any_s: float
    catch_up_s: float  # 0 if new replicas are treated as all others.


def is_predecessor(contact: VoterContact, successor: Successor) -> bool:
    """Return whether a voter has been silent since about the time a replica was created."""
    if successor.created_at is None or contact.silent_s <= 0:
        return False
    return contact.heard_at is None or contact.heard_at <= successor.created_at + OVERLAP_S


def choose_lost_voter(
    contacts: Sequence[VoterContact],
    successors: Sequence[Successor],
    limits: SilenceLimits,
    *,
    now: float,
) -> VoterContact | None:
    """Return the voter to replace by a successor that is ready, or None.

    Of several silent voters, the last to fall silent is chosen, as its successor comes soon after.
    """
    if not any(successor.is_ready for successor in successors):
        return None
    contacts = [contact for contact in contacts if _leaves_quorum(contact, contacts)]
    # A connection that fell silent while another replica led may still have to be replaced.
    lost = [c for c in contacts if min(c.silent_s, c.watched_s) > limits.any_s]
    if not lost and limits.catch_up_s:
        lost = _list_leaving(contacts, successors, limits, now)
    if not lost and limits.catch_up_s:
        lost = _list_predecessors(contacts, successors, limits)
    return min(lost, key=lambda contact: contact.silent_s, default=None)


def _leaves_quorum(removed: VoterContact, contacts: Sequence[VoterContact]) -> bool:
    """Return whether enough of the other voters answer to commit the removal of one."""
    others = [contact for contact in contacts if contact is not removed]
    return 2 * sum(contact.is_answering for contact in others) > len(others)


def _list_leaving(
    contacts: Sequence[VoterContact],
    successors: Sequence[Successor],
    limits: SilenceLimits,
    now: float,
) -> list[VoterContact]:
    """Return the voters that end right after a replica was created, as it may replace them."""
    created_after = now - PLANNED_FACTOR * limits.catch_up_s
    is_planned = any(
        successor.is_ready
        and successor.created_at is not None
        and successor.created_at >= created_after
        for successor in successors
    )
    return [contact for contact in contacts if contact.is_leaving] if is_planned else []


def _list_predecessors(
    contacts: Sequence[VoterContact], successors: Sequence[Successor], limits: SilenceLimits
) -> list[VoterContact]:
    """Return the silent voters that new replicas were created to replace."""
    new = [successor for successor in successors if successor.created_at is not None]
    suspects = [c for c in contacts if any(is_predecessor(c, successor) for successor in new)]
    silent_s = SILENT_SHARE * limits.catch_up_s
    if len(suspects) > len(new):
        # Some of them will return. The longer wait tells which.
        silent_s *= 2
    return [contact for contact in suspects if contact.silent_s > silent_s]
