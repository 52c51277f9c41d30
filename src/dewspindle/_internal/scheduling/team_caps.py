"""Decides which starts a team's cap allows, and which teams use more than their share.

Answers three loads: a team whose waiting work would fill the fleet, a wide gang or task of a team
at its cap, which smaller ones would pass for ever, and a change of leader, after which tasks of an
earlier leader run on workers that have not listed them yet.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import asdict, dataclass

from ..models.resources import NO_RESOURCES, Amounts, make_amounts
from ..schema import jobs_pb2
from .gang_workers import Release

UNLIMITED = Amounts(1 << 62, 1 << 62, 1 << 62)


def make_cap(team: jobs_pb2.Team | None) -> Amounts:
    """Return the cap of a team; an amount of 0, or no team, sets no limit."""
    if team is None or not team.HasField("cap"):
        return UNLIMITED
    cap = team.cap
    return Amounts(
        cap.processors or UNLIMITED.processors,
        cap.memory_mb or UNLIMITED.memory_mb,
        cap.accelerators or UNLIMITED.accelerators,
    )


def describe_cap(team: jobs_pb2.Team | None) -> dict[str, int]:
    """Return the amounts that a team's cap limits."""
    if team is None:
        return {}
    limits = asdict(make_amounts(team.cap))
    return {name: limit for name, limit in limits.items() if limit}


def compute_dominant_share(used: Amounts, capacity: Amounts) -> float:
    """Return the largest fraction of a resource of the fleet that is used."""
    return max(
        used.processors / max(1, capacity.processors),
        used.memory_mb / max(1, capacity.memory_mb),
        used.accelerators / max(1, capacity.accelerators),
    )


def compute_entitled_shares(teams: Mapping[str, jobs_pb2.Team]) -> dict[str, float]:
    """Return each team's weight as a fraction of all weights."""
    total = sum(team.weight for team in teams.values())
    return {name: team.weight / total if total else 0.0 for name, team in teams.items()}


@dataclass(frozen=True, slots=True)
class CapReservation:
    """Room below the cap of a team that is kept for work that does not fit yet."""

    amounts: Amounts
    ready_at: float  # When it is expected to fit.


class TeamCaps:
    """What the teams may still start in one planning round."""

    def __init__(
        self,
        teams: Mapping[str, jobs_pb2.Team],
        *,
        used: Mapping[str, Amounts],
        unaccounted: Mapping[str, Amounts],
        silent_capacity: Amounts,
        capacity: Amounts,
    ) -> None:
        self._teams = teams
        self._used = used
        self._unaccounted = unaccounted  # May run on workers that have not listed their tasks.
        self._silent_capacity = silent_capacity  # Of these workers.
        self._capacity = capacity
        self._entitled = compute_entitled_shares(teams)
        self._planned: dict[str, Amounts] = {}
        self._rooms: dict[str, Amounts] = {}
        self._is_over_share: dict[str, bool] = {}
        self._reservations: dict[str, CapReservation] = {}

    @property
    def reservations(self) -> Mapping[str, CapReservation]:
        """Return the room that is kept below the caps, by team."""
        return self._reservations

    def restore_reservations(self, reservations: Mapping[str, CapReservation]) -> None:
        """Keep the room that an earlier round has reserved."""
        self._reservations = dict(reservations)

    def get_unaccounted(self, team: str) -> Amounts:
        """Return what the team is charged for tasks that no worker has listed."""
        unaccounted = self._unaccounted.get(team, NO_RESOURCES)
        return unaccounted.get_elementwise_min(self._silent_capacity)

    def get_room(self, team: str) -> Amounts:
        """Return what the team may still start, without what this round has planned."""
        room = self._rooms.get(team)
        if room is None:
            used = self._used.get(team, NO_RESOURCES) + self.get_unaccounted(team)
            room = self._rooms[team] = make_cap(self._teams.get(team)) - used
        return room

    def get_planned(self, team: str) -> Amounts:
        """Return what this round starts for the team."""
        return self._planned.get(team, NO_RESOURCES)

    def allows(self, team: str, amounts: Amounts, *, ends_at: float = math.inf) -> bool:
        """Return whether a start would keep the team within its cap.

        Room that is reserved may be used by work that is expected to end before it is needed.
        """
        if team not in self._teams:
            return True
        needed = self.get_planned(team) + amounts
        reservation = self._reservations.get(team)
        if reservation is not None and ends_at > reservation.ready_at:
            needed += reservation.amounts
        return needed.fits_in(self.get_room(team))

    def may_reserve(self, team: str) -> bool:
        """Return whether the team has a cap below which nothing is reserved in this round."""
        return team in self._teams and team not in self._reservations

    def reserve(
        self, team: str, amounts: Amounts, *, now: float, releases: Iterable[Release]
    ) -> float:
        """Keep room for one piece of work of a team; return when it is expected to fit.

        `releases` are the expected ends of the team's tasks, in order of time. Returns infinity for
        what never fits.
        """
        room, needed = self.get_room(team), self.get_planned(team) + amounts
        ready_at = now
        for release in releases:
            if needed.fits_in(room):
                break
            room += release.amounts
            ready_at = release.at
        if not needed.fits_in(room):
            return math.inf
        self._reservations[team] = CapReservation(amounts, ready_at)
        return ready_at

    def allocate(self, team: str, amounts: Amounts) -> None:
        """Count a start that this round has planned."""
        if team in self._teams:
            self._planned[team] = self.get_planned(team) + amounts

    def is_over_share(self, team: str) -> bool:
        """Return whether the team used more of the fleet than its weight entitles it to.

        Without teams, or for work that belongs to none, the answer is always no.
        """
        is_over = self._is_over_share.get(team)
        if is_over is None:
            entitled = self._entitled.get(team)
            used = self._used.get(team, NO_RESOURCES)
            is_over = entitled is not None and (
                compute_dominant_share(used, self._capacity) > entitled
            )
            self._is_over_share[team] = is_over
        return is_over


# Allows everything. Shared, as nothing is counted for work of unknown teams.
NO_CAPS = TeamCaps({}, used={}, unaccounted={}, silent_capacity=NO_RESOURCES, capacity=NO_RESOURCES)
