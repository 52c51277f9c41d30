"""Stand-in worker that polls for orders and simulates running tasks."""

import uuid
from dataclasses import dataclass
from typing import Any

from ..exceptions import ServerUnreachableError
from ..models.enums import OrderKind, ReportState
from ..models.resources import Amounts
from ..network.json_client import JsonClient
from ..utils.logs import get_logger
from ..utils.timers import TimerService

DEFAULT_POLL_WAIT_MS = 3000
RETRY_DELAY_S = 0.2
DEFAULT_RUN_S = 0.2  # Without a command, and for commands other than `sleep` and `serve`.

logger = get_logger(__name__)


@dataclass(slots=True)
class RunningTask:
    """A task on the worker, until its end is acknowledged."""

    task: str
    epoch: int
    state: ReportState
    ends_at: float | None
    will_fail: bool
    resources: dict[str, int]
    reason: str = ""
    memory_mb: int = 0


class StandInWorker:
    """Simulates the commands `sleep SECONDS [MEMORY_MB]`, `serve` (until stopped) and `fail`."""

    def __init__(
        self,
        *,
        worker: str,
        zone: str,
        rack: str,
        capacity: Amounts,
        client: JsonClient,
        timers: TimerService,
        poll_wait_ms: int = DEFAULT_POLL_WAIT_MS,
    ) -> None:
        self._worker = worker
        self._zone = zone
        self._rack = rack
        self._capacity = capacity
        self._client = client
        self._timers = timers
        self._poll_wait_ms = poll_wait_ms
        self._session = uuid.uuid4().hex
        self._sequence = 0
        self._tasks: dict[str, RunningTask] = {}
        self._max_epochs: dict[str, int] = {}
        self._lease_until = 0.0
        self._started = 0

    @property
    def tasks(self) -> dict[str, RunningTask]:
        """Return the tasks that are running or whose end is not yet acknowledged."""
        return self._tasks

    @property
    def started(self) -> int:
        """Return the number of tasks started."""
        return self._started

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            try:
                await self.poll_once()
            except ServerUnreachableError as error:
                logger.debug("poll failed", worker=self._worker, why=str(error))
                await self._timers.sleep(RETRY_DELAY_S)

    async def poll_once(self) -> None:
        """Send one poll and execute the orders in the response."""
        self.end_due_tasks()
        sent_at = self._timers.now()
        response = await self._client.request(
            "POST",
            f"/v1/workers/{self._worker}/poll",
            body=self._make_poll(),
            timeout_s=self._poll_wait_ms / 1000 + 10.0,
        )
        if response.status != 200:
            await self._timers.sleep(RETRY_DELAY_S)
            return
        self.apply_response(response.body, sent_at=sent_at)

    def end_due_tasks(self) -> None:
        """End tasks whose run time has passed, and all tasks once the task lease has expired."""
        now = self._timers.now()
        is_lease_over = now >= self._lease_until
        for task in self._tasks.values():
            if task.state.is_final:
                continue
            if is_lease_over:
                task.state = ReportState.STOPPED
                task.reason = "the lease expired"
            elif task.ends_at is not None and now >= task.ends_at:
                task.state = ReportState.FAILED if task.will_fail else ReportState.SUCCEEDED
                task.reason = "told to fail" if task.will_fail else ""

    def _make_poll(self) -> dict[str, Any]:
        self._sequence += 1
        return {
            "session": self._session,
            "sequence": self._sequence,
            "capacity": {
                "processors": self._capacity.processors,
                "memory_mb": self._capacity.memory_mb,
                "accelerators": self._capacity.accelerators,
            },
            "rack": self._rack,
            "zone": self._zone,
            "tasks": [
                {"task": t.task, "epoch": t.epoch, "state": t.state.value, "reason": t.reason}
                for t in self._tasks.values()
            ],
            "usage": [
                {"task": t.task, "epoch": t.epoch, "processors": 0, "memory_mb": t.memory_mb}
                for t in self._tasks.values()
                if t.memory_mb and not t.state.is_final
            ],
            "wait_ms": self._compute_wait_ms(),
        }

    def _compute_wait_ms(self) -> int:
        """Return the hold time of a poll, limited to the earliest end of a running task."""
        ends = [t.ends_at for t in self._tasks.values() if t.ends_at and not t.state.is_final]
        if not ends:
            return self._poll_wait_ms
        remaining_ms = int((min(ends) - self._timers.now()) * 1000) + 1
        return max(1, min(self._poll_wait_ms, remaining_ms))

    def apply_response(self, response: dict[str, Any], *, sent_at: float) -> None:
        """Renew the task lease, counted from when the poll was sent, and execute the orders."""
        self._lease_until = sent_at + response["lease_ms"] / 1000
        for task_id in response["acknowledged"]:
            task = self._tasks.get(task_id)
            if task is not None and task.state.is_final:
                del self._tasks[task_id]
        for order in response["orders"]:
            self._execute_order(order)

    def _execute_order(self, order: dict[str, Any]) -> None:
        kind = OrderKind(order["kind"])
        task = self._tasks.get(order["task"])
        if kind is OrderKind.START:
            self._start(order)
        elif kind is OrderKind.STOP:
            self._stop(order, task)
        elif task is not None and task.epoch == int(order["epoch"]) and not task.state.is_final:
            is_checkpoint = kind is OrderKind.CHECKPOINT
            task.state = ReportState.CHECKPOINTED if is_checkpoint else ReportState.THROTTLED

    def _start(self, order: dict[str, Any]) -> None:
        epoch = int(order["epoch"])
        if epoch <= self._max_epochs.get(order["task"], 0):
            return
        self._max_epochs[order["task"]] = epoch
        command = order["command"] or ["sleep", str(DEFAULT_RUN_S)]
        run_s = float(command[1]) if command[0] == "sleep" else DEFAULT_RUN_S
        ends_at = None if command[0] == "serve" else self._timers.now() + run_s
        self._started += 1
        self._tasks[order["task"]] = RunningTask(
            task=order["task"],
            epoch=epoch,
            state=ReportState.RUNNING,
            ends_at=ends_at,
            will_fail=command[0] == "fail",
            resources=order["resources"],
            memory_mb=int(command[2]) if len(command) > 2 else 0,
        )

    def _stop(self, order: dict[str, Any], task: RunningTask | None) -> None:
        epoch = int(order["epoch"])
        self._max_epochs[order["task"]] = max(epoch, self._max_epochs.get(order["task"], 0))
        if task is None:
            # The task never started here. Confirm the stop; the epoch prevents a later start.
            self._tasks[order["task"]] = RunningTask(
                task=order["task"],
                epoch=epoch,
                state=ReportState.STOPPED,
                ends_at=None,
                will_fail=False,
                resources={},
                reason="was not running",
            )
        elif task.epoch <= epoch and not task.state.is_final:
            task.state = ReportState.STOPPED
            task.reason = "stopped by order"
