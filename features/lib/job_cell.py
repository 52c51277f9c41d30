"""Replicas that run jobs on simulated workers, network, disk and time."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

from dewspindle._internal.exceptions import NotLeaderError, OutcomeUnknownError
from dewspindle._internal.jobs.dispatch_limits import DispatchLimits
from dewspindle._internal.jobs.helper_registry import HelperRegistry
from dewspindle._internal.jobs.leader_services import JobLeaderServices
from dewspindle._internal.replication.formation import Formation
from dewspindle._internal.replication.replica import Replica
from dewspindle._internal.replication.transport import PeerUnreachableError
from dewspindle._internal.schema import cell_pb2, jobs_pb2, peers_pb2
from dewspindle._internal.utils.metrics import Metrics

from .called_fleet import CalledFleet, Plan
from .replicas import Node, ReplicaCell

HOST = "jobs.example"
PREFIX = "/queue/"
LEASE_S = 4.0
ADVICE_LATENCY_S = 0.05
APPROVAL_VALIDITY_MS = 2000


class JobNode(Node):
    """A replica that runs the leader services of jobs in place of those of records."""

    cell: "JobCell"

    def _attach(self, replica: Replica, formation: Formation) -> None:
        super()._attach(replica, formation)
        self.job_leader_services = JobLeaderServices(
            settings=replica.context.settings,
            replica=replica,
            view=replica.context.view,
            gateway=self.cell.fleet.make_gateway(self.timers),
            advise=self._advise,
            # Without other helpers, the leader alone calls the advisor.
            helpers=HelperRegistry(
                own_address=self.address, list_replicas=list, timers=self.timers
            ),
            limits=DispatchLimits(
                lease_s=LEASE_S,
                keep_ended_ms=120_000,
                avoids_interference=self.cell.avoids_interference,
            ),
            timers=self.timers,
            metrics=Metrics(instance=self.name, zone="z"),
        )

        # The leader services of the superclass do not run here, so others handle the joins.
        handlers = dict(self.cell.network.get_handlers(self.address))
        handlers["join"] = self.job_leader_services.members.handle_join
        handlers["say_hello"] = self._answer_hello
        self.cell.network.attach(self.address, handlers, self.timers)

    async def _answer_hello(self, request: peers_pb2.HelloRequest) -> peers_pb2.HelloAnswer:
        assert self.formation is not None
        assert self.replica is not None
        answer = await self.formation.handle_hello(request)
        answer.leads = self.replica.may_act_as_leader
        return answer

    def _list_member_tasks(self) -> list[Callable[[], Any]]:
        assert self.replica is not None
        assert self.formation is not None
        return [self.replica.run, self.job_leader_services.run, self.formation.rejoin_when_removed]

    async def _advise(
        self, helper: str, request: peers_pb2.AdviseRequest
    ) -> peers_pb2.AdviseAnswer:
        """Answer as the advisor, which approves every incarnation of the approved workers."""
        self.cell.advice_calls.append(request)
        await self.timers.sleep(ADVICE_LATENCY_S)
        if self.cell.advisor_fails:
            raise PeerUnreachableError("the advisor is down")
        answer = peers_pb2.AdviseAnswer(
            validity_ms=APPROVAL_VALIDITY_MS, incomplete=self.cell.advisor_answers_incompletely
        )
        for worker in request.workers:
            if worker.partition("-")[0] in self.cell.approved:
                answer.approvals.add(worker=worker, ticket=f"ticket-{worker}")
        return answer


class JobCell(ReplicaCell):
    """Replicas, the workers that they send orders to, and a caller."""

    node_class = JobNode

    def __init__(self, folder: Path, *, size: int, seed: int, workers: int, **flags: str) -> None:
        super().__init__(folder, size=size, seed=seed, **flags)
        self.errors: list[BaseException] = []
        self.advice_calls: list[peers_pb2.AdviseRequest] = []
        self.advisor_fails = False
        self.advisor_answers_incompletely = False
        self.approved: set[str] = set()  # Workers, without the incarnation in their ids.
        self.fleet = CalledFleet(self, size=workers)
        self.advisor: jobs_pb2.Advisor | None = None
        self.avoids_interference = False

    async def configure(self, *, max_attempts: int = 3) -> None:
        """Propose a queue table with one queue."""
        queue = jobs_pb2.Queue(
            name="queue",
            host=HOST,
            path_prefix=PREFIX,
            pool="pool",
            max_attempts=max_attempts,
            slack_factor=2.0,
            aim_ms=500,
            timeout_ms=3000,
        )
        if self.advisor is not None:
            queue.advisor.CopyFrom(self.advisor)
        table = jobs_pb2.QueueTable(version=1, queues=[queue], pools=[jobs_pb2.Pool(name="pool")])
        node = self.leader
        assert node is not None
        assert node.replica is not None
        await node.replica.propose(cell_pb2.Command(queue_table=table))

    async def send_request(
        self, call: peers_pb2.JobCall.ValueType, job_id: str, *, seconds: float = 40.0
    ) -> peers_pb2.JobAnswer | None:
        """Repeat a request until it is answered; return None if it is not within the time."""
        request = peers_pb2.JobRequest(call=call, host=HOST, path=PREFIX + job_id)
        if call == peers_pb2.JOB_SUBMIT:
            request.spec.CopyFrom(self.fleet.plans[job_id].spec)
        relayed = peers_pb2.RelayJobsRequest(requests=[request])
        deadline = self.clock.now + seconds
        while self.clock.now < deadline:
            leader = self.leader
            if isinstance(leader, JobNode):
                try:
                    answers = await leader.job_leader_services._relay_jobs(relayed)
                except (NotLeaderError, OutcomeUnknownError):
                    await self.fleet.timers.sleep(0.1)
                    continue
                return answers.answers[0]
            await self.fleet.timers.sleep(0.1)
        return None

    async def submit(self, job_id: str, plan: Plan) -> None:
        """Submit a job and record whether it was accepted, refused or never answered."""
        self.fleet.plans[job_id] = plan
        answer = await self.send_request(peers_pb2.JOB_SUBMIT, job_id)
        if answer is None:
            self.unknown.add(job_id)
        elif answer.status == 200:
            self.fleet.accepted.add(job_id)
        else:
            self.fleet.refused.add(job_id)

    async def cancel(self, job_id: str) -> None:
        """Cancel a job and record when this was acknowledged."""
        answer = await self.send_request(peers_pb2.JOB_CANCEL, job_id)
        if answer is not None and answer.status == 200:
            self.fleet.cancelled_at[job_id] = self.clock.now

    def get_state(self, job_id: str) -> int | None:
        """Return the state of a job on the leader; None if there is no leader or no such job."""
        leader = self.leader
        if leader is None or leader.replica is None:
            return None
        job = leader.replica.context.view.state.job_store.jobs.get(job_id)  # type: ignore[call-overload]
        return None if job is None else job.message.state

    def list_unfinished(self) -> list[str]:
        """Return the accepted jobs that have not ended, in order of their ids."""
        return [
            job_id
            for job_id in sorted(self.fleet.accepted)
            if self.get_state(job_id) in (None, jobs_pb2.JOB_OPEN)
        ]
