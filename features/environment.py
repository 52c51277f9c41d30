"""Hooks that give each scenario an event loop, a folder and limits on its steps."""

import asyncio
import shutil
import tempfile
import time
from pathlib import Path
from typing import Any

from dewspindle._internal.utils.local_ports import release_addresses
from features.lib import known_faults

MAX_STEP_CPU_S = 8.0  # Fails a step that spins, however busy the machine is otherwise.
MAX_STEP_S = 120.0  # Fails a step that hangs.
CHECK_INTERVAL_S = 0.25


def before_all(context: Any) -> None:
    """Record the program's log events instead of printing them."""
    known_faults.install()


def before_scenario(context: Any, scenario: Any) -> None:
    """Give the scenario an event loop, a folder and a function that runs coroutines with limits."""
    known_faults.clear()
    context.folder = Path(tempfile.mkdtemp(prefix="dewspindle-test-"))
    context.runner = asyncio.Runner()

    def run(coroutine: Any) -> Any:
        return context.runner.run(run_limited(coroutine))

    context.run = run
    context.closers = []


async def run_limited(coroutine: Any) -> Any:
    """Await a step's coroutine; raise `TimeoutError` if it spins or hangs."""
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
            raise TimeoutError("the step exceeded its limit of processor time or of elapsed time")
    return task.result()


def after_scenario(context: Any, scenario: Any) -> None:
    """Report the sign of a known fault after a failure, then close resources in reverse order."""
    if scenario.status.has_failed():
        known_faults.report_sign(context, scenario)
    for close in reversed(context.closers):
        close()
    context.runner.close()
    shutil.rmtree(context.folder)
    release_addresses()
