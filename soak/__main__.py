"""Command line of the soak test."""

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
    seeds: Annotated[str, typer.Option(help="First and last seed, for example 1-50.")] = "1-1",
    seconds: Annotated[float, typer.Option(help="How long faults are injected.")] = 20.0,
    replicas: Annotated[int, typer.Option(help="Number of replicas in the cell.")] = 3,
    entries: Annotated[
        int, typer.Option(help="Number of entry instances that callers connect to.")
    ] = 2,
    workers: Annotated[int, typer.Option(help="Number of simulated workers.")] = 6,
    logs: Annotated[
        Path | None, typer.Option(help="Directory for the logs of failed seeds.")
    ] = None,
) -> None:
    """Run seeds one after another; exit with status 1 if there was a violation."""
    # Servers of the simulated workers and advisor stop while requests are open and would log an
    # error for each.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    first, _, last = seeds.partition("-")
    faults: Counter[str] = Counter()
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        directory = Path(tempfile.mkdtemp(prefix="dewspindle-soak-"))
        run = partial(
            run_seed, directory, seed=seed, seconds=seconds, sizes=(replicas, entries, workers)
        )
        violations, fault_counts, jobs = anyio.run(run)
        faults += fault_counts
        print(f"seed {seed}: {'FAILED' if violations else 'passed'}, {jobs}", flush=True)
        for line in violations[:10]:
            print(f"  {line}", flush=True)
        failed += bool(violations)
        if violations and logs is not None:
            shutil.copytree(directory, logs / f"seed-{seed}", dirs_exist_ok=True)
        shutil.rmtree(directory)
    print(f"faults: {dict(sorted(faults.items()))}")
    sys.exit(1 if failed else 0)


async def run_seed(
    directory: Path, *, seed: int, seconds: float, sizes: tuple[int, int, int]
) -> tuple[list[str], Counter[str], dict[str, int]]:
    """Run one seed; return the violations, fault counts and answer counts."""
    replicas, entries, workers = sizes
    run = SoakRun(
        directory, seed=seed, seconds=seconds, replicas=replicas, entries=entries, workers=workers
    )
    violations = await run.run()
    most_used = {f"most used by {team}": cpu for team, cpu in run.fleet.most_used.items()}
    counts = run.callers.outcome_counts | run.callers.key_checks.answer_counts | most_used
    return violations, run.fault_counts, dict(sorted(counts.items()))


if __name__ == "__main__":
    typer.run(run_seeds)
