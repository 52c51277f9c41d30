"""Runs one case: exit status 1 if the rule was broken, 0 if it held, 2 if the case did not run."""

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from .record import Record, SetupError
from .system import System

LIMIT_S = 112.0


def run_case(
    folder: Path,
    play: Callable[[System, bool], Awaitable[list[str]]],
    *,
    seed: int,
    cells: int = 5,
    entries: int = 3,
) -> int:
    """Play a case, which returns the breaks of its rule, and return the exit status."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run(record: Record) -> list[str]:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        system = System(record, seed=seed, cells=cells, entries=entries)
        try:
            async with asyncio.timeout(LIMIT_S):
                return await play(system, has_trouble)
        finally:
            system.close()
            await asyncio.sleep(0.1)  # Connections are closed by the event loop.

    with Record(folder / "record.txt") as record:
        record.write(f"TROUBLE={int(has_trouble)} seed {seed}")
        try:
            breaks = asyncio.run(run(record))
        except (SetupError, TimeoutError, OSError, asyncio.CancelledError) as error:
            record.conclude(f"the case could not run: {error or type(error).__name__}")
            return 2
        except Exception:
            record.conclude(f"the case could not run: {traceback.format_exc()}")
            return 2
        for text in breaks:
            record.conclude(f"BROKEN: {text}")
        record.conclude("the rule was broken" if breaks else "the rule held")
        return 1 if breaks else 0


def main(folder: str, play: Callable[[System, bool], Awaitable[list[str]]], **options: int) -> None:
    """Run a case with the seed of the command line, 1 if there is none."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    sys.exit(run_case(Path(folder).resolve().parent, play, seed=seed, **options))
