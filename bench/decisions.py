"""Decisions a second of the planner beside two plain baselines, by number of workers.

Usage: python -m bench.decisions
"""

import random
import time

from dewspindle._internal.models.resources import Amounts, make_amounts
from dewspindle._internal.schema import cell_pb2

from .figures import show, summarize_ms
from .scheduling_state import BenchState

SIZES = (24, 240, 960)
WAITING = 5000
MAX_DECISIONS = 4000


def prepare(workers: int) -> BenchState:
    """Return a cell with idle workers and thousands of waiting tasks."""
    bench = BenchState()
    bench.add_workers(workers, zones=3 if workers < 100 else 8)
    for _ in range(WAITING // 5):
        bench.submit(5)
    return bench


def measure_planner(workers: int) -> dict[str, float]:
    """Plan and apply until nothing fits, and return decisions a second."""
    bench = prepare(workers)
    planner = bench.make_planner()
    decisions = 0
    durations: list[float] = []
    deciding = 0.0
    while decisions < MAX_DECISIONS:
        started = time.perf_counter()
        plan = planner.make_plan()
        took = time.perf_counter() - started
        if not plan.assignments:
            break
        deciding += took
        decisions += len(plan.assignments)
        durations += [took / len(plan.assignments)] * len(plan.assignments)
        body = cell_pb2.PlaceTasks(assignments=plan.assignments)
        bench.apply(cell_pb2.Command(place_tasks=body))
        started = time.perf_counter()
        planner.resync(plan.assignments)
        deciding += time.perf_counter() - started
    return {
        "decisions": decisions,
        "per_s": round(decisions / deciding),
        **summarize_ms(durations),
    }


def measure_baseline(workers: int, *, is_random: bool) -> dict[str, float]:
    """Take the waiting tasks first come first, on the first or a random worker that fits."""
    bench = prepare(workers)
    rng = random.Random(1)
    free = {a.message.id: a.free for a in bench.state.worker_table}
    names = list(free)
    durations = []
    for record in bench.state.open_records.values():
        need = make_amounts(record.resources)
        for _ in record.tasks:
            started = time.perf_counter()
            chosen = _choose(names, free, need, rng if is_random else None)
            durations.append(time.perf_counter() - started)
            if chosen:
                free[chosen] -= need
            if len(durations) >= MAX_DECISIONS:
                break
    return {
        "decisions": len(durations),
        "per_s": round(len(durations) / sum(durations)),
        **summarize_ms(durations),
    }


def _choose(
    names: list[str], free: dict[str, Amounts], need: Amounts, rng: random.Random | None
) -> str | None:
    if rng is not None:
        fitting = [name for name in names if need.fits_in(free[name])]
        return rng.choice(fitting) if fitting else None
    return next((name for name in names if need.fits_in(free[name])), None)


def main() -> None:
    """Print the figures of each size."""
    for workers in SIZES:
        show(
            "decisions",
            {
                "workers": workers,
                "planner": measure_planner(workers),
                "first_fit": measure_baseline(workers, is_random=False),
                "random": measure_baseline(workers, is_random=True),
            },
        )


if __name__ == "__main__":
    main()
