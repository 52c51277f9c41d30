"""An instance's slot shares of backend servers, and queues of calls that wait for a slot."""

import heapq
import itertools
import random
from collections.abc import Collection
from dataclasses import dataclass, field

import anyio

from ..exceptions import DewspindleError
from ..models.enums import Priority
from ..schema import settings_pb2
from ..utils.refusals import Refusal
from ..utils.timers import Signal, TimerService, wait_for_event
from .directory import Backend, BackendDirectory

MIN_SERVICE_TIME_S = 0.0005
SERVICE_TIME_WEIGHT = 0.1  # Of a new sample in the moving average.
SERVICE_TIME_MARGIN = 1.25  # Service times that must remain before the deadline when a call starts.
MIN_LINGER_S = 0.1
MAX_LINGER_S = 2.0
LINGER_FACTOR = 2.0  # Multiple of the average service time.


class CallRefusedError(DewspindleError):
    """A call was refused, and certainly did not run."""

    status = 503

    def __init__(self, refusal: Refusal, detail: str, *, retry_after_s: int = 1) -> None:
        super().__init__(detail)
        self.refusal = refusal
        self.code = refusal.value
        self.retry_after_s = retry_after_s
        if refusal is Refusal.CALLER_LIMIT:
            self.status = 429


@dataclass(slots=True)
class SlotShare:
    """Slots of one backend server granted to this instance and in use by it."""

    granted: int = 0
    leased_until: float = 0.0  # End of the share lease, on this instance's clock.
    assigned_calls: int = 0
    lingering: list[float] = field(
        default_factory=list
    )  # When slots of abandoned calls become free.

    @property
    def in_use(self) -> int:
        """Return how many slots are held by calls or by recently abandoned ones."""
        return self.assigned_calls + len(self.lingering)

    def expire_lingering(self, now: float) -> None:
        """Free the slots of abandoned calls whose linger time has ended."""
        if self.lingering:
            self.lingering = [end for end in self.lingering if end > now]


@dataclass(order=True, slots=True)
class Waiter:
    """A call that waits for a slot, ordered by priority and deadline."""

    rank: int
    deadline: float
    number: int
    ready: anyio.Event = field(compare=False, default_factory=anyio.Event)
    excluded: Collection[str] = field(compare=False, default=())
    backend: Backend | None = field(compare=False, default=None)
    is_finished: bool = field(compare=False, default=False)


class ServiceQueue:
    """Waiting calls of one service, by priority and then by earliest deadline.

    `waiting_count` leaves out waiters that have given up, which stay in the heap for a while.
    """

    def __init__(self) -> None:
        self.waiters: list[Waiter] = []
        self.service_time_s = 0.0
        self.waiting_count = 0

    def record_service_time(self, seconds: float) -> None:
        """Update the moving average of the time that calls hold a slot."""
        if self.service_time_s == 0.0:
            self.service_time_s = seconds
        self.service_time_s += SERVICE_TIME_WEIGHT * (seconds - self.service_time_s)


class SlotShares:
    """Slot shares of all backend servers, and the queues of calls that wait for a slot.

    Assigns slots to calls, within the slots granted for each backend server.
    """

    def __init__(
        self,
        *,
        settings: settings_pb2.Settings,
        directory: BackendDirectory,
        timers: TimerService,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._timers = timers
        self._rng = rng
        self._shares: dict[str, SlotShare] = {}
        self._queues: dict[str, ServiceQueue] = {}
        self._numbers = itertools.count()
        self._renewal_needed = Signal()

    @property
    def renewal_needed(self) -> Signal:
        """Return the signal on which shares are renewed at once.

        It is set when a call finds no free slot, and on each announcement and withdrawal of a
        backend server.
        """
        return self._renewal_needed

    @property
    def in_use(self) -> int:
        """Return how many slots are in use on all backend servers."""
        return sum(share.in_use for share in self._shares.values())

    def get_share(self, backend_id: str) -> SlotShare:
        """Return the share of a backend server, which is created if missing."""
        share = self._shares.get(backend_id)
        if share is None:
            share = self._shares[backend_id] = SlotShare()
        return share

    def get_shares(self) -> dict[str, SlotShare]:
        """Return all shares by backend server id."""
        return self._shares

    def get_queue(self, service: str) -> ServiceQueue:
        """Return the queue of a service, which is created if missing."""
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = ServiceQueue()
        return queue

    def count_waiting(self, service: str) -> int:
        """Return how many calls of a service wait for a slot."""
        queue = self._queues.get(service)
        return queue.waiting_count if queue else 0

    def grant(self, backend_id: str, *, slots: int, leased_until: float) -> None:
        """Replace the grant for a backend server; `leased_until` is on this instance's clock."""
        share = self.get_share(backend_id)
        share.granted = slots
        share.leased_until = leased_until

    def count_free(self, backend: Backend) -> int:
        """Return how many more calls this instance may send to a backend server now."""
        share = self._shares.get(backend.id)
        now = self._timers.now()
        if share is None or now >= share.leased_until:
            return 0
        share.expire_lingering(now)
        limit = share.granted
        if backend.document.connections:
            limit = min(limit, backend.document.connections // self._settings.max_instances)
        return limit - share.in_use

    async def acquire(
        self, service: str, *, priority: Priority, deadline: float, excluded: Collection[str] = ()
    ) -> Backend:
        """Take a slot, and return its backend server; raise `CallRefusedError` if there is none."""
        if not self._directory.list_ready(service):
            raise CallRefusedError(Refusal.NO_BACKEND, f"no backend server serves {service}")
        queue = self.get_queue(service)
        if not queue.waiting_count:
            backend = self._choose(service, excluded)
            if backend is not None:
                self._take(backend)
                return backend
        self._check_queue(queue, service, deadline)
        return await self._wait(queue, service, priority, deadline, excluded)

    def _take(self, backend: Backend) -> None:
        self.get_share(backend.id).assigned_calls += 1
        if backend.ejected_until and self._timers.now() >= backend.ejected_until:
            backend.has_probe_in_progress = True

    def _choose(self, service: str, excluded: Collection[str]) -> Backend | None:
        """Return the backend server with the largest free fraction, preferring this zone."""
        best: Backend | None = None
        best_rank: tuple[bool, float, float] | None = None
        zone = self._settings.availability_zone
        for backend in self._directory.list_ready(service):
            if backend.id in excluded or self._directory.is_ejected(backend):
                continue
            free = self.count_free(backend)
            if free <= 0:
                continue
            rank = (
                backend.document.availability_zone == zone,
                free / backend.document.slots,
                self._rng.random(),
            )
            if best_rank is None or rank > best_rank:
                best, best_rank = backend, rank
        return best

    def _check_queue(self, queue: ServiceQueue, service: str, deadline: float) -> None:
        if queue.waiting_count >= self._settings.call_queue:
            raise CallRefusedError(
                Refusal.QUEUE_FULL,
                f"the queue of {service} is full: {queue.waiting_count} calls are waiting",
                retry_after_s=self._estimate_retry_s(queue, service),
            )
        remaining = deadline - self._timers.now()
        if self._estimate_wait_s(queue, service) > remaining:
            raise CallRefusedError(
                Refusal.DEADLINE_PASSED,  # It would pass while the call waits or runs.
                f"the estimated wait for {service} exceeds the time before the deadline",
                retry_after_s=self._estimate_retry_s(queue, service),
            )

    def _count_granted(self, service: str) -> int:
        backends = self._directory.list_ready(service)
        return sum(self.get_share(backend.id).granted for backend in backends)

    def _estimate_wait_s(self, queue: ServiceQueue, service: str) -> float:
        """Return how long a new call would wait and run, by the average service time."""
        slots = max(1, self._count_granted(service))
        return (queue.waiting_count / slots + SERVICE_TIME_MARGIN) * queue.service_time_s

    def _estimate_retry_s(self, queue: ServiceQueue, service: str) -> int:
        return max(1, round(self._estimate_wait_s(queue, service)))

    async def _wait(
        self,
        queue: ServiceQueue,
        service: str,
        priority: Priority,
        deadline: float,
        excluded: Collection[str],
    ) -> Backend:
        waiter = Waiter(
            rank=priority.rank, deadline=deadline, number=next(self._numbers), excluded=excluded
        )
        heapq.heappush(queue.waiters, waiter)
        queue.waiting_count += 1
        self._renewal_needed.set()
        try:
            # A call that gets a slot later would not end before the deadline.
            remaining = deadline - self._timers.now() - queue.service_time_s * SERVICE_TIME_MARGIN
            await wait_for_event(self._timers, event=waiter.ready, seconds=remaining)
        except BaseException:
            if waiter.backend is not None:
                self.release(waiter.backend)
            raise
        finally:
            if waiter.backend is None:
                queue.waiting_count -= 1
            waiter.is_finished = True
        if waiter.backend is None:
            raise CallRefusedError(
                Refusal.QUEUE_TIMEOUT,
                f"no slot of {service} became free before the deadline",
                retry_after_s=self._estimate_retry_s(queue, service),
            )
        return waiter.backend

    def release(self, backend: Backend, *, held_s: float = 0.0) -> None:
        """Release a slot, and assign it to a waiting call.

        `held_s` counts as a service time of a call, unless it is 0.
        """
        self.get_share(backend.id).assigned_calls -= 1
        if held_s > 0:
            self.get_queue(backend.document.service).record_service_time(
                max(held_s, MIN_SERVICE_TIME_S)
            )
        self.serve_waiting(backend.document.service)

    def release_later(self, backend: Backend) -> None:
        """Release a slot after a linger time, as the backend server may still work on the call."""
        queue = self.get_queue(backend.document.service)
        linger_s = min(MAX_LINGER_S, max(MIN_LINGER_S, queue.service_time_s * LINGER_FACTOR))
        share = self.get_share(backend.id)
        share.assigned_calls -= 1
        share.lingering.append(self._timers.now() + linger_s)

    def serve_waiting(self, service: str) -> None:
        """Assign free slots to the waiting calls of a service, in queue order."""
        queue = self._queues.get(service)
        if queue is None:
            return
        skipped = []
        while queue.waiters:
            waiter = heapq.heappop(queue.waiters)
            if waiter.is_finished:
                continue
            backend = self._choose(service, waiter.excluded)
            if backend is None:
                skipped.append(waiter)
                if not waiter.excluded:
                    break
                continue
            self._take(backend)
            waiter.backend = backend
            queue.waiting_count -= 1
            waiter.ready.set()
        for waiter in skipped:
            heapq.heappush(queue.waiters, waiter)

    def serve_all_waiting(self) -> None:
        """Assign free slots to the waiting calls of all services."""
        for service in list(self._queues):
            self.serve_waiting(service)
