"""Learns how fast each worker runs tasks, from run times of the same step on other workers.

Answers a fleet whose workers differ in speed: a quarter of them takes twice as long for the same
task. Others slow down for some seconds only, and a few tasks last many times as long as others.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass, field

from ..utils.logs import get_logger
from .fading_mean import FadingMean

# A worker runs one to three tasks a second when the fleet is busy. What it ran half a minute ago
# counts little, as a worker may be slow for some seconds only.
HALF_LIFE_S = 10.0
WINDOW = 20.0
# A worker differs from the others only if its mean is this many standard errors beyond the factor.
ERRORS_BEFORE_BELIEF = 2.5
MIN_BELIEVED = math.log(1.15)  # Smaller differences cost less than a worse fit.
MIN_KEPT = math.log(1.1)  # Below the former, so that a belief does not come and go.
MIN_SAMPLES = 8.0
MIN_SAMPLES_KEPT = 3.0
# Values further from the mean count as this far, so that a task that lasts seven times as long
# moves a mean no more than any other task that is late.
MAX_DEVIATION = 0.7
MAX_WORKERS = 5000  # Workers that come and go under new ids are forgotten, the oldest first.

logger = get_logger(__name__)


@dataclass(slots=True)
class WorkerSpeed:
    """What is known of one worker, as the logarithm of how much longer its tasks take."""

    slowness: FadingMean = field(default_factory=lambda: FadingMean(HALF_LIFE_S, WINDOW))
    believed: float = 0.0

    def estimate(self, now: float) -> float:
        """Return the mean, drawn towards no difference while it stands for few tasks."""
        return self.slowness.mean * min(1.0, self.slowness.get_weight(now) / MIN_SAMPLES)

    def is_recent(self, now: float) -> bool:
        """Return whether enough recent tasks stand for a belief that is held."""
        return self.slowness.get_weight(now) >= MIN_SAMPLES_KEPT

    def update_belief(self, now: float) -> None:
        """Believe in a difference that is certain enough, or drop one that is not any more."""
        size = abs(self.slowness.mean)
        if self.believed:
            is_believed = size >= MIN_KEPT and self.is_recent(now)
        else:
            weight = self.slowness.get_weight(now)
            error = self.slowness.compute_error(now)
            is_believed = (
                weight >= MIN_SAMPLES and size - ERRORS_BEFORE_BELIEF * error >= MIN_BELIEVED
            )
        self.believed = self.slowness.mean if is_believed else 0.0


class WorkerSpeeds:
    """The speeds of all workers, relative to what is usual in the fleet."""

    def __init__(self) -> None:
        self._workers: OrderedDict[str, WorkerSpeed] = OrderedDict()
        self._believed: dict[str, WorkerSpeed] = {}

    @property
    def believed(self) -> dict[str, WorkerSpeed]:
        """Return the workers that are believed to differ from the others."""
        return self._believed

    def __len__(self) -> int:
        return len(self._workers)

    def record(self, worker: str, residual: float, now: float) -> None:
        """Record how much longer a task took than its like elsewhere, as a logarithm."""
        speed = self._workers.get(worker)
        if speed is None:
            speed = self._workers[worker] = WorkerSpeed()
            if len(self._workers) > MAX_WORKERS:
                oldest, _ = self._workers.popitem(last=False)
                self._believed.pop(oldest, None)
        self._workers.move_to_end(worker)
        mean = speed.slowness.mean
        clipped = max(mean - MAX_DEVIATION, min(mean + MAX_DEVIATION, residual))
        speed.slowness.add(clipped, now)
        self._update(worker, speed, now)

    def fade(self, now: float) -> None:
        """Drop beliefs that stand for too few recent tasks."""
        for worker, speed in list(self._believed.items()):
            self._update(worker, speed, now)

    def estimate(self, worker: str, now: float) -> float:
        """Return the best estimate of a worker's slowness, certain or not."""
        speed = self._workers.get(worker)
        return 0.0 if speed is None else speed.estimate(now)

    def get_believed(self, worker: str) -> float:
        """Return a worker's slowness as a logarithm, 0 if it is not believed to differ."""
        speed = self._believed.get(worker)
        return 0.0 if speed is None else speed.believed

    def _update(self, worker: str, speed: WorkerSpeed, now: float) -> None:
        before = speed.believed
        speed.update_belief(now)
        if bool(before) == bool(speed.believed):
            return
        if speed.believed:
            self._believed[worker] = speed
        else:
            self._believed.pop(worker, None)
        logger.info(
            "worker speed belief changed",
            worker=worker,
            is_believed=bool(speed.believed),
            run_time_factor=round(math.exp(speed.slowness.mean), 2),
            samples=round(speed.slowness.get_weight(now), 1),
        )
