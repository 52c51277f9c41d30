"""Teams of the simulated callers, and which of their keys the queue table holds."""

import random
from typing import Any, NewType

from .workers import RealClock

TeamKey = NewType("TeamKey", str)

# Millicores by team. The largest gang takes 10000, and a team has about as much work on average.
CAPS = {"red": 0, "green": 0, "blue": 12000}
WEIGHT = 1000  # Jobs a second, far more than the callers send.
WITHDRAWAL_LIMIT_S = 5.0  # The platform's `revoke_timeout_ms`.
ADDITION_LIMIT_S = 2.5  # The platform's `config_apply_ms`.


class Teams:
    """Keys of all teams, with when the operator's changes of them were acknowledged."""

    def __init__(self, clock: RealClock) -> None:
        self._clock = clock
        self._keys = {
            team: [TeamKey(f"{team}-key-{number}") for number in range(2)] for team in CAPS
        }
        self._withdrawn: set[TeamKey] = set()  # Missing in the newest table that was made.
        self._withdrawn_at: dict[TeamKey, float] = {}  # When their withdrawal was acknowledged.
        self._added_at: dict[TeamKey, float] = {}  # When they were acknowledged again.

    @property
    def names(self) -> list[str]:
        """Return the names of all teams."""
        return list(self._keys)

    def encode(self) -> list[dict[str, Any]]:
        """Return the teams as the queue table lists them."""
        return [
            {
                "name": team,
                "api_keys": [key for key in keys if key not in self._withdrawn],
                "weight": WEIGHT,
                "priority": 1,
                "cap": {"cpu": CAPS[team], "mem_mb": 0, "gpu": 0},
            }
            for team, keys in self._keys.items()
        ]

    def choose_key(self, rng: random.Random) -> TeamKey:
        """Return a random key of a team whose other key is valid, so that callers can go on."""
        teams = [keys for keys in self._keys.values() if all(map(self.is_valid, keys))]
        return rng.choice(rng.choice(teams))

    def get_valid_key(self, team: str, rng: random.Random) -> TeamKey:
        """Return a random key of a team that every answer has to know."""
        return rng.choice([key for key in self._keys[team] if self.is_valid(key)])

    def get_refused_key(self, team: str) -> TeamKey | None:
        """Return a key of a team with which no request may succeed, or None."""
        return next((key for key in self._keys[team] if self.is_refused(key)), None)

    def is_valid(self, key: TeamKey) -> bool:
        """Return whether a request sent now must not be refused for its key."""
        if key in self._withdrawn:
            return False
        return self._clock.now >= self._added_at.get(key, 0.0) + ADDITION_LIMIT_S

    def is_refused(self, key: TeamKey) -> bool:
        """Return whether a request sent now must not succeed with the key."""
        withdrawn_at = self._withdrawn_at.get(key)
        return withdrawn_at is not None and self._clock.now > withdrawn_at + WITHDRAWAL_LIMIT_S

    def withdraw(self, key: TeamKey) -> None:
        """Leave a key out of the queue tables that are made from now on."""
        self._withdrawn.add(key)

    def record_withdrawal(self, key: TeamKey) -> None:
        """Record that a queue table without the key was acknowledged."""
        self._withdrawn_at[key] = self._clock.now

    def add(self, key: TeamKey) -> None:
        """Include a key in the queue tables that are made from now on."""
        # Not valid until the addition is acknowledged.
        self._added_at[key] = float("inf")
        self._withdrawn_at.pop(key, None)
        self._withdrawn.discard(key)

    def record_addition(self, key: TeamKey) -> None:
        """Record that a queue table with the key was acknowledged."""
        self._added_at[key] = self._clock.now
