"""What other writers send to the cell: heartbeats of no worker, and rows that cannot be read."""

import random
from typing import Any
from urllib.parse import quote

import anyio

from dewspindle._internal.exceptions import DewspindleError
from dewspindle._internal.network.json_client import JsonClient

SEND_INTERVAL_S = (0.05, 0.4)
SEND_TIMEOUT_S = 1.0
BAD_ROW_FRACTION = 0.05  # Of the answers of workers.
BAD_IDS = ("i-7f3a\x000091", "i-\n1", "i- 1", "\x1b[2J", "ä", "x" * 5000, "..", "i-%00")
BAD_VALUES: tuple[Any, ...] = (
    None,
    True,
    -1,
    2**63,
    10**400,
    float("inf"),
    float("nan"),
    "",
    "\ud800",
    "\x00",
    "x" * 70_000,
    [],
    [[[[]]]],
    {"a": {}},
)


def change_fields(fields: dict[str, Any], rng: random.Random) -> dict[str, Any]:
    """Return fields of which some are missing or hold another value."""
    changed = dict(fields)
    for name in rng.sample(sorted(fields), rng.randint(0, 3)):
        if rng.random() < 0.2:
            del changed[name]
        else:
            changed[name] = rng.choice(BAD_VALUES)
    return changed


def add_bad_rows(body: dict[str, Any], rng: random.Random) -> None:
    """Add rows to a worker's task lists, now and then, that no row of it may be like."""
    if rng.random() >= BAD_ROW_FRACTION:
        return
    name = "00000000000000ff.0.0.0"
    active = [name, 1, "", 100, 0]
    active[rng.randrange(4)] = rng.choice(BAD_VALUES)
    # The number is the last field that may be bad: a valid one would hide later ends.
    ended = [float("inf"), name, 1, "done", rng.choice(BAD_VALUES)]
    body["active"] = [*body["active"], rng.choice((active, rng.choice(BAD_VALUES)))]
    body["finished"] = [*body["finished"], rng.choice((ended, rng.choice(BAD_VALUES)))]


async def send_heartbeats(
    control_addresses: list[str], worker_addresses: list[str], rng: random.Random
) -> None:
    """Send heartbeats and deregistrations that name no worker to use, until cancelled."""
    while True:
        await anyio.sleep(rng.uniform(*SEND_INTERVAL_S))
        fields = {
            "service": "unnamed",
            "address": rng.choice(worker_addresses),
            "zone": "zone",
            "state": "ready",
            "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
            "labels": ["a", "r1"],
            "clock_ms": 5,
            "sequence": rng.randrange(1, 100),
            "born": rng.randrange(1, 100),
        }
        worker_id = rng.choice((*BAD_IDS, f"stranger-{rng.randrange(20)}"))
        call = rng.choice(("Heartbeat", "Heartbeat", "Deregister"))
        client = JsonClient(rng.choice(control_addresses), max_connections=1)
        try:
            await client.request(
                "POST",
                f"/Instances.{call}/{quote(worker_id, safe='')}",
                body=change_fields(fields, rng),
                timeout_s=SEND_TIMEOUT_S,
            )
        except DewspindleError:
            continue  # The replica may be down.
        finally:
            await client.close()
