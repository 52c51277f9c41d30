"""Polling workers: stand-in workers that poll a simulated cell, and checks of their tasks."""

from collections import Counter
from collections.abc import Callable
from typing import Any

import anyio
from google.protobuf import json_format

from dewspindle._internal.exceptions import DewspindleError, ServerUnreachableError
from dewspindle._internal.models.enums import ReportState
from dewspindle._internal.models.resources import NO_RESOURCES, Amounts
from dewspindle._internal.network.json_sender import JsonResponse
from dewspindle._internal.records.conversion import make_record
from dewspindle._internal.schema import cell_pb2, documents_pb2, peers_pb2
from dewspindle._internal.standins.worker import StandInWorker
from dewspindle._internal.utils.documents import parse_document

from .clock import ManualTimerService
from .replicas import Node, ReplicaCell

CAPACITY = Amounts(processors=8000, memory_mb=16384)
CAPACITY_REDUCTION_GRACE_S = 10.0
Hook = Callable[["PollingWorker", str, dict[str, Any]], None]  # Gets a "poll" or an "answer".


class FakeWorkerClient:
    """Forwards a worker's polls to the leader, unless the worker is cut off."""

    def __init__(self, fleet: "PollingFleet", worker: "PollingWorker") -> None:
        self._fleet = fleet
        self._worker = worker

    async def request(self, method: str, path: str, *, body: Any, timeout_s: float) -> JsonResponse:
        worker = self._worker
        self._fleet.on_message(worker, "poll", body)
        await self._check_reachable()
        node = self._find_leader()
        relayed = peers_pb2.RelayPollRequest(
            worker=worker.name, poll=parse_document(documents_pb2.PollDocument(), body)
        )
        try:
            answer = await node.leader_services.relay_poll(relayed)
        except DewspindleError as error:
            await self._fleet.timers.sleep(0.05)
            return JsonResponse(status=error.status, headers={}, body=None)
        await self._fleet.timers.sleep(0.002)
        # A paused leader sends its answer, and a paused worker receives it, only on resuming.
        while node.timers.is_paused or worker.timers.is_paused:
            await self._fleet.timers.sleep(0.05)
        await self._check_reachable()
        response_body = json_format.MessageToDict(
            answer.answer,
            preserving_proto_field_name=True,
            always_print_fields_with_no_presence=True,
        )
        self._fleet.on_message(worker, "answer", response_body)
        await self._check_reachable()
        return JsonResponse(status=200, headers={}, body=response_body)

    async def _check_reachable(self) -> None:
        if self._worker.is_cut_off:
            await self._fleet.timers.sleep(1.0)
            raise ServerUnreachableError("the worker is cut off")

    def _find_leader(self) -> Node:
        for node in self._fleet.cell.nodes:
            if node.is_up and node.is_leader and not node.timers.is_paused:
                return node
        raise ServerUnreachableError("there is no leader")


class PollingWorker:
    """Worker that can be killed, paused, cut off and restarted."""

    def __init__(self, fleet: "PollingFleet", number: int, *, capacity: Amounts) -> None:
        self.fleet = fleet
        self.name = f"w{number}"
        self.capacity = capacity
        self.zone = f"z{number % 3}"
        self.rack = f"r{number % 3}"
        self.timers = ManualTimerService(fleet.cell.clock)
        self.is_cut_off = False
        self.fails_everything = False
        self.standin: StandInWorker | None = None
        self._scope: anyio.CancelScope | None = None

    def start(self) -> None:
        self.standin = StandInWorker(
            worker=self.name,
            zone=self.zone,
            rack=self.rack,
            capacity=self.capacity,
            client=FakeWorkerClient(self.fleet, self),  # type: ignore[arg-type]
            timers=self.timers,
        )
        self.fleet.cell.start_soon(self._run)

    async def _run(self) -> None:
        scope = anyio.CancelScope()
        self._scope = scope
        assert self.standin is not None
        with scope:
            await self.standin.run()

    def reduce_capacity(self, capacity: Amounts) -> None:
        """Reduce the capacity, and check tasks against it after the time allowed to stop them."""
        assert self.standin is not None
        self.standin._capacity = capacity
        self.fleet.cell.start_soon(self._reduce_checked_capacity, capacity)

    async def _reduce_checked_capacity(self, capacity: Amounts) -> None:
        await self.fleet.timers.sleep(CAPACITY_REDUCTION_GRACE_S)
        self.capacity = capacity

    def kill(self) -> None:
        """End the worker and its tasks, without a successor until `start`."""
        if self._scope is not None:
            self._scope.cancel()
        self.standin = None

    def list_running_tasks(self) -> list[tuple[str, int, Amounts]]:
        """Return the tasks that run on the worker under a valid lease."""
        if self.standin is None or self.fleet.cell.clock.now >= self.standin._lease_until:
            return []
        return [
            (task.task, task.epoch, Amounts(**{k: int(v) for k, v in task.resources.items()}))
            for task in self.standin.tasks.values()
            if not task.state.is_final
        ]


class PollingFleet:
    """Polling workers of a cell, checked each time all tasks of the event loop have become idle."""

    def __init__(self, cell: ReplicaCell, *, size: int) -> None:
        self.cell = cell
        self.timers = ManualTimerService(cell.clock)
        self.workers = [PollingWorker(self, n, capacity=CAPACITY) for n in range(size)]
        self.hooks: list[Hook] = []
        self.start_counts: Counter[str] = Counter()
        self.max_running = 0
        cell.clock.add_check(self.check)

    def start(self) -> None:
        for worker in self.workers:
            worker.start()

    def on_message(self, worker: PollingWorker, message_kind: str, content: dict[str, Any]) -> None:
        if message_kind == "answer":
            self._record_orders(worker, content)
        for hook in list(self.hooks):
            hook(worker, message_kind, content)

    def _record_orders(self, worker: PollingWorker, answer: dict[str, Any]) -> None:
        for order in answer["orders"]:
            if order["kind"] == "start":
                if worker.fails_everything:
                    order["command"] = ["fail"]
                self.start_counts[f"{order['task']}@{order['epoch']}@{worker.name}"] += 1

    def check(self) -> None:
        """Check that no task runs in two places and no worker exceeds its capacity.

        Only tasks under a valid lease count: a worker stops its tasks when its lease ends.
        """
        place_counts: Counter[str] = Counter()
        for worker in self.workers:
            used = NO_RESOURCES
            for task, _, amounts in worker.list_running_tasks():
                place_counts[task] += 1
                used += amounts
            assert used.fits_in(worker.capacity), f"{worker.name} runs {used}, over its capacity"
        duplicated = [task for task, count in place_counts.items() if count > 1]
        assert not duplicated, f"tasks run in two places: {duplicated}"
        self.max_running = max(self.max_running, len(place_counts))

    def count_starts_by_task(self, record: str) -> Counter[str]:
        """Return the number of starts of each task of a record.

        A start order that was sent to the same worker again, with the same epoch, counts once.
        """
        counts: Counter[str] = Counter()
        for key in self.start_counts:
            task = key.split("@")[0]
            if task.rpartition(".")[0] == record:
                counts[task] += 1
        return counts

    async def submit(self, **document: Any) -> str:
        """Submit a record and return its id."""
        return (await self._propose(self.make_submit_command(document))).id

    def make_submit_command(self, document: dict[str, Any]) -> cell_pb2.Command:
        return cell_pb2.Command(
            key=f"submit-{document['name']}",
            submit_record=cell_pb2.SubmitRecord(record=make_record(document)),
        )

    async def cancel(self, **selection: Any) -> cell_pb2.Result:
        command = cell_pb2.Command(
            key=f"cancel-{selection}", cancel_records=cell_pb2.CancelRecords(**selection)
        )
        return await self._propose(command)

    async def _propose(self, command: cell_pb2.Command) -> cell_pb2.Result:
        results: list[cell_pb2.Result] = []
        self.cell.start_soon(self.propose_in_background, command, results)
        assert await self.cell.clock.advance_until(lambda: bool(results), seconds=20)
        return results[0]

    async def propose_in_background(
        self, command: cell_pb2.Command, results: list[cell_pb2.Result] | None = None
    ) -> None:
        """Propose a command to the leader until there is an outcome."""
        outcomes = [] if results is None else results
        while not outcomes:
            leader = self.cell.leader
            try:
                if leader is None or leader.replica is None:
                    raise ServerUnreachableError("there is no leader")
                with self.timers.fail_after(2.0):
                    outcomes.append(await leader.replica.propose(command))
            except (DewspindleError, TimeoutError):
                await self.timers.sleep(0.1)

    def get_record(self, record_id: str) -> cell_pb2.Record:
        leader = self.cell.leader
        assert leader is not None
        assert leader.replica is not None
        return leader.replica.context.view.state.records[record_id]

    def get_state(self) -> Any:
        leader = self.cell.leader
        assert leader is not None
        assert leader.replica is not None
        return leader.replica.context.view.state


__all__ = ["PollingFleet", "PollingWorker", "ReportState"]
