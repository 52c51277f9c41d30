"""Placement decisions per second of the planner and two baselines, by number of workers.

Usage: python -m bench.decisions
"""

import random
import time

from dewspindle._internal.models.resources import Amounts, make_amounts
from dewspindle._internal.schema import cell_pb2

from .results import print_measurement, summarize_ms
from .scheduling_state import BenchState

SIZES = (24, 240, 960)
WAITING_TASKS = 5000
MAX_DECISIONS = 4000


def make_bench_state(workers: int) -> BenchState:
    """Return a cell state with idle workers and `WAITING_TASKS` waiting tasks."""
    bench = BenchState()
    bench.add_workers(workers, zones=3 if workers < 100 else 8)
    for _ in range(WAITING_TASKS // 5):
        bench.submit(5)
    return bench


def measure_planner(workers: int) -> dict[str, float]:
    """Plan and apply until nothing fits or `MAX_DECISIONS` is reached.

    The rate includes the time of `resync`, the percentiles only that of planning.
    """
    bench = make_bench_state(workers)
    planner = bench.make_planner()
    decisions = 0
    durations: list[float] = []
    decision_s = 0.0
    while decisions < MAX_DECISIONS:
        started = time.perf_counter()
        plan = planner.make_plan()
        elapsed_s = time.perf_counter() - started
        if not plan.assignments:
            break
        decision_s += elapsed_s
        decisions += len(plan.assignments)
        durations += [elapsed_s / len(plan.assignments)] * len(plan.assignments)
        body = cell_pb2.PlaceTasks(assignments=plan.assignments)
        bench.apply(cell_pb2.Command(place_tasks=body))
        started = time.perf_counter()
        planner.resync(plan.assignments)
        decision_s += time.perf_counter() - started
    return {
        "decisions": decisions,
        "per_s": round(decisions / decision_s),
        **summarize_ms(durations),
    }


def measure_baseline(workers: int, *, is_random: bool) -> dict[str, float]:
    """Place tasks in order of submission on the first, or on a random, worker that fits."""
    bench = make_bench_state(workers)
    rng = random.Random(1)
    free = {w.message.id: w.free for w in bench.state.worker_table}
    names = list(free)
    durations = []
    for record in bench.state.open_records.values():
        requested = make_amounts(record.resources)
        for _ in record.tasks:
            started = time.perf_counter()
            chosen = _choose_worker(names, free, requested, rng if is_random else None)
            durations.append(time.perf_counter() - started)
            if chosen:
                free[chosen] -= requested
            if len(durations) >= MAX_DECISIONS:
                break
    return {
        "decisions": len(durations),
        "per_s": round(len(durations) / sum(durations)),
        **summarize_ms(durations),
    }


def _choose_worker(
    names: list[str], free: dict[str, Amounts], requested: Amounts, rng: random.Random | None
) -> str | None:
    if rng is not None:
        fitting = [name for name in names if requested.fits_in(free[name])]
        return rng.choice(fitting) if fitting else None
    return next((name for name in names if requested.fits_in(free[name])), None)


def main() -> None:
    """Print the results of each size."""
    for workers in SIZES:
        print_measurement(
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
