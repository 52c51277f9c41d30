"""Clock and timers that tests advance explicitly."""

import asyncio
import heapq
import itertools
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import anyio

WALL_CLOCK_START_MS = 1_750_000_000_000


async def run_until_idle() -> None:
    """Run all other tasks of the event loop until each of them waits."""
    ready = asyncio.get_running_loop()._ready  # type: ignore[attr-defined]
    while True:
        await asyncio.sleep(0)
        if not ready:
            return


class Timer:
    """A call that is scheduled for a given time, and runs unless it is cancelled before."""

    def __init__(self, call: Callable[[], None]) -> None:
        self.call = call
        self.is_cancelled = False
        self.has_fired = False


class ManualClock:
    """The time and the scheduled timers of all nodes."""

    def __init__(self) -> None:
        self.now = 1000.0
        self._scheduled: list[tuple[float, int, ManualTimerService, Timer]] = []
        self._sequence = itertools.count()
        self._checks: list[Callable[[], None]] = []

    def make_timers(self) -> "ManualTimerService":
        """Return a timer service that follows this clock."""
        return ManualTimerService(self)

    def add_check(self, check: Callable[[], None]) -> None:
        """Add a check to be called each time all tasks have become idle."""
        self._checks.append(check)

    def schedule(self, owner: "ManualTimerService", seconds: float, timer: Timer) -> None:
        when = self.now + max(0.0, seconds)
        heapq.heappush(self._scheduled, (when, next(self._sequence), owner, timer))

    async def settle(self) -> None:
        """Run all tasks until they wait, then call the checks."""
        await run_until_idle()
        for check in self._checks:
            check()

    async def advance(self, seconds: float) -> None:
        """Advance the time, firing the timers that fall due one by one."""
        target = self.now + seconds
        await self.settle()
        while self._scheduled and self._scheduled[0][0] <= target:
            when, _, owner, timer = heapq.heappop(self._scheduled)
            if timer.is_cancelled:
                continue
            self.now = max(self.now, when)
            owner.fire(timer)
            await self.settle()
        self.now = target
        await self.settle()

    async def advance_until(self, condition: Callable[[], bool], *, seconds: float) -> bool:
        """Advance the time until a condition holds, and return whether it does."""
        deadline = self.now + seconds
        await self.settle()
        while not condition():
            if self.now >= deadline:
                return False
            await self.advance(0.02)
        return True


class ManualTimerService:
    """Timer service of one node; timers due during a pause fire when it resumes.

    The time itself goes on during a pause, as it does for a process that is stopped.
    """

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self._deferred: list[Timer] | None = None  # Due during the pause; None while not paused.

    def now(self) -> float:
        return self._clock.now

    def wall_ms(self) -> int:
        return WALL_CLOCK_START_MS + int(self._clock.now * 1000)

    async def sleep(self, seconds: float) -> None:
        event = anyio.Event()
        timer = Timer(event.set)
        self._clock.schedule(self, seconds, timer)
        try:
            await event.wait()
        finally:
            timer.is_cancelled = True

    @contextmanager
    def fail_after(self, seconds: float) -> Iterator[object]:
        scope = anyio.CancelScope()
        timer = Timer(scope.cancel)
        self._clock.schedule(self, seconds, timer)
        try:
            with scope:
                yield scope
        finally:
            timer.is_cancelled = True
        if scope.cancelled_caught and timer.has_fired:
            raise TimeoutError

    @property
    def is_paused(self) -> bool:
        return self._deferred is not None

    def fire(self, timer: Timer) -> None:
        if self._deferred is not None:
            self._deferred.append(timer)
            return
        timer.has_fired = True
        timer.call()

    def pause(self) -> None:
        """Defer the timers that fall due until `resume`."""
        if self._deferred is None:
            self._deferred = []

    def resume(self) -> None:
        """Fire the timers that fell due during the pause."""
        timers, self._deferred = self._deferred or [], None
        for timer in timers:
            if not timer.is_cancelled:
                self.fire(timer)
