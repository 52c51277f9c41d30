"""Requests with keys that must not open a job, and checks of their answers.

Each violation starts with the name of the rule that was broken:
unknown key: a request with a key that no team ever held is refused.
other team: a request for a job with a key of another team is refused.
withdrawn key: no request succeeds that is sent 5 s after its key was withdrawn.
"""

import random
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

from .teams import TeamKey, Teams
from .workers import HttpFleet

# Sends a method with the id of a job, a key and a body; returns None without a complete answer.
Call = Callable[[str, str, TeamKey, Any], Awaitable[Any]]


class KeyChecks:
    """Sends requests with wrong keys and checks that none succeeds."""

    def __init__(self, fleet: HttpFleet, teams: Teams, call: Call, *, rng: random.Random) -> None:
        self._fleet = fleet
        self._teams = teams
        self._call = call
        self._rng = rng
        self.violations: list[str] = []
        self.answer_counts: Counter[str] = Counter()  # By rule and status.

    async def check(self, job: str, team: str, body: Any) -> None:
        """Send one request with a wrong key for a job of a team."""
        withdrawn = self._teams.get_refused_key(team)
        if withdrawn is not None:
            await self._check_withdrawn(job, withdrawn, body)
        elif self._rng.random() < 0.5:
            await self._check_unknown(job, body)
        else:
            await self._check_other_team(job, team)

    async def _check_unknown(self, job: str, body: Any) -> None:
        key = TeamKey(f"unknown-{self._rng.getrandbits(32):08x}")
        method = self._rng.choice(("GET", "POST", "DELETE"))
        job = self._choose_job(method, job)
        answer = await self._call(method, job, key, body if method == "POST" else None)
        self._check_status("unknown key", method, job, answer, refusals=(401, 503))

    async def _check_other_team(self, job: str, team: str) -> None:
        other = self._rng.choice([name for name in self._teams.names if name != team])
        key = self._teams.get_valid_key(other, self._rng)
        method = self._rng.choice(("GET", "DELETE"))
        answer = await self._call(method, job, key, None)
        self._check_status("other team", method, job, answer, refusals=(401, 403, 410, 503))

    async def _check_withdrawn(self, job: str, key: TeamKey, body: Any) -> None:
        method = self._rng.choice(("GET", "POST"))
        job = self._choose_job(method, job)
        answer = await self._call(method, job, key, body if method == "POST" else None)
        # The operator may have added the key again before the answer.
        if self._teams.is_refused(key):
            self._check_status("withdrawn key", method, job, answer, refusals=(401, 503))

    def _choose_job(self, method: str, job: str) -> str:
        """Return the job itself, or for half of the submissions the id of a new one like it."""
        if method != "POST" or self._rng.random() < 0.5:
            return job
        new_job = f"{self._rng.getrandbits(64):016x}"
        self._fleet.plans[new_job] = self._fleet.plans[job]
        return new_job

    def _check_status(
        self, rule: str, method: str, job: str, answer: Any, *, refusals: tuple[int, ...]
    ) -> None:
        if answer is None:
            return
        self.answer_counts[f"{rule} {answer.status}"] += 1
        if answer.status in refusals and job not in self._fleet.accepted:
            self._fleet.refused.add(job)
        # The outcome of a write is unknown if the entry instance lost the leader's answer.
        is_unknown = answer.status == 504 and method != "GET"
        if answer.status not in refusals and not is_unknown:
            self.violations.append(f"{rule}: {method} of {job} returns {answer.status}")
