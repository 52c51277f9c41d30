"""Stand-in callers and operator, with the checks of what they were promised."""

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

from .proxy import Proxy
from .workers import ADVICE_S, VALIDITY_MS, WireFleet

HOST = "jobs.example"
PREFIX = "/queue/"
ATTEMPTS = 5
CALL_TIMEOUT_S = 3.0
PAUSE_S = 0.3
FINAL_STATES = ("completed", "failed", "aborted")


def make_steps(chance: random.Random) -> list[dict[str, Any]]:
    """Return the steps of a random job."""
    task = {"cpu": chance.choice((500, 1000, 2000)), "mem_mb": 256, "estimate_ms": 800}
    kind = chance.randrange(4)
    if kind == 0:
        return [{**task, "count": chance.randint(2, 5), "gang": True}]
    if kind == 1:
        return [{**task, "count": 2}, {**task, "count": 3, "depends_on": [0]}]
    return [{**task, "count": chance.randint(1, 6)}]


class Callers:
    """Hands jobs in through any entry, and follows them."""

    def __init__(self, fleet: WireFleet, proxies: list[Proxy], *, seed: int) -> None:
        self._fleet = fleet
        self._random = random.Random(seed)
        self._clients = [JsonClient(proxy.address, max_connections=64) for proxy in proxies]
        self.cancelled: set[str] = set()
        self.completed: set[str] = set()
        self.broken: list[str] = []
        self.counts = {"accepted": 0, "refused": 0, "unknown": 0}

    async def call(self, method: str, job: str, *, body: Any = None) -> Any:
        """Send one request to some entry; None where no whole answer came."""
        client = self._random.choice(self._clients)
        headers = {"Host": HOST, "X-Dewspindle-Deadline-Ms": str(int(CALL_TIMEOUT_S * 1000))}
        try:
            return await client.request(
                method, PREFIX + job, body=body, headers=headers, timeout_s=CALL_TIMEOUT_S
            )
        except DewspindleError:
            return None

    async def run_job(self) -> None:
        """Hand one job in, and follow it for a while."""
        job = f"{self._random.getrandbits(64):016x}"
        body = {"spec": f"text {job}", "steps": make_steps(self._random)}
        plan = Plan(decode_job(json.dumps(body).encode()), run_s=self._random.uniform(0.2, 1.5))
        self._fleet.plans[job] = plan
        if not await self._submit(job, body):
            return
        if self._random.random() < 0.1:
            await self._cancel(job)
            return
        for _ in range(4):
            await anyio.sleep(self._random.uniform(0.5, 2.0))
            await self.look(job)

    async def _submit(self, job: str, body: Any) -> bool:
        """Hand a job in, again where that is allowed, and tell whether it was accepted."""
        may_run = False
        for _ in range(ATTEMPTS):
            answer = await self.call("POST", job, body=body)
            if answer is not None and answer.status == 200:
                self._fleet.accepted.add(job)
                self.counts["accepted"] += 1
                return True
            if answer is None or answer.status not in (429, 503):
                may_run = True
            await anyio.sleep(PAUSE_S)
        if may_run:
            self.counts["unknown"] += 1
        else:
            self.counts["refused"] += 1
            self._fleet.refused.add(job)
        return False

    async def _cancel(self, job: str) -> None:
        await anyio.sleep(self._random.uniform(0.0, 1.0))
        self.cancelled.add(job)
        for _ in range(ATTEMPTS):
            answer = await self.call("DELETE", job)
            if answer is not None and answer.status in (200, 410):
                self._fleet.cancelled_at[job] = self._fleet.clock.now
                return
            await anyio.sleep(PAUSE_S)

    async def look(self, job: str) -> None:
        """Read the state of an accepted job, and check it against what workers did."""
        answer = await self.call("GET", job)
        if answer is None or answer.status in (429, 502, 503, 504):
            return
        if answer.status != 200:
            self.broken.append(f"LOST: {job} was accepted, and reading it gives {answer.status}")
            return
        state = str(answer.body["state"])
        if state == "completed":
            self._check_completed(job)
            self.completed.add(job)
        elif job in self.completed:
            self.broken.append(f"MIXED: {job} was completed, and is {state} again")
        elif state in FINAL_STATES and job not in self.cancelled:
            self.broken.append(f"LOST: {job} is {state} without cause")

    def _check_completed(self, job: str) -> None:
        for number, step in enumerate(self._fleet.plans[job].spec.steps):
            tasks = [TaskRef(JobId(job), 0, number, index) for index in range(step.count)]
            ended = [task in self._fleet.ever_done for task in tasks]
            if not (any(ended) if step.gang else all(ended)):
                self.broken.append(f"MIXED: {job} is completed, and step {number} is not")

    async def finish(self, *, seconds: float) -> None:
        """Check that every accepted job completes, now that the faults are over."""
        waiting = self._fleet.accepted - self.cancelled - self.completed
        with anyio.move_on_after(seconds):
            while waiting:
                for job in sorted(waiting):
                    await self.look(job)
                # A caller may cancel its job only now.
                waiting -= self.completed | self.cancelled
                await anyio.sleep(PAUSE_S)
        self.broken += [f"LOST: {job} has not completed" for job in sorted(waiting)]


class Operator:
    """Puts configurations, and reads the newest back."""

    def __init__(self, addresses: list[str], *, seed: int) -> None:
        self._addresses = addresses
        self._random = random.Random(seed)
        self._sent: dict[int, Any] = {}
        self._version = 0
        self.acknowledged = 0
        self.broken: list[str] = []

    async def _call(self, method: str, path: str, body: Any = None) -> Any:
        client = JsonClient(self._random.choice(self._addresses), max_connections=1)
        try:
            return await client.request(method, path, body=body, timeout_s=1.5)
        except DewspindleError:
            return None
        finally:
            await client.close()

    def _make_config(self) -> Any:
        route = {
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
                "decision_ms": int(ADVICE_S * 1000),
                "per_worker_ms": 1,
                "validity_ms": VALIDITY_MS,
            },
        }
        more = {**route, "name": "more", "path_prefix": f"/more{self._version}/"}
        return {
            "version": self._version,
            "routes": [route, more],
            "services": [{"name": "pool", "health_path": "/healthz", "max_connections": 64}],
            "limits": {"max_body_bytes": 262144},
        }

    async def put(self) -> None:
        """Put a newer configuration, and send it again until it is acknowledged."""
        self._version += self._random.randint(1, 3)
        version, config = self._version, self._make_config()
        self._sent[version] = config
        for _ in range(40):
            answer = await self._call("POST", "/Config.Replace", config)
            if answer is not None and answer.status == 200:
                self.acknowledged = max(self.acknowledged, version)
                return
            if answer is not None and answer.status < 500:
                self.broken.append(f"CONFIG: version {version} is refused with {answer.status}")
                return
            await anyio.sleep(PAUSE_S)

    async def check(self, *, seconds: float = 0.0) -> None:
        """Read the configuration back; for some seconds, until it is answered."""
        oldest = self.acknowledged
        with anyio.move_on_after(max(seconds, CALL_TIMEOUT_S)):
            while True:
                answer = await self._call("GET", "/Config.Read")
                if answer is not None and answer.status == 200:
                    break
                if not seconds:
                    return
                await anyio.sleep(PAUSE_S)
            version = answer.body["version"]
            if version < oldest:
                self.broken.append(f"CONFIG: {version} is read, {oldest} was acknowledged")
            if answer.body != self._sent.get(version):
                self.broken.append(f"CONFIG: version {version} is not what was sent")
            return
        if seconds:
            self.broken.append("CONFIG: it cannot be read back")
