"""Renewal of an instance's slot shares, and exchange of backend server announcements."""

import time
from collections import Counter
from collections.abc import Callable

from ..cell.view import CellView
from ..exceptions import DewspindleError
from ..network import methods
from ..network.leader_client import LeaderClient
from ..replication.transport import PeerUnreachableError
from ..schema import peers_pb2, settings_pb2
from ..utils.logs import get_logger
from ..utils.timers import TimerService, wait_for_event
from .directory import BackendDirectory
from .shares import SlotShares

MAX_REQUESTED_CALLS = 1000  # Per service, in one request.
MIN_RENEWAL_GAP_S = 0.003  # Lets calls that arrive together share one request.
SPARE_FRACTION = 0.25  # Spare slots to request, relative to those in use.
IDLE_INTERVALS = 3  # Share intervals between renewals while no slot is in use.

logger = get_logger(__name__)


class ShareClient:
    """Renews shares with the leader at intervals, and at once when that is needed."""

    def __init__(
        self,
        *,
        settings: settings_pb2.Settings,
        view: CellView,
        directory: BackendDirectory,
        shares: SlotShares,
        leader: LeaderClient,
        timers: TimerService,
        is_ready: Callable[[], bool],
        version: str,
    ) -> None:
        self._settings = settings
        self._view = view
        self._directory = directory
        self._shares = shares
        self._leader = leader
        self._timers = timers
        self._is_ready = is_ready
        self._version = version
        self._incarnation = time.time_ns()
        # Of the leader that answered the last renewal; empty if it failed.
        self._renewal_leader_address = ""
        self._is_leaving = False
        self._instances: list[peers_pb2.InstanceStatus] = []
        self._listed_at = float("-inf")
        self._is_admitted = False
        self._rotation = 0

    @property
    def instances(self) -> list[peers_pb2.InstanceStatus]:
        """Return the instances listed in the leader's last answer."""
        return self._instances

    @property
    def listed_at(self) -> float:
        """Return when the request for the last list of instances was sent."""
        return self._listed_at

    @property
    def is_admitted(self) -> bool:
        """Return whether a leader has admitted this instance for grants."""
        return self._is_admitted

    async def run(self) -> None:
        """Renew shares until cancelled."""
        interval_s = self._settings.share_interval_ms / 1000
        while True:
            event = self._shares.renewal_needed.event
            await self.renew()
            self._directory.remove_expired()
            pause_s = interval_s if self._shares.in_use else interval_s * IDLE_INTERVALS
            await self._timers.sleep(MIN_RENEWAL_GAP_S)
            await wait_for_event(self._timers, event=event, seconds=pause_s - MIN_RENEWAL_GAP_S)

    async def renew(self) -> bool:
        """Renew shares once, and return whether the leader answered."""
        sent_at = self._timers.now()
        request = self._make_request(sent_at)
        try:
            answer = await self._leader.send(
                methods.SHARE,
                request,
                timeout_s=self._settings.share_lease_ms / 2000,
                is_idempotent=False,
            )
        except (DewspindleError, PeerUnreachableError) as error:
            logger.debug("shares not renewed", why=str(error))
            self._renewal_leader_address = ""
            return False
        self._renewal_leader_address = self._view.leader_address
        self._apply_answer(answer, sent_at)
        return True

    def _make_request(self, now: float) -> peers_pb2.ShareRequest:
        is_new_leader = self._view.leader_address != self._renewal_leader_address
        request = peers_pb2.ShareRequest(
            instance_id=self._settings.instance_id,
            availability_zone=self._settings.availability_zone,
            announcements=self._list_announcements(is_new_leader=is_new_leader),
            revision=self._view.revision,
            age_ms=max(0, min(int(min(self._view.age_s, 1e6) * 1000), 1 << 31)),
            ready=self._is_ready(),
            leaving=self._is_leaving,
            version=self._version,
            http_address=self._settings.http_address,
            incarnation=self._incarnation,
        )
        backends = [backend.id for backend in self._directory.get_all()]
        known = self._shares.get_shares()
        extra = self._distribute_waiting()
        for backend_id in {**dict.fromkeys(backends), **dict.fromkeys(known)}:
            share = self._shares.get_share(backend_id)
            share.expire_lingering(now)
            self._shrink_expired(backend_id, now)
            request.shares.add(
                backend=backend_id,
                slots=max(share.granted, share.in_use),
                in_use=share.in_use,
                wanted=share.in_use + extra.get(backend_id, 0),
                spare=1 + int(share.in_use * SPARE_FRACTION),
            )
        return request

    def _distribute_waiting(self) -> dict[str, int]:
        """Return for how many waiting calls a slot is requested from each backend server.

        Each call requests one slot in total, so that a few waiting calls do not take slots away
        from other instances on every backend server.
        """
        extra: Counter[str] = Counter()
        for service in {backend.document.service for backend in self._directory.get_all()}:
            backends = self._directory.list_ready(service)
            waiting = min(self._shares.count_waiting(service), MAX_REQUESTED_CALLS)
            if not backends or not waiting:
                continue
            self._rotation += 1
            for number in range(waiting):
                extra[backends[(self._rotation + number) % len(backends)].id] += 1
        return extra

    def _list_announcements(self, *, is_new_leader: bool) -> list[peers_pb2.BackendStatus]:
        updates = self._directory.take_updates()
        return self._directory.list_statuses() if is_new_leader else updates

    def _shrink_expired(self, backend_id: str, now: float) -> None:
        """Give up slots whose share lease has expired, except those of calls still in progress."""
        share = self._shares.get_share(backend_id)
        if now >= share.leased_until:
            share.granted = share.in_use

    def _apply_answer(self, answer: peers_pb2.ShareAnswer, sent_at: float) -> None:
        for status in answer.backends:
            self._directory.merge(status, as_of=sent_at)
        leased_until = sent_at + answer.lease_ms / 1000
        granted = {share.backend: share.slots for share in answer.shares}
        for backend_id in {*granted, *self._shares.get_shares()}:
            self._shares.grant(
                backend_id, slots=granted.get(backend_id, 0), leased_until=leased_until
            )
        self._instances = list(answer.instances)
        self._listed_at = sent_at
        if answer.admitted and not self._is_admitted:
            self._is_admitted = True
            self._view.signal.set()
        self._shares.serve_all_waiting()

    async def leave(self) -> None:
        """Return to the leader all slots that are not in use."""
        self._is_leaving = True
        await self.renew()
