"""Estimates of run times and resource use, from finished tasks and reported usage."""

import math

from ..models.resources import Amounts, make_amounts
from ..schema import cell_pb2
from .state import CellState

NEWEST_SAMPLE_WEIGHT = 0.2  # In the exponential moving averages.
MAX_ESTIMATES = 5000


def _get_estimate(state: CellState, record: cell_pb2.Record) -> cell_pb2.Learnt:
    key = (record.team, record.name)
    learnt = state.estimates.get(key)
    if learnt is None:
        if len(state.estimates) >= MAX_ESTIMATES:
            del state.estimates[next(iter(state.estimates))]
        learnt = cell_pb2.Learnt(team=record.team, name=record.name)
        state.estimates[key] = learnt
    return learnt


def update_run_estimate(state: CellState, record: cell_pb2.Record, task: cell_pb2.Task) -> None:
    """Update the run-time estimate from a task that succeeded."""
    started_ms = task.started_ms or task.placed_ms
    run_s = (state.at_ms - started_ms) / 1000
    learnt = _get_estimate(state, record)
    if learnt.samples == 0:
        learnt.run_s = run_s
    else:
        learnt.run_s += NEWEST_SAMPLE_WEIGHT * (run_s - learnt.run_s)
    learnt.samples += 1


def update_usage_estimate(
    state: CellState, record: cell_pb2.Record, report: cell_pb2.TaskReport
) -> None:
    """Update the estimated peak usage of a record's tasks, which decays slowly."""
    learnt = _get_estimate(state, record)
    learnt.processors = max(report.processors, learnt.processors * (1 - NEWEST_SAMPLE_WEIGHT / 10))
    learnt.memory_mb = max(report.memory_mb, learnt.memory_mb * (1 - NEWEST_SAMPLE_WEIGHT / 10))


def estimate_task_resources(state: CellState, record: cell_pb2.Record) -> Amounts:
    """Return the resources to reserve for one task, with more memory if tasks used more.

    Memory is capped at the largest worker seen that fits the declared resources, so that
    a task that could be placed before still can.
    """
    need = make_amounts(record.resources)
    learnt = state.estimates.get((record.team, record.name))
    if learnt is None or learnt.memory_mb <= need.memory_mb:
        return need
    memory_limit_mb = max((s.memory_mb for s in state.worker_shapes if need.fits_in(s)), default=0)
    memory_mb = max(need.memory_mb, min(memory_limit_mb, math.ceil(learnt.memory_mb)))
    return Amounts(need.processors, memory_mb, need.accelerators)


def get_expected_run_s(state: CellState, record: cell_pb2.Record) -> float:
    """Return the estimated run time, or the declared one if there are no samples."""
    learnt = state.estimates.get((record.team, record.name))
    if learnt is not None and learnt.samples:
        return learnt.run_s
    return float(record.expected_run_s)
