"""Simulated callers and operator that check the guarantees of the API.

Each violation starts with the name of the rule that was broken:
job lookup: an accepted job can be read with a key of its team.
submission key: no submission is refused for a key that its team holds.
job success: an accepted job neither fails nor is aborted unless it was cancelled.
job completion: an accepted job completes in time unless it was cancelled.
step completion: all steps of a completed job are done.
final state: a completed job stays completed.
queue table write: a newer queue table is not rejected.
queue table read: a queue table can be read back after fault injection has ended.
queue table version: a queue table that is read is not older than the last acknowledged one.
queue table content: a queue table that is read equals the one sent with its version.
"""

import json
import random
from typing import Any

import anyio

from dewspindle._internal.exceptions import DewspindleError
from dewspindle._internal.models.ids import JobId
from dewspindle._internal.models.jobs import TaskRef
from dewspindle._internal.network.json_client import JsonClient
from dewspindle._internal.platform.job_bodies import decode_job
from features.lib.called_fleet import Plan

from .key_checks import KeyChecks
from .proxy import Proxy
from .teams import TeamKey, Teams
from .workers import ADVICE_LATENCY_S, APPROVAL_VALIDITY_MS, HttpFleet

HOST = "jobs.example"
PREFIX = "/queue/"
MAX_ATTEMPTS = 5
CALL_TIMEOUT_S = 3.0
RETRY_INTERVAL_S = 0.3
FINAL_STATES = ("completed", "failed", "aborted")
EARLY_CANCEL_FRACTION = 0.1  # Of the jobs.
EARLY_CANCEL_S = (0.0, 0.3)  # From the submission.
WRONG_KEY_FRACTION = 0.3  # Of the checks of a job.


def make_random_steps(rng: random.Random) -> list[dict[str, Any]]:
    """Return the steps of a random job."""
    task = {"cpu": rng.choice((500, 1000, 2000)), "mem_mb": 256, "estimate_ms": 800}
    kind = rng.randrange(4)
    if kind == 0:
        return [{**task, "count": rng.randint(2, 5), "gang": True}]
    if kind == 1:
        return [{**task, "count": 2}, {**task, "count": 3, "depends_on": [0]}]
    return [{**task, "count": rng.randint(1, 6)}]


class Callers:
    """Submits jobs through random entry instances and checks their reported state."""

    def __init__(self, fleet: HttpFleet, proxies: list[Proxy], teams: Teams, *, seed: int) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._teams = teams
        # Leaves the other draws as they are.
        self._team_rng = random.Random(f"{seed}-teams")
        self._early_rng = random.Random(f"{seed}-early-cancels")
        self.key_checks = KeyChecks(fleet, teams, self.call, rng=self._team_rng)
        self._clients = [JsonClient(proxy.address, max_connections=64) for proxy in proxies]
        self.cancelled: set[str] = set()
        self.completed: set[str] = set()
        self.violations: list[str] = []
        self.outcome_counts = {"accepted": 0, "refused": 0, "unknown": 0}

    async def call(self, method: str, job: str, key: TeamKey, body: Any = None) -> Any:
        """Send one request to a random entry instance; return None without a complete answer."""
        client = self._rng.choice(self._clients)
        headers = {
            "Host": HOST,
            "X-Dewspindle-Deadline-Ms": str(int(CALL_TIMEOUT_S * 1000)),
            "Authorization": f"Token {key}",
        }
        try:
            return await client.request(
                method, PREFIX + job, body=body, headers=headers, timeout_s=CALL_TIMEOUT_S
            )
        except DewspindleError:
            return None

    async def run_job(self) -> None:
        """Submit one job and check its state a few times."""
        job = f"{self._rng.getrandbits(64):016x}"
        body = {"spec": f"text {job}", "steps": make_random_steps(self._rng)}
        plan = Plan(decode_job(json.dumps(body).encode()), run_s=self._rng.uniform(0.2, 1.5))
        self._fleet.plans[job] = plan
        self._fleet.teams[job] = self._team_rng.choice(self._teams.names)
        if self._early_rng.random() < EARLY_CANCEL_FRACTION:
            await self._give_up(job, body)
            return
        if not await self._submit(job, body):
            return
        if self._rng.random() < 0.1:
            await self._cancel_later(job)
            return
        for _ in range(4):
            await anyio.sleep(self._rng.uniform(0.5, 2.0))
            await self.check_job(job)
            if self._team_rng.random() < WRONG_KEY_FRACTION:
                await self.key_checks.check(job, self._fleet.teams[job], body)

    async def _call_as_owner(self, method: str, job: str, body: Any = None) -> Any:
        """Send a request with a key of the job's team; return None if it was withdrawn meanwhile.

        Also returns None without a complete answer.
        """
        key = self._teams.get_valid_key(self._fleet.teams[job], self._team_rng)
        answer = await self.call(method, job, key, body)
        if answer is not None and answer.status == 401 and not self._teams.is_valid(key):
            return None
        return answer

    async def _submit(self, job: str, body: Any) -> bool:
        """Submit a job, retrying while it is not accepted; return whether it was accepted."""
        may_be_accepted = False
        for _ in range(MAX_ATTEMPTS):
            answer = await self._call_as_owner("POST", job, body)
            if answer is not None and answer.status == 200:
                self._fleet.accepted.add(job)
                self.outcome_counts["accepted"] += 1
                return True
            if answer is not None and answer.status in (401, 403, 404):
                self.violations.append(
                    f"submission key: {job} is refused with {answer.status} for a valid key"
                )
            # An entry instance sends these statuses only if the request had no effect.
            if answer is None or answer.status not in (429, 503):
                may_be_accepted = True
            await anyio.sleep(RETRY_INTERVAL_S)
        if may_be_accepted:
            self.outcome_counts["unknown"] += 1
        else:
            self.outcome_counts["refused"] += 1
            self._fleet.refused.add(job)
        return False

    async def _give_up(self, job: str, body: Any) -> None:
        """Submit a job, and cancel it without waiting for the answer."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._call_as_owner, "POST", job, body)
            await anyio.sleep(self._early_rng.uniform(*EARLY_CANCEL_S))
            await self._cancel(job)

    async def _cancel_later(self, job: str) -> None:
        await anyio.sleep(self._rng.uniform(0.0, 1.0))
        await self._cancel(job)

    async def _cancel(self, job: str) -> None:
        self.cancelled.add(job)
        for _ in range(MAX_ATTEMPTS):
            answer = await self._call_as_owner("DELETE", job)
            if answer is not None and answer.status in (200, 410):
                self._fleet.cancelled_at[job] = self._fleet.clock.now
                return
            await anyio.sleep(RETRY_INTERVAL_S)

    async def check_job(self, job: str) -> None:
        """Read the state of an accepted job and check it against the runs on the workers."""
        answer = await self._call_as_owner("GET", job)
        if answer is None or answer.status in (429, 502, 503, 504):
            return
        if answer.status != 200:
            self.violations.append(
                f"job lookup: {job} was accepted, but reading it returns {answer.status}"
            )
            return
        state = str(answer.body["state"])
        if state == "completed":
            self._check_completed(job)
            self.completed.add(job)
        elif job in self.completed:
            self.violations.append(f"final state: {job} went back from completed to {state}")
        elif state in FINAL_STATES and job not in self.cancelled:
            self.violations.append(f"job success: {job} is {state} but was not cancelled")

    def _check_completed(self, job: str) -> None:
        for number, step in enumerate(self._fleet.plans[job].spec.steps):
            tasks = [TaskRef(JobId(job), 0, number, index) for index in range(step.count)]
            are_done = [task in self._fleet.ever_done for task in tasks]
            # A gang is done as soon as one of its tasks ends as done.
            if not (any(are_done) if step.gang else all(are_done)):
                self.violations.append(
                    f"step completion: {job} is completed, but step {number} is not done"
                )

    async def wait_for_completion(self, *, seconds: float) -> None:
        """Check that every accepted job completes after fault injection has ended."""
        unfinished = self._fleet.accepted - self.cancelled - self.completed
        with anyio.move_on_after(seconds):
            while unfinished:
                for job in sorted(unfinished):
                    await self.check_job(job)
                # Callers that are still running may cancel jobs during this loop.
                unfinished -= self.completed | self.cancelled
                await anyio.sleep(RETRY_INTERVAL_S)
        self.violations += [
            f"job completion: {job} has not completed" for job in sorted(unfinished)
        ]


class Operator:
    """Writes queue tables and checks that they can be read back."""

    def __init__(self, addresses: list[str], teams: Teams, *, seed: int) -> None:
        self._addresses = addresses
        self._teams = teams
        self._rng = random.Random(seed)
        self._sent_tables: dict[int, Any] = {}
        self._version = 0
        self.acknowledged_version = 0
        self.violations: list[str] = []

    async def _call(self, method: str, path: str, body: Any = None) -> Any:
        client = JsonClient(self._rng.choice(self._addresses), max_connections=1)
        try:
            return await client.request(method, path, body=body, timeout_s=1.5)
        except DewspindleError:
            return None
        finally:
            await client.close()

    def _make_queue_table(self) -> Any:
        queue = {
            "name": "queue",
            "host": HOST,
            "path_prefix": PREFIX,
            "kind": "non_idempotent",
            "timeout_ms": 3000,
            "target_latency_ms": 500,
            "priority": 1,
            "service": "pool",
            "max_attempts": 3,
            "slack_factor": 2.0,
            "advisor": {
                "decision_ms": int(ADVICE_LATENCY_S * 1000),
                "per_worker_ms": 1,
                "validity_ms": APPROVAL_VALIDITY_MS,
            },
        }
        extra_queue = {**queue, "name": "more", "path_prefix": f"/more{self._version}/"}
        return {
            "version": self._version,
            "routes": [queue, extra_queue],
            "services": [{"name": "pool", "health_path": "/healthz", "max_connections": 64}],
            "limits": {"max_body_bytes": 262144},
            "tenants": self._teams.encode(),
        }

    async def withdraw_key(self, key: TeamKey, *, seconds: float) -> None:
        """Withdraw a key and add it again some time after the acknowledgement."""
        self._teams.withdraw(key)
        if await self.put():
            self._teams.record_withdrawal(key)
        await anyio.sleep(seconds)
        self._teams.add(key)
        if await self.put():
            self._teams.record_addition(key)

    async def put(self) -> bool:
        """Write a newer queue table, retrying; return whether it was acknowledged."""
        self._version += self._rng.randint(1, 3)
        version, queue_table = self._version, self._make_queue_table()
        self._sent_tables[version] = queue_table
        for _ in range(40):
            answer = await self._call("POST", "/Config.Replace", queue_table)
            if answer is not None and answer.status == 200:
                self.acknowledged_version = max(self.acknowledged_version, version)
                return True
            if answer is not None and answer.status < 500:
                self.violations.append(
                    f"queue table write: version {version} was rejected with {answer.status}"
                )
                return False
            await anyio.sleep(RETRY_INTERVAL_S)
        return False

    async def check(self, *, seconds: float = 0.0) -> None:
        """Read the queue table back and check it.

        Retries for `seconds`; without them, a read that is not answered is no violation.
        """
        minimum_version = self.acknowledged_version
        with anyio.move_on_after(max(seconds, CALL_TIMEOUT_S)):
            while True:
                answer = await self._call("GET", "/Config.Read")
                if answer is not None and answer.status == 200:
                    break
                if not seconds:
                    return
                await anyio.sleep(RETRY_INTERVAL_S)
            version = answer.body["version"]
            if version < minimum_version:
                self.violations.append(
                    f"queue table version: read {version}, but {minimum_version} was acknowledged"
                )
            if answer.body != self._sent_tables.get(version):
                self.violations.append(
                    f"queue table content: version {version} differs from what was sent"
                )
            return
        if seconds:
            self.violations.append("queue table read: the queue table cannot be read back")
