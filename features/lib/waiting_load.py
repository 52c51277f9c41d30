"""Random load and trouble for the model of a leader that plans steps."""

import random

from dewspindle._internal.models.resources import Amounts

from .waiting_steps import ADVISORS, PRIORITIES, Behavior, WaitingModel

FIRST_STEPS = 20  # Ready while the fleet is still full.
MAX_USED_FRACTION = 0.5  # Of the processors, by running and waiting tasks; no step arrives beyond.
ARRIVAL_INTERVAL_S = 0.1
ARRIVALS_END_S = 16.0
TASK = Amounts(processors=8000, memory_mb=32_000)  # Four of them fill a worker.
WORKER_RETURNS_S = 1.5
OVERDUE_S = 60.0


class RandomLoad:
    """Submits gangs and single tasks, and loses and suspends workers, for one seed."""

    def __init__(self, model: WaitingModel, *, seed: int) -> None:
        self._model = model
        self._rng = random.Random(seed)

    def begin(self) -> None:
        """Fill the fleet and queue the first steps; schedule arrivals and trouble."""
        for worker in list(self._model.fleet):
            for _ in range(4):
                run_s = self._rng.choice([self._rng.uniform(1, 6), self._rng.uniform(10, 40)])
                estimate_s = run_s * self._rng.uniform(0.5, 1.5)
                self._model.occupy(worker.id, TASK, run_s, estimate_s=estimate_s)
        for _ in range(FIRST_STEPS):
            self._submit()
        self._model.after(ARRIVAL_INTERVAL_S, self._arrive)
        self._model.after(1.0, self._disturb)

    def _submit(self) -> None:
        rng = self._rng
        gang = rng.random() < 0.5
        count = rng.randint(4, 20) if gang else rng.choice([1, 1, 2, 5, 10, 19])
        run_s = rng.uniform(1, 8)
        fails = not gang and rng.random() < 0.3
        self._model.submit(
            count=count,
            amounts=Amounts(
                processors=rng.randint(1000, 12_000), memory_mb=rng.randint(4000, 24_000)
            ),
            behavior=Behavior(run_s, failing_index=rng.randrange(count) if fails else None),
            gang=gang,
            queue=(rng.choice(list(ADVISORS)), rng.randrange(PRIORITIES), "pool"),
            estimate_s=run_s * rng.uniform(0.5, 1.5),
            waited_s=rng.choice([0.0, 0.0, OVERDUE_S]),
        )

    def _arrive(self) -> None:
        if self._model.now > ARRIVALS_END_S:
            return
        if self._measure_use() < MAX_USED_FRACTION:
            self._submit()
        self._model.after(ARRIVAL_INTERVAL_S, self._arrive)

    def _measure_use(self) -> float:
        capacity = sum(worker.capacity.processors for worker in self._model.fleet)
        free = sum(worker.free.processors for worker in self._model.fleet)
        waiting = sum(
            step.amounts.processors * step.count_waiting_tasks()
            for run in self._model.runs
            for step in run.steps.values()
        )
        return (capacity - free + waiting) / capacity

    def _disturb(self) -> None:
        worker_id = self._rng.choice([worker.id for worker in self._model.fleet])
        if self._rng.random() < 0.5:
            self._model.lose_worker(worker_id, returns_after_s=WORKER_RETURNS_S)
        else:
            self._model.suspend_worker(worker_id, self._rng.choice([2.0, 4.0, 8.0]))
        self._model.after(self._rng.uniform(0.2, 1.5), self._disturb)
