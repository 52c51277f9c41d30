"""Clock, sleeps, timeouts and change signals."""

import time
from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Protocol

import anyio


class TimerService(Protocol):
    """Interface for the clocks, sleeps and timeouts of an instance."""

    def now(self) -> float:
        """Return the seconds of a monotonic clock that includes the time of a suspend."""

    def wall_ms(self) -> int:
        """Return the wall-clock time in milliseconds since the Unix epoch."""

    async def sleep(self, seconds: float) -> None:
        """Sleep for a number of seconds."""

    def fail_after(self, seconds: float) -> AbstractContextManager[object]:
        """Return a context manager that raises `TimeoutError` after a number of seconds."""


class SystemTimerService:
    """Timer service that uses the system clocks."""

    def now(self) -> float:
        """Return the seconds of a monotonic clock that includes the time of a suspend."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_ms(self) -> int:
        """Return the wall-clock time in milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000

    async def sleep(self, seconds: float) -> None:
        """Sleep for a number of seconds."""
        await anyio.sleep(seconds)

    def fail_after(self, seconds: float) -> AbstractContextManager[object]:
        """Return a context manager that raises `TimeoutError` after a number of seconds."""
        return anyio.fail_after(seconds)


async def wait_for_event(timers: TimerService, *, event: anyio.Event, seconds: float) -> bool:
    """Wait for an event with a timeout, and return whether it was set."""
    if event.is_set():
        return True
    if seconds <= 0:
        return False
    try:
        with timers.fail_after(seconds):
            await event.wait()
    except TimeoutError:
        return event.is_set()
    return True


class Signal:
    """Reusable signal that wakes all waiting tasks each time it is set."""

    def __init__(self) -> None:
        # Made on demand, as most signals are set more often than a task waits for them.
        self._event: anyio.Event | None = None
        self._listeners: list[Callable[[], None]] = []

    @property
    def event(self) -> anyio.Event:
        """Return the event that the next call of `set` sets."""
        if self._event is None:
            self._event = anyio.Event()
        return self._event

    def set(self) -> None:
        """Set the current event, let a new one take its place, and call the listeners."""
        event, self._event = self._event, None
        if event is not None:
            event.set()
        for listener in self._listeners:
            listener()

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Register a listener that is called each time the signal is set."""
        self._listeners.append(listener)
