"""Cell state with commands and a planner, for measurements without a network."""

import random

from dewspindle._internal.cell import appliers  # noqa: F401
from dewspindle._internal.cell.state import CellState
from dewspindle._internal.scheduling.planner import Planner
from dewspindle._internal.schema import cell_pb2, peers_pb2, resources_pb2
from dewspindle._internal.utils.budgets import RetryBudget
from dewspindle._internal.utils.timers import SystemTimerService

WORKER_PROCESSORS = 32_000
WORKER_MEMORY_MB = 131_072
WORKERS_PER_RACK = 8
RECORD_NAME_COUNT = 40


class BenchState:
    """A cell state that is changed only by commands."""

    def __init__(self, *, seed: int = 1) -> None:
        self.state = CellState()
        self._rng = random.Random(seed)
        self.timers = SystemTimerService()
        self._now_ms = self.timers.wall_ms()

    def apply(self, command: cell_pb2.Command) -> cell_pb2.Result:
        """Apply a command as the next log entry."""
        self._now_ms += 1
        command.at_ms = self._now_ms
        entry = peers_pb2.Entry(
            index=self.state.revision + 1, term=1, command=command.SerializeToString()
        )
        return self.state.apply(entry)

    def add_workers(self, count: int, *, zones: int) -> None:
        """Add workers, eight to a rack, with the racks distributed evenly over the zones."""
        for number in range(count):
            rack = number // WORKERS_PER_RACK
            worker = cell_pb2.Worker(
                id=f"w{number}",
                zone=f"z{rack % zones}",
                rack=f"r{rack}",
                session="s",
                capacity=resources_pb2.Resources(
                    processors=WORKER_PROCESSORS, memory_mb=WORKER_MEMORY_MB
                ),
            )
            self.apply(cell_pb2.Command(see_worker=cell_pb2.SeeWorker(worker=worker)))

    def submit(self, tasks: int, *, kind: str = "batch", teams: int = 31) -> str:
        """Submit a record and return its id; its random name determines the size of its tasks."""
        number = self._rng.randrange(RECORD_NAME_COUNT)
        size_rng = random.Random(number)
        record = cell_pb2.Record(
            schema_version=2,
            name=f"name-{number}",
            team=f"team-{self._rng.randrange(teams)}",
            kind=kind,
            priority=self._rng.choice(("normal", "normal", "low")),
            resources=resources_pb2.Resources(
                processors=size_rng.choice((250, 500, 1000, 2000)),
                memory_mb=size_rng.choice((256, 512, 1024, 4096)),
            ),
            expected_run_s=size_rng.choice((1, 5, 30, 300)),
            start_deadline_ms=86_400_000,
            max_attempts=3,
            repeatable=True,
            task_count=tasks,
        )
        body = cell_pb2.SubmitRecord(record=record)
        return self.apply(cell_pb2.Command(submit_record=body)).id

    def make_planner(self) -> Planner:
        """Return a planner that is in sync with the state."""
        budget = RetryBudget(
            timers=self.timers, retries_per_attempt=0.2, minimum_per_s=5, capacity=100
        )
        planner = Planner(self.state, timers=self.timers, retry_budget=budget)
        planner.rebuild()
        return planner
