"""Leader-side allocation of backend servers' slots to instances under leases."""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from ..cell.view import CellView
from ..exceptions import NotLeaderError
from ..models.ids import BackendId, InstanceId
from ..replication.replica import Replica
from ..schema import peers_pb2, settings_pb2
from ..utils.timers import TimerService
from .directory import Backend, BackendDirectory
from .fair_division import divide_fairly

INSTANCE_RETENTION_S = 600.0  # After an instance's last request.
# Election timeouts between an instance's first request and its admission.
ADMISSION_ELECTION_TIMEOUTS = 3


@dataclass(slots=True)
class Holding:
    """Slots of one backend server that one instance holds and asks for."""

    slots: int = 0
    wanted: int = 0  # Slots in use or needed by waiting calls.
    spare: int = 0  # Idle slots asked for in addition.
    retained_until: float = 0.0  # When the share lease and the longest call begun under it end.


@dataclass(slots=True)
class InstanceInfo:
    """State of an instance as known to the leader."""

    request: peers_pb2.ShareRequest
    seen_at: float
    first_seen_at: float
    is_admitted: bool = False
    sent_announcements: dict[str, float] = field(default_factory=dict)


class ShareAllocator:
    """Grants slot shares whose sum never exceeds the slots that a backend server announced.

    A grant ends only when its holder gives it up, or when its lease and the longest call that may
    have begun under it have ended. A new leader accepts the shares that instances report and
    divides only the slots in them until each instance known to its predecessor has reported, or
    until all leases of its predecessor have ended. It knows them from the list of instances that
    each leader sends in its answers. An instance is therefore granted slots only once it is
    admitted, which is when it has been listed long enough for every likely next leader to know of
    it.
    """

    def __init__(
        self,
        *,
        replica: Replica,
        view: CellView,
        directory: BackendDirectory,
        settings: settings_pb2.Settings,
        timers: TimerService,
    ) -> None:
        self._replica = replica
        self._view = view
        self._directory = directory
        self._settings = settings
        self._timers = timers
        self._holdings: dict[BackendId, dict[InstanceId, Holding]] = {}
        self._instances: dict[InstanceId, InstanceInfo] = {}
        self._lease_s = settings.share_lease_ms / 1000
        call_s = settings.call_timeout_ms / 1000
        margin_s = settings.lease_margin_ms / 1000
        self._max_hold_s = self._lease_s + call_s + margin_s
        self._grants_allowed_at = timers.now() + self._max_hold_s
        self._admission_s = settings.election_timeout_ms / 1000 * ADMISSION_ELECTION_TIMEOUTS
        # Instances known to the predecessor that have not reported; None if its list is unknown.
        self._unreported: set[tuple[InstanceId, int]] | None = None
        # Slots that instances held at their first report to this leader. Instances that have not
        # reported can hold none of these.
        self._reported_slots: Counter[BackendId] = Counter()

    @property
    def instances(self) -> dict[InstanceId, InstanceInfo]:
        """Return the state of the instances by id."""
        return self._instances

    def allow_grants(self) -> None:
        """Allow grants at once, for a cell that has had no earlier leader."""
        self._grants_allowed_at = self._timers.now()

    def expect_reports(
        self, listed: Sequence[peers_pb2.InstanceStatus], *, listed_at: float
    ) -> None:
        """Set which instances must report before grants, if the list is recent enough.

        An older list may lack instances that were admitted since. Without a list, grants wait until
        all earlier leases have ended.
        """
        if not listed or self._timers.now() - listed_at > self._admission_s:
            return
        self._unreported = {
            (InstanceId(status.instance_id), status.incarnation) for status in listed
        }

    def _knows_all_grants(self) -> bool:
        """Return whether all grants of earlier leaders are known or have ended."""
        return self._unreported == set() or self._timers.now() >= self._grants_allowed_at

    def _count_divisible(self, backend: Backend) -> int:
        """Return how many slots of a backend server may be divided between the instances.

        While some grants of earlier leaders are unknown, these are only the reported slots.
        """
        slots = backend.document.slots
        if self._knows_all_grants():
            return slots
        return min(slots, self._reported_slots[BackendId(backend.id)])

    async def renew_shares(self, request: peers_pb2.ShareRequest) -> peers_pb2.ShareAnswer:
        """Process an instance's holdings and announcements, and return its grants."""
        if not self._replica.may_act_as_leader:
            raise NotLeaderError("this replica may not act as the leader")
        info = self._update_instance(request)
        is_admitted = self._update_admission(request, info)
        for status in request.announcements:
            self._directory.merge(status, as_of=info.seen_at)
        reported = {share.backend: share for share in request.shares}
        answer = peers_pb2.ShareAnswer(lease_ms=self._settings.share_lease_ms)
        answer.admitted = is_admitted
        may_hold_slots = is_admitted and self._is_within_max_instances(
            InstanceId(request.instance_id)
        )
        for backend in self._directory.get_all():
            share = reported.pop(backend.id, peers_pb2.Share(backend=backend.id))
            granted = self._renew_share(request, backend, share, may_hold_slots=may_hold_slots)
            if granted or share.slots:
                answer.shares.add(backend=backend.id, slots=granted)
        for share in reported.values():
            self._update_holding(request, share)
        self._add_updates(answer, info)
        answer.instances.extend(self.list_instances())
        if request.leaving and not any(share.in_use for share in request.shares):
            del self._instances[InstanceId(request.instance_id)]
        return answer

    def _update_admission(self, request: peers_pb2.ShareRequest, info: InstanceInfo) -> bool:
        """Admit an instance that has been known long enough, and return whether it is admitted."""
        identity = (InstanceId(request.instance_id), request.incarnation)
        if self._unreported and identity in self._unreported:
            self._unreported.discard(identity)
            info.is_admitted = True
        is_own = request.instance_id == self._settings.instance_id
        if is_own or self._timers.now() - info.first_seen_at >= self._admission_s:
            info.is_admitted = True
        return info.is_admitted

    def _update_instance(self, request: peers_pb2.ShareRequest) -> InstanceInfo:
        info = self._instances.get(InstanceId(request.instance_id))
        if info is None or info.request.incarnation != request.incarnation:
            now = self._timers.now()
            info = InstanceInfo(request=request, seen_at=now, first_seen_at=now)
            self._instances[InstanceId(request.instance_id)] = info
        info.request = request
        info.seen_at = self._timers.now()
        return info

    def _is_within_max_instances(self, instance_id: InstanceId) -> bool:
        """Return whether an instance is among the first max_instances, by their first request.

        Others get no slots, as a backend server's connections are divided by max_instances.
        """
        now = self._timers.now()
        for other, info in list(self._instances.items()):
            if now - info.seen_at > INSTANCE_RETENTION_S:
                del self._instances[other]
        counted = list(self._instances)[: self._settings.max_instances]
        return instance_id in counted

    def _renew_share(
        self,
        request: peers_pb2.ShareRequest,
        backend: Backend,
        share: peers_pb2.Share,
        *,
        may_hold_slots: bool,
    ) -> int:
        """Return the slots of a backend server that an instance may use from now on."""
        holding = self._update_holding(request, share)
        holdings = self._holdings[BackendId(backend.id)]
        if request.leaving or not may_hold_slots or backend.document.state != "ready":
            return min(holding.slots, share.in_use)
        slots = self._count_divisible(backend)
        target = self._compute_target(InstanceId(request.instance_id), backend, holdings, slots)
        if target <= holding.slots:
            return max(target, share.in_use)
        free = slots - sum(h.slots for h in holdings.values())
        holding.slots += max(0, min(target - holding.slots, free))
        return holding.slots

    def _update_holding(self, request: peers_pb2.ShareRequest, share: peers_pb2.Share) -> Holding:
        """Update an instance's holding from the share that it reports."""
        now = self._timers.now()
        backend_id = BackendId(share.backend)
        instance_id = InstanceId(request.instance_id)
        holdings = self._holdings.setdefault(backend_id, {})
        self._drop_expired(holdings, now)
        if instance_id not in holdings:
            self._reported_slots[backend_id] += share.slots
        holding = holdings.setdefault(instance_id, Holding())
        holding.slots = share.slots
        holding.wanted = share.wanted
        holding.spare = share.spare
        holding.retained_until = now + self._max_hold_s
        return holding

    def _drop_expired(self, holdings: dict[InstanceId, Holding], now: float) -> None:
        for instance_id, holding in list(holdings.items()):
            if holding.retained_until < now:
                del holdings[instance_id]

    def _compute_target(
        self,
        instance_id: InstanceId,
        backend: Backend,
        holdings: dict[InstanceId, Holding],
        slots: int,
    ) -> int:
        """Return an instance's fair share of the divisible slots of a backend server.

        The slots are divided by demand, and those that remain by the spare slots asked for.
        """
        demands = {name: self._get_demand(name, h) for name, h in holdings.items()}
        needed = divide_fairly(slots, demands, salt=backend.id)
        remaining = slots - sum(needed.values())
        spares = divide_fairly(
            remaining, {name: h.spare for name, h in holdings.items()}, salt=backend.id
        )
        return needed[instance_id] + spares[instance_id]

    def _get_demand(self, instance_id: InstanceId, holding: Holding) -> int:
        info = self._instances.get(instance_id)
        if info is None or self._timers.now() - info.seen_at > self._lease_s:
            # An instance without requests for a lease time keeps its slots until they expire, and
            # demands no more.
            return holding.slots
        return holding.wanted

    def _add_updates(self, answer: peers_pb2.ShareAnswer, info: InstanceInfo) -> None:
        for status in self._take_updates(info):
            answer.backends.append(status)

    def _take_updates(self, info: InstanceInfo) -> Iterable[peers_pb2.BackendStatus]:
        """Yield the statuses not sent to an instance yet, and mark them as sent."""
        for status in self._directory.list_statuses():
            backend = self._directory.get(status.backend.id)
            assert backend is not None
            if info.sent_announcements.get(backend.id) != backend.announced_at:
                info.sent_announcements[backend.id] = backend.announced_at
                yield status

    def list_instances(self) -> list[peers_pb2.InstanceStatus]:
        """Return the status of each instance."""
        now = self._timers.now()
        # The field `replica` is set for voters only, not for learners.
        replicas = {voter.instance_id for voter in self._view.state.membership.voters}
        statuses = []
        for instance_id, info in sorted(self._instances.items()):
            request = info.request
            silent_ms = int((now - info.seen_at) * 1000)
            statuses.append(
                peers_pb2.InstanceStatus(
                    instance_id=instance_id,
                    availability_zone=request.availability_zone,
                    revision=request.revision,
                    age_ms=request.age_ms + silent_ms,
                    ready=request.ready and silent_ms < self._settings.fence_after_ms,
                    leader=instance_id == self._settings.instance_id,
                    replica=instance_id in replicas,
                    lag=max(0, self._view.revision - request.revision),
                    version=request.version,
                    incarnation=request.incarnation,
                )
            )
        return statuses
