"""State of one planning round."""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from ..models.resources import NO_RESOURCES, Amounts
from ..scheduling.gang_workers import GangWorkers, Release, WorkerOutlook
from ..scheduling.team_caps import TeamCaps
from .advice import StepKey
from .fleet import Fleet
from .fleet_worker import FleetWorker
from .placements import Placement, PlacementPhase
from .runs import StepRun, UnitRun
from .wait_reasons import WaitReason

STOP_S = 0.9  # Longest time from a stop order to the end of the task.
# A task past its expected end is expected to end within this fraction of its expected duration.
OVERRUN_FRACTION = 0.25
MIN_OVERRUN_S = 0.2  # Also for tasks without an estimate.
ASK_AHEAD_S = 1.0  # Starts that the limit on starts allows later than this get no advice yet.
# Free processors and memory of a pool beyond which steps start for want of something else. The
# promise to callers begins at half.
SPARE_FRACTION = 0.4
EARMARK_HORIZON_S = 1.0  # A long call to the advisor takes about as long.
# Multiple of the capacity expected to be free for which steps may request advice at the same time,
# as the advisor approves only some of the workers that have it.
EARMARK_FACTOR = 2


@dataclass(frozen=True, slots=True)
class PlannedStart:
    """A unit to start now, with its workers by task position and its tickets by worker."""

    unit: UnitRun
    workers: dict[int, str]
    tickets: dict[str, str]


def estimate_end(placement: Placement, now: float) -> float:
    """Return when a placement is expected to have ended, infinity if it never ends by itself."""
    if placement.phase is PlacementPhase.STOPPING:
        return now + STOP_S
    if placement.is_lasting:
        return math.inf
    expected_at = placement.placed_at + placement.estimate_s
    if expected_at > now:
        return expected_at
    return now + max(MIN_OVERRUN_S, placement.estimate_s * OVERRUN_FRACTION)


class PlanningRound:
    """The capacity and workers that one planning round has allocated so far."""

    def __init__(
        self,
        fleet: Fleet,
        *,
        now: float,
        team_caps: TeamCaps,
        start_budget: float = math.inf,
        starts_per_s: float = math.inf,
    ) -> None:
        self.now = now
        self.start_budget = start_budget  # Tasks that may still be started in this round.
        self._starts_ahead = starts_per_s * ASK_AHEAD_S  # For which advice may be sought now.
        self.in_turn: frozenset[StepKey] = frozenset()  # Stalled steps that go first.
        self.team_caps = team_caps
        self.capped_teams: set[str] = set()  # Teams whose work waits for their cap.
        self.starts: list[PlannedStart] = []
        self.looked_at: set[StepKey] = set()
        self._held_back: dict[StepKey, WaitReason] = {}
        self.long_request_count = 0
        self.waiting_gangs: list[tuple[StepRun, GangWorkers]] = []
        self.workers_with_suspect: set[str] = set()  # Started in this round.
        self._fleet = fleet
        self._free: dict[str, Amounts] = {}
        self._pools: dict[str, dict[str, FleetWorker]] = {}
        self._spare_pools: dict[str, bool] = {}
        self._largest: dict[str, Amounts] = {}
        self._outlooks: dict[str, list[Release]] = {}
        # Usable workers by pool and time from now, those with most processors expected first.
        self._by_room: dict[tuple[str, float], list[tuple[int, FleetWorker]]] = {}
        # Capacity expected to be free, by time from now and worker.
        self._expected: dict[float, dict[str, Amounts]] = defaultdict(dict)
        self._set_aside: dict[str, tuple[StepRun, float]] = {}  # With the time of the gang's start.
        self._earmarked: dict[str, Amounts] = defaultdict(Amounts)  # By pool.
        self._earmarking_steps: set[StepKey] = set()
        self._expected_free: dict[str, Amounts] = {}
        # Of the workers set aside, those of gangs that do not fit yet, by pool.
        self._set_aside_early: Counter[str] = Counter()
        self._early_gang_count = 0
        self._cap_ready_at: dict[StepKey, float] = {}  # For steps with room reserved below a cap.
        self._team_releases: dict[str, list[Release]] = {}  # In order of time.

    @property
    def early_gang_count(self) -> int:
        """Return for how many gangs workers are set aside that do not fit yet."""
        return self._early_gang_count

    def get_usable(self, pool: str) -> dict[str, FleetWorker]:
        """Return the usable workers of a pool by id."""
        usable = self._pools.get(pool)
        if usable is None:
            usable = self._pools[pool] = self._fleet.list_usable(pool, now=self.now)
        return usable

    def get_largest_capacity(self, pool: str) -> Amounts:
        """Return the largest amounts of any usable worker of a pool."""
        largest = self._largest.get(pool)
        if largest is None:
            largest = NO_RESOURCES
            for worker in self.get_usable(pool).values():
                largest = largest.get_elementwise_max(worker.capacity)
            self._largest[pool] = largest
        return largest

    def have_missed_renewal(self, workers: Iterable[str]) -> bool:
        """Return whether each of the workers left its last lease renewal unanswered."""
        found = [self._fleet.get(worker) for worker in workers]
        return all(worker is not None and worker.missed_renewal for worker in found)

    def get_free(self, worker: FleetWorker) -> Amounts:
        """Return the capacity of a worker that is still free in this round."""
        return self._free.get(worker.id, worker.free)

    def allocate(self, worker: FleetWorker, amounts: Amounts, *, team: str) -> None:
        """Allocate capacity of a worker to a task of a team."""
        self.start_budget -= 1
        self._set_free(worker, self.get_free(worker) - amounts)
        self.team_caps.allocate(team, amounts)

    def move(self, source: FleetWorker, target: FleetWorker, amounts: Amounts) -> None:
        """Move the capacity of a task that starts in this round to another worker."""
        self._set_free(source, self.get_free(source) + amounts)
        self._set_free(target, self.get_free(target) - amounts)

    def _set_free(self, worker: FleetWorker, free: Amounts) -> None:
        self._free[worker.id] = free
        for expected in self._expected.values():
            expected.pop(worker.id, None)

    def check_cap(self, step: StepRun, amounts: Amounts) -> bool:
        """Return whether a start keeps a team within its cap; record the step if it does not."""
        team = step.run.stored.team
        ends_at = math.inf if step.message.long_running else self.now + step.estimate_s
        if self.team_caps.allows(team, amounts, ends_at=ends_at):
            return True
        self.capped_teams.add(team)
        self.hold_back(step, WaitReason.TEAM_CAP)
        return False

    def keep_cap(self, step: StepRun, amounts: Amounts) -> None:
        """Reserve room below the cap of its team for a step that has its turn."""
        if step.key not in self.in_turn or step.key in self._cap_ready_at:
            return
        team = step.run.stored.team
        if not self.team_caps.may_reserve(team):
            return
        if team not in self._team_releases:
            self._team_releases[team] = sorted(self._list_team_releases(team), key=lambda r: r.at)
        ready_at = self.team_caps.reserve(
            team, amounts, now=self.now, releases=self._team_releases[team]
        )
        if ready_at < math.inf:
            self._cap_ready_at[step.key] = ready_at

    def has_reserved_cap(self, step: StepRun) -> bool:
        """Return whether room below a cap is reserved for a step."""
        return step.key in self._cap_ready_at

    def is_cap_ready_soon(self, step: StepRun) -> bool:
        """Return whether room below a cap that is reserved for a step is expected soon."""
        return self._cap_ready_at.get(step.key, math.inf) <= self.now + ASK_AHEAD_S

    def _list_team_releases(self, team: str) -> Iterator[Release]:
        for worker in self._fleet:
            for placement in worker.placements.values():
                if placement.team == team and not placement.is_lasting:
                    yield Release(estimate_end(placement, self.now), placement.amounts)

    def hold_back(self, step: StepRun, reason: WaitReason) -> None:
        """Record why no workers are looked for."""
        self._held_back[step.key] = reason

    def get_hold_back_reason(self, step: StepRun) -> WaitReason | None:
        """Return why no workers were looked for, or None if they were or the step is new."""
        return self._held_back.get(step.key)

    def is_deferred(self, step: StepRun) -> bool:
        """Return whether a step waits for the budget of a later round."""
        return self._held_back.get(step.key) is WaitReason.START_BUDGET

    def defer(self, step: StepRun) -> None:
        """Record that a step that may start waits for the budget of a later round."""
        self.hold_back(step, WaitReason.START_BUDGET)
        self._starts_ahead -= step.count_waiting_tasks()

    @property
    def may_look_ahead(self) -> bool:
        """Return whether a step may get advice before its start is within the budget.

        The tickets of steps that start much later would end before.
        """
        return self.start_budget > 0 or self._starts_ahead > 0

    def has_spare_capacity(self, pool: str) -> bool:
        """Return whether so much of a pool is free that workers are not what steps wait for."""
        is_spare = self._spare_pools.get(pool)
        if is_spare is None:
            usable = self.get_usable(pool).values()
            free_processors = sum(worker.free.processors for worker in usable)
            free_memory_mb = sum(worker.free.memory_mb for worker in usable)
            is_spare = self._spare_pools[pool] = free_processors > SPARE_FRACTION * sum(
                w.capacity.processors for w in usable
            ) and free_memory_mb > SPARE_FRACTION * sum(w.capacity.memory_mb for w in usable)
        return is_spare

    def sum_free(self) -> Amounts:
        """Return the free capacity of all usable workers together."""
        total = NO_RESOURCES
        for worker in self._fleet:
            if worker.is_usable(self.now):
                total += self.get_free(worker).get_elementwise_max(NO_RESOURCES)
        return total

    def make_outlook(self, worker: FleetWorker) -> WorkerOutlook:
        """Return the free capacity of a worker and when its tasks are expected to end."""
        releases = self._outlooks.get(worker.id)
        if releases is None:
            releases = sorted(self._list_releases(worker), key=lambda release: release.at)
            self._outlooks[worker.id] = releases
        return WorkerOutlook(worker.id, self.get_free(worker), releases)

    def get_expected_free(self, worker: FleetWorker, *, within_s: float) -> Amounts:
        """Return the capacity of a worker that is free now or expected to be within a time."""
        if not within_s:
            return self.get_free(worker)
        expected = self._expected[within_s].get(worker.id)
        if expected is None:
            expected = self.get_free(worker)
            for release in self.make_outlook(worker).releases:
                if release.at > self.now + within_s:
                    break
                expected += release.amounts
            self._expected[within_s][worker.id] = expected
        return expected

    def iterate_roomy(
        self, pool: str, amounts: Amounts, *, within_s: float
    ) -> Iterator[FleetWorker]:
        """Yield the usable workers on which a task may fit now or within a time."""
        ordered = self._by_room.get((pool, within_s))
        if ordered is None:
            ordered = [
                (self.get_expected_free(worker, within_s=within_s).processors, worker)
                for worker in self.get_usable(pool).values()
            ]
            ordered.sort(key=lambda item: -item[0])
            self._by_room[pool, within_s] = ordered
        for processors, worker in ordered:
            if processors < amounts.processors:
                return
            if amounts.fits_in(self.get_expected_free(worker, within_s=within_s)):
                yield worker

    def earmark(self, step: StepRun, pool: str, *, count: int) -> None:
        """Count once the capacity for the tasks of a step that a request for advice may bring."""
        if step.key not in self._earmarking_steps:
            self._earmarking_steps.add(step.key)
            self._earmarked[pool] += step.amounts * count

    def may_earmark(self, step: StepRun, pool: str) -> bool:
        """Return whether steps of higher rank are expected to leave capacity for a step."""
        if step.key in self._earmarking_steps:
            return True
        expected = self._expected_free.get(pool)
        if expected is None:
            expected = NO_RESOURCES
            for worker in self.get_usable(pool).values():
                free = self.get_expected_free(worker, within_s=EARMARK_HORIZON_S)
                expected += free.get_elementwise_max(NO_RESOURCES)
            self._expected_free[pool] = expected
        left = expected * EARMARK_FACTOR - self._earmarked[pool]
        needed = step.amounts
        # Only what the step needs itself counts: others may be short of something else.
        return (
            (not needed.processors or left.processors >= needed.processors)
            and (not needed.memory_mb or left.memory_mb >= needed.memory_mb)
            and (not needed.accelerators or left.accelerators >= needed.accelerators)
        )

    def _list_releases(self, worker: FleetWorker) -> Iterator[Release]:
        for placement in worker.placements.values():
            at = estimate_end(placement, self.now)
            if at < math.inf:
                yield Release(at, placement.amounts)

    def may_set_aside_early(self, count: int, *, pool: str, fraction: float) -> bool:
        """Return whether a gang that does not fit yet may keep so many workers of a pool."""
        return self._set_aside_early[pool] + count <= len(self.get_usable(pool)) * fraction

    def set_aside(self, step: StepRun, chosen: GangWorkers, *, pool: str) -> None:
        """Keep workers for a gang until it is expected to start."""
        self.waiting_gangs.append((step, chosen))
        if chosen.ready_at > self.now:
            self._early_gang_count += 1
            self._set_aside_early[pool] += len(chosen.workers)
        for worker_id in chosen.workers:
            self._set_aside[worker_id] = (step, chosen.ready_at)

    def share_set_aside(self, other: "PlanningRound") -> None:
        """Keep the same workers set aside as another round, for both from now on."""
        self._set_aside = other._set_aside

    def is_set_aside(self, worker_id: str) -> bool:
        """Return whether a worker is set aside for a gang."""
        return worker_id in self._set_aside

    def may_use(self, worker_id: str, step: StepRun) -> bool:
        """Return whether a step may use a worker: if set aside, its tasks must end in time.

        A step in its turn need not wait for a gang that does not fit yet.
        """
        entry = self._set_aside.get(worker_id)
        if entry is None:
            return True
        gang, ready_at = entry
        if gang is step or (ready_at > self.now and step.key in self.in_turn):
            return True
        return not step.message.long_running and self.now + step.estimate_s <= ready_at
