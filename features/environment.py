"""One event loop for each scenario."""

import asyncio
import shutil
import tempfile
import time
from pathlib import Path
from typing import Any

import structlog

MAX_STEP_CPU_S = 8.0  # A step that spins fails, however busy the machine is with other work.
MAX_STEP_S = 120.0  # A step that hangs fails.
CHECK_INTERVAL_S = 0.25


def before_all(context: Any) -> None:
    """Keep the log lines of the program out of the report."""
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())


def before_scenario(context: Any, scenario: Any) -> None:
    """Make a loop, a folder and a way to run coroutines."""
    context.folder = Path(tempfile.mkdtemp(prefix="dewspindle-test-"))
    context.runner = asyncio.Runner()

    def run(coroutine: Any) -> Any:
        return context.runner.run(run_limited(coroutine))

    context.run = run
    context.closers = []


async def run_limited(coroutine: Any) -> Any:
    """Await a step; raise `TimeoutError` where it spins or hangs."""
    task = asyncio.ensure_future(coroutine)
    spin_limit = time.process_time() + MAX_STEP_CPU_S
    hang_limit = time.monotonic() + MAX_STEP_S
    while not task.done():
        await asyncio.wait({task}, timeout=CHECK_INTERVAL_S)
        if task.done():
            break
        if time.process_time() > spin_limit or time.monotonic() > hang_limit:
            task.cancel()
            await asyncio.wait({task}, timeout=CHECK_INTERVAL_S)
            raise TimeoutError("the step spins or hangs")
    return task.result()


def after_scenario(context: Any, scenario: Any) -> None:
    """Close what the scenario opened."""
    for close in reversed(context.closers):
        close()
    context.runner.close()
    shutil.rmtree(context.folder)
