"""Run times and sizes learnt from finished tasks and reported usage."""

import math

from ..models.resources import Amounts, make_amounts
from ..schema import cell_pb2
from .state import CellState

WEIGHT = 0.2  # Of the newest sample in the moving average.
MAX_LEARNT = 5000


def _get_learnt(state: CellState, record: cell_pb2.Record) -> cell_pb2.Learnt:
    key = (record.team, record.name)
    learnt = state.learnt.get(key)
    if learnt is None:
        if len(state.learnt) >= MAX_LEARNT:
            del state.learnt[next(iter(state.learnt))]
        learnt = cell_pb2.Learnt(team=record.team, name=record.name)
        state.learnt[key] = learnt
    return learnt


def learn_run(state: CellState, record: cell_pb2.Record, task: cell_pb2.Task) -> None:
    """Learn from the run time of a task that succeeded."""
    started_ms = task.started_ms or task.placed_ms
    run_s = (state.at_ms - started_ms) / 1000
    learnt = _get_learnt(state, record)
    if learnt.samples == 0:
        learnt.run_s = run_s
    else:
        learnt.run_s += WEIGHT * (run_s - learnt.run_s)
    learnt.samples += 1


def learn_usage(state: CellState, record: cell_pb2.Record, report: cell_pb2.TaskReport) -> None:
    """Learn the peak use of a record's tasks, which sinks slowly."""
    learnt = _get_learnt(state, record)
    learnt.processors = max(report.processors, learnt.processors * (1 - WEIGHT / 10))
    learnt.memory_mb = max(report.memory_mb, learnt.memory_mb * (1 - WEIGHT / 10))


def estimate_task_resources(state: CellState, record: cell_pb2.Record) -> Amounts:
    """Return what one task of a record is given: more memory than declared where it used more.

    Never more than a worker has had, so that what fitted once still does.
    """
    need = make_amounts(record.resources)
    learnt = state.learnt.get((record.team, record.name))
    if learnt is None or learnt.memory_mb <= need.memory_mb:
        return need
    room = max((s.memory_mb for s in state.worker_shapes if need.fits_in(s)), default=0)
    memory_mb = max(need.memory_mb, min(room, math.ceil(learnt.memory_mb)))
    return Amounts(need.processors, memory_mb, need.accelerators)


def get_expected_run_s(state: CellState, record: cell_pb2.Record) -> float:
    """Return the learnt run time, or the declared one where nothing was learnt."""
    learnt = state.learnt.get((record.team, record.name))
    if learnt is not None and learnt.samples:
        return learnt.run_s
    return float(record.expected_run_s)
