"""Command line of the soak."""

import logging
import shutil
import sys
import tempfile
from collections import Counter
from functools import partial
from pathlib import Path
from typing import Annotated

import anyio
import structlog
import typer

from .runs import SoakRun


def run_seeds(
    seeds: Annotated[str, typer.Option(help="First and last seed, as in 1-50.")] = "1-1",
    seconds: Annotated[float, typer.Option(help="For which faults are injected.")] = 20.0,
    replicas: Annotated[int, typer.Option(help="Programs of the cell.")] = 3,
    entries: Annotated[int, typer.Option(help="Programs that callers reach.")] = 2,
    workers: Annotated[int, typer.Option(help="Stand-in workers.")] = 6,
    logs: Annotated[Path | None, typer.Option(help="Where logs of failed seeds go.")] = None,
) -> None:
    """Run seeds one after the other; exit with 1 where a promise was broken."""
    # The stand-ins' servers end with requests open, and would print each of those.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    first, _, last = seeds.partition("-")
    faults: Counter[str] = Counter()
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        folder = Path(tempfile.mkdtemp(prefix="dewspindle-soak-"))
        run = partial(
            run_one, folder, seed=seed, seconds=seconds, sizes=(replicas, entries, workers)
        )
        broken, counts, jobs = anyio.run(run)
        faults += counts
        print(f"seed {seed}: {'BROKEN' if broken else 'held'}, {jobs}", flush=True)
        for line in broken[:10]:
            print(f"  {line}", flush=True)
        failed += bool(broken)
        if broken and logs is not None:
            shutil.copytree(folder, logs / f"seed-{seed}", dirs_exist_ok=True)
        shutil.rmtree(folder)
    print(f"faults: {dict(sorted(faults.items()))}")
    sys.exit(1 if failed else 0)


async def run_one(
    folder: Path, *, seed: int, seconds: float, sizes: tuple[int, int, int]
) -> tuple[list[str], Counter[str], dict[str, int]]:
    """Run one seed; return what was broken, the faults and the jobs by outcome."""
    replicas, entries, workers = sizes
    run = SoakRun(
        folder, seed=seed, seconds=seconds, replicas=replicas, entries=entries, workers=workers
    )
    broken = await run.run()
    return broken, run.counts, run.callers.counts


if __name__ == "__main__":
    typer.run(run_seeds)
