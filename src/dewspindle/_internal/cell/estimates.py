"""Estimates of run times and resource use, from finished tasks and reported usage."""

import math

from ..models.resources import Amounts, make_amounts
from ..schema import cell_pb2
from .state import CellState

NEWEST_SAMPLE_WEIGHT = 0.2  # In the exponential moving averages.
MAX_ESTIMATES = 5000


def _get_estimate(state: CellState, record: cell_pb2.Record) -> cell_pb2.Learnt:
    key = (record.team, record.name)
    estimate = state.estimates.get(key)
    if estimate is None:
        if len(state.estimates) >= MAX_ESTIMATES:
            del state.estimates[next(iter(state.estimates))]
        estimate = cell_pb2.Learnt(team=record.team, name=record.name)
        state.estimates[key] = estimate
    return estimate


def update_run_estimate(state: CellState, record: cell_pb2.Record, task: cell_pb2.Task) -> None:
    """Update the run-time estimate from a task that succeeded."""
    started_ms = task.started_ms or task.placed_ms
    run_s = (state.at_ms - started_ms) / 1000
    estimate = _get_estimate(state, record)
    if estimate.samples == 0:
        estimate.run_s = run_s
    else:
        estimate.run_s += NEWEST_SAMPLE_WEIGHT * (run_s - estimate.run_s)
    estimate.samples += 1


def update_usage_estimate(
    state: CellState, record: cell_pb2.Record, report: cell_pb2.TaskReport
) -> None:
    """Update the estimated peak usage of a record's tasks, which decays slowly."""
    estimate = _get_estimate(state, record)
    estimate.processors = max(
        report.processors, estimate.processors * (1 - NEWEST_SAMPLE_WEIGHT / 10)
    )
    estimate.memory_mb = max(report.memory_mb, estimate.memory_mb * (1 - NEWEST_SAMPLE_WEIGHT / 10))


def estimate_task_resources(state: CellState, record: cell_pb2.Record) -> Amounts:
    """Return the resources to reserve for one task, with more memory if tasks used more.

    Memory is capped at the largest worker seen that fits the declared resources, so that
    a task that could be placed before still can.
    """
    need = make_amounts(record.resources)
    estimate = state.estimates.get((record.team, record.name))
    if estimate is None or estimate.memory_mb <= need.memory_mb:
        return need
    memory_limit_mb = max((s.memory_mb for s in state.worker_shapes if need.fits_in(s)), default=0)
    memory_mb = max(need.memory_mb, min(memory_limit_mb, math.ceil(estimate.memory_mb)))
    return Amounts(need.processors, memory_mb, need.accelerators)


def get_expected_run_s(state: CellState, record: cell_pb2.Record) -> float:
    """Return the estimated run time, or the declared one if there are no samples."""
    estimate = state.estimates.get((record.team, record.name))
    if estimate is not None and estimate.samples:
        return estimate.run_s
    return float(record.expected_run_s)
