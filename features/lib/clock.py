"""Time that tests move by hand."""

import asyncio
import heapq
import itertools
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import anyio

START_MS = 1_750_000_000_000


async def run_until_idle() -> None:
    """Let every other task go on until all of them wait."""
    ready = asyncio.get_running_loop()._ready  # type: ignore[attr-defined]
    while True:
        await asyncio.sleep(0)
        if not ready:
            return


class Alarm:
    """A call that is due at a time."""

    def __init__(self, call: Callable[[], None]) -> None:
        self.call = call
        self.is_off = False
        self.has_rung = False


class ManualClock:
    """Holds the time and the alarms of every node."""

    def __init__(self) -> None:
        self.now = 1000.0
        self._alarms: list[tuple[float, int, ManualTimerService, Alarm]] = []
        self._numbers = itertools.count()
        self._checks: list[Callable[[], None]] = []

    def make_timers(self) -> "ManualTimerService":
        """Return a timer service that follows the clock."""
        return ManualTimerService(self)

    def add_check(self, check: Callable[[], None]) -> None:
        """Call a check each time that everything has settled."""
        self._checks.append(check)

    def set_alarm(self, owner: "ManualTimerService", seconds: float, alarm: Alarm) -> None:
        when = self.now + max(0.0, seconds)
        heapq.heappush(self._alarms, (when, next(self._numbers), owner, alarm))

    async def settle(self) -> None:
        """Let every task go on until it waits, then check."""
        await run_until_idle()
        for check in self._checks:
            check()

    async def advance(self, seconds: float) -> None:
        """Move the time, ringing the alarms that fall due one by one."""
        target = self.now + seconds
        await self.settle()
        while self._alarms and self._alarms[0][0] <= target:
            when, _, owner, alarm = heapq.heappop(self._alarms)
            if alarm.is_off:
                continue
            self.now = max(self.now, when)
            owner.ring(alarm)
            await self.settle()
        self.now = target
        await self.settle()

    async def advance_until(self, condition: Callable[[], bool], *, seconds: float) -> bool:
        """Move the time until a condition holds, and tell whether it came to hold."""
        deadline = self.now + seconds
        await self.settle()
        while not condition():
            if self.now >= deadline:
                return False
            await self.advance(0.02)
        return True


class ManualTimerService:
    """Timer service of one node; a paused node's alarms ring once it goes on."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self._paused: list[Alarm] | None = None

    def now(self) -> float:
        return self._clock.now

    def wall_ms(self) -> int:
        return START_MS + int(self._clock.now * 1000)

    async def sleep(self, seconds: float) -> None:
        event = anyio.Event()
        alarm = Alarm(event.set)
        self._clock.set_alarm(self, seconds, alarm)
        try:
            await event.wait()
        finally:
            alarm.is_off = True

    @contextmanager
    def fail_after(self, seconds: float) -> Iterator[object]:
        scope = anyio.CancelScope()
        alarm = Alarm(scope.cancel)
        self._clock.set_alarm(self, seconds, alarm)
        try:
            with scope:
                yield scope
        finally:
            alarm.is_off = True
        if scope.cancelled_caught and alarm.has_rung:
            raise TimeoutError

    @property
    def is_paused(self) -> bool:
        return self._paused is not None

    def ring(self, alarm: Alarm) -> None:
        if self._paused is not None:
            self._paused.append(alarm)
            return
        alarm.has_rung = True
        alarm.call()

    def pause(self) -> None:
        """Stop ringing, as in a process that is stopped."""
        if self._paused is None:
            self._paused = []

    def resume(self) -> None:
        """Ring all that fell due meanwhile."""
        alarms, self._paused = self._paused or [], None
        for alarm in alarms:
            if not alarm.is_off:
                self.ring(alarm)
