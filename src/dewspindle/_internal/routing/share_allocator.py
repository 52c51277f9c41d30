"""The leader's division of backend servers' slots between the instances, under leases."""

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

FORGET_INSTANCE_S = 600.0
ADMISSION_TIMEOUTS = 3  # Election timeouts that an instance is listed before it is granted slots.


@dataclass(slots=True)
class Holding:
    """What one instance may use of one backend server."""

    slots: int = 0
    wanted: int = 0
    spare: int = 0
    until: float = 0.0


@dataclass(slots=True)
class InstanceLink:
    """What the leader knows of an instance."""

    request: peers_pb2.ShareRequest
    seen_at: float
    first_seen_at: float
    is_admitted: bool = False
    knows: dict[str, float] = field(default_factory=dict)


class ShareAllocator:
    """Grants slot shares so that their sum never passes what a backend server announced.

    A grant ends only when its holder says so, or when its lease and the longest call that may
    have begun under it are over. A new leader takes over what the holders report and grants
    nothing beyond it until each instance that its predecessor knew has reported, or until every
    lease of its predecessor is over. For that list to be whole, an instance is granted nothing
    before it has been listed for the admission time.
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
        self._links: dict[InstanceId, InstanceLink] = {}
        self._lease_s = settings.share_lease_ms / 1000
        call_s = settings.call_timeout_ms / 1000
        margin_s = settings.lease_margin_ms / 1000
        self._longest_hold_s = self._lease_s + call_s + margin_s
        self._safe_at = timers.now() + self._longest_hold_s
        self._admission_s = settings.election_timeout_ms / 1000 * ADMISSION_TIMEOUTS
        self._missing: set[tuple[InstanceId, int]] | None = None

    @property
    def links(self) -> dict[InstanceId, InstanceLink]:
        """Return the instances by id."""
        return self._links

    def allow_grants(self) -> None:
        """Grant freely at once, as in a cell that never had another leader."""
        self._safe_at = self._timers.now()

    def expect_reports(
        self, listed: Sequence[peers_pb2.InstanceStatus], *, listed_at: float
    ) -> None:
        """Take over which instances the last leader knew, where the list is surely whole."""
        if not listed or self._timers.now() - listed_at > self._admission_s:
            return
        self._missing = {(InstanceId(status.instance_id), status.incarnation) for status in listed}

    def _is_safe(self) -> bool:
        """Tell whether every grant of an earlier leader is known or over."""
        return self._missing == set() or self._timers.now() >= self._safe_at

    async def share(self, request: peers_pb2.ShareRequest) -> peers_pb2.ShareAnswer:
        """Take over an instance's holdings and announcements, and answer with its grants."""
        if not self._replica.holds_lease:
            raise NotLeaderError("the leader's lease has ended")
        link = self._see_instance(request)
        is_admitted = self._is_admitted(request, link)
        for status in request.announcements:
            self._directory.merge(status, sent_at=link.seen_at)
        reported = {share.backend: share for share in request.shares}
        answer = peers_pb2.ShareAnswer(lease_ms=self._settings.share_lease_ms)
        answer.admitted = is_admitted
        is_member = is_admitted and self._is_counted(InstanceId(request.instance_id))
        for backend in self._directory.get_all():
            share = reported.pop(backend.id, peers_pb2.Share(backend=backend.id))
            granted = self._renew(request, backend, share, is_member=is_member)
            if granted or share.slots:
                answer.shares.add(backend=backend.id, slots=granted)
        for share in reported.values():
            self._keep(request, share)
        self._add_news(answer, link)
        answer.instances.extend(self.list_instances())
        if request.leaving and not any(share.in_use for share in request.shares):
            del self._links[InstanceId(request.instance_id)]
        return answer

    def _is_admitted(self, request: peers_pb2.ShareRequest, link: InstanceLink) -> bool:
        identity = (InstanceId(request.instance_id), request.incarnation)
        if self._missing and identity in self._missing:
            self._missing.discard(identity)
            link.is_admitted = True
        is_own = request.instance_id == self._settings.instance_id
        if is_own or self._timers.now() - link.first_seen_at >= self._admission_s:
            link.is_admitted = True
        return link.is_admitted

    def _see_instance(self, request: peers_pb2.ShareRequest) -> InstanceLink:
        link = self._links.get(InstanceId(request.instance_id))
        if link is None or link.request.incarnation != request.incarnation:
            now = self._timers.now()
            link = InstanceLink(request=request, seen_at=now, first_seen_at=now)
            self._links[InstanceId(request.instance_id)] = link
        link.request = request
        link.seen_at = self._timers.now()
        return link

    def _is_counted(self, instance_id: InstanceId) -> bool:
        """Tell whether an instance is among those that connections are split between."""
        now = self._timers.now()
        for other, link in list(self._links.items()):
            if now - link.seen_at > FORGET_INSTANCE_S:
                del self._links[other]
        counted = list(self._links)[: self._settings.max_instances]
        return instance_id in counted

    def _renew(
        self,
        request: peers_pb2.ShareRequest,
        backend: Backend,
        share: peers_pb2.Share,
        *,
        is_member: bool,
    ) -> int:
        """Return what an instance may use of a backend server from now on."""
        holding = self._keep(request, share)
        holdings = self._holdings[BackendId(backend.id)]
        if request.leaving or not is_member or backend.document.state != "ready":
            return min(holding.slots, share.in_use)
        target = self._compute_target(InstanceId(request.instance_id), backend, holdings)
        if target <= holding.slots:
            return max(target, share.in_use)
        free = backend.document.slots - sum(h.slots for h in holdings.values())
        if not self._is_safe():
            free = 0
        holding.slots += max(0, min(target - holding.slots, free))
        return holding.slots

    def _keep(self, request: peers_pb2.ShareRequest, share: peers_pb2.Share) -> Holding:
        """Take over what an instance says it still holds."""
        now = self._timers.now()
        holdings = self._holdings.setdefault(BackendId(share.backend), {})
        self._drop_expired(holdings, now)
        holding = holdings.setdefault(InstanceId(request.instance_id), Holding())
        holding.slots = share.slots
        holding.wanted = share.wanted
        holding.spare = share.spare
        holding.until = now + self._longest_hold_s
        return holding

    def _drop_expired(self, holdings: dict[InstanceId, Holding], now: float) -> None:
        for instance_id, holding in list(holdings.items()):
            if holding.until < now:
                del holdings[instance_id]

    def _compute_target(
        self, instance_id: InstanceId, backend: Backend, holdings: dict[InstanceId, Holding]
    ) -> int:
        """Return an instance's fair part: first of what is needed, then of what is spare."""
        slots = backend.document.slots
        wants = {name: self._get_live_want(name, h) for name, h in holdings.items()}
        needed = divide_fairly(slots, wants, salt=backend.id)
        left = slots - sum(needed.values())
        spares = divide_fairly(
            left, {name: h.spare for name, h in holdings.items()}, salt=backend.id
        )
        return needed[instance_id] + spares[instance_id]

    def _get_live_want(self, instance_id: InstanceId, holding: Holding) -> int:
        link = self._links.get(instance_id)
        if link is None or self._timers.now() - link.seen_at > self._lease_s:
            # A silent instance keeps what it held until that is over, and wants no more.
            return holding.slots
        return holding.wanted

    def _add_news(self, answer: peers_pb2.ShareAnswer, link: InstanceLink) -> None:
        for status in self._list_news(link):
            answer.backends.append(status)

    def _list_news(self, link: InstanceLink) -> Iterable[peers_pb2.BackendStatus]:
        for status in self._directory.list_statuses():
            backend = self._directory.get(status.backend.id)
            assert backend is not None
            if link.knows.get(backend.id) != backend.announced_at:
                link.knows[backend.id] = backend.announced_at
                yield status

    def list_instances(self) -> list[peers_pb2.InstanceStatus]:
        """Return what is known of each instance."""
        now = self._timers.now()
        replicas = {voter.instance_id for voter in self._view.state.membership.voters}
        statuses = []
        for instance_id, link in sorted(self._links.items()):
            request = link.request
            silent_ms = int((now - link.seen_at) * 1000)
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
