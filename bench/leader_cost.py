"""Processor time of a job cell's leader per task, on stand-in workers over loopback.

The measuring process is the leader. Its followers, and the workers with the callers, run in two
other processes, so that their processor time does not count.

    python -m bench.leader_cost --runs 3
    python -m bench.leader_cost --profile leader.txt
"""

import argparse
import cProfile
import io
import json
import pstats
import random
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import TaskGroup

from dewspindle._internal.job_replica import JobReplicaInstance
from dewspindle._internal.jobs.dispatch_limits import DispatchLimits
from dewspindle._internal.network.pooled_client import PooledJsonClient
from dewspindle._internal.platform.cell_program import TASK_LEASE_MS
from dewspindle._internal.platform.worker_client import CONNECTIONS_PER_WORKER, WorkerClient
from dewspindle._internal.replication.handlers import CampaignReason
from dewspindle._internal.schema import cell_pb2, jobs_pb2, settings_pb2
from dewspindle._internal.settings.loading import load_settings
from dewspindle._internal.utils.local_ports import reserve_address
from dewspindle._internal.utils.logs import LogFormat, configure_logs
from dewspindle._internal.utils.metrics import Metrics
from dewspindle._internal.utils.timers import SystemTimerService

from .called_workers import HOST, KINDS, POOL, JobKind, play_load
from .results import print_measurement

FOLLOWERS = 4
WARM_UP_S = 5.0  # Until the number of running tasks is steady.
START_UP_S = 3.0  # For the other process to start and all workers to be known.
CLUSTER_TIMEOUT_S = 20.0
# Long, so that no replica loses the leadership on a busy machine.
ELECTION_TIMEOUT_MS = 5000
LEADER_LEASE_MS = 4000


def make_settings(number: int, addresses: list[str], folder: str) -> settings_pb2.Settings:
    """Return the settings of one replica."""
    return load_settings(
        {
            "instance_id": f"i{number}",
            "availability_zone": f"zone-{number % 3}",
            "peer_address": addresses[number],
            "seeds": ",".join(addresses),
            "initial_voters": str(len(addresses)),
            "may_form": "1",
            "data_dir": f"{folder}/i{number}",
            "operator_token": "bench",
            "election_timeout_ms": str(ELECTION_TIMEOUT_MS),
            "leader_lease_ms": str(LEADER_LEASE_MS),
            "heartbeat_interval_ms": "100",
            "snapshot_entries": "5000",
            "retained_entries": "1000",
            "segment_bytes": str(4 * 1024 * 1024),
        },
        environment={},
    )


def make_instance(settings: settings_pb2.Settings) -> JobReplicaInstance:
    """Return a replica as `platform/cell_program.py` makes it, without an advisor."""
    metrics = Metrics(instance=settings.instance_id, zone=settings.availability_zone)
    metrics.load()
    return JobReplicaInstance(
        settings,
        gateway=WorkerClient(PooledJsonClient(connections_per_address=CONNECTIONS_PER_WORKER)),
        advisor=None,
        limits=DispatchLimits(lease_s=TASK_LEASE_MS / 1000, keep_ended_ms=10_000),
        timers=SystemTimerService(),
        metrics=metrics,
        rng=random.Random(int(settings.instance_id[1:])),
    )


async def run_followers(addresses: list[str], folder: str) -> None:
    """Run the followers until the process is ended."""
    async with anyio.create_task_group() as group:
        for number in range(1, len(addresses)):
            group.start_soon(make_instance(make_settings(number, addresses, folder)).run)


def make_queue(kind: JobKind) -> jobs_pb2.Queue:
    """Return the queue of a kind of job."""
    return jobs_pb2.Queue(
        name=kind.name,
        host=HOST,
        path_prefix=f"/{kind.name}/",
        pool=POOL,
        priority=kind.priority,
        max_attempts=3,
        slack_factor=kind.slack,
        aim_ms=kind.aim_ms,
        timeout_ms=3000,
    )


def spawn(*arguments: str) -> subprocess.Popen[bytes]:
    """Start this program in another process with other arguments."""
    command = [sys.executable, "-m", "bench.leader_cost", *arguments]
    return subprocess.Popen(command, stdout=subprocess.PIPE)


class LeaderRun:
    """One run: a leader in this process, and its followers, workers and callers in others."""

    def __init__(self, arguments: argparse.Namespace, *, folder: str) -> None:
        self._arguments = arguments
        self._folder = folder
        # The seed whose address is the lowest as text, that of this process, forms the cell.
        self._addresses = sorted(reserve_address() for _ in range(FOLLOWERS + 1))
        self._profile = cProfile.Profile() if arguments.profile else None

    def write_profile(self) -> None:
        """Write the profile to its file, if there is one."""
        if self._profile is not None:
            Path(self._arguments.profile).write_text(describe_profile(self._profile))

    async def run(self) -> dict[str, Any]:
        """Return the measured figures."""
        followers = spawn("--followers", ",".join(self._addresses), "--folder", self._folder)
        settings = make_settings(0, self._addresses, self._folder)
        instance = make_instance(settings)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(instance.run)
                results = await self._measure(instance, group)
                group.cancel_scope.cancel()
        finally:
            followers.kill()
            followers.wait()
        return results

    async def _measure(self, instance: JobReplicaInstance, group: TaskGroup) -> dict[str, Any]:
        await self._configure(instance)
        arguments = self._arguments
        begins_at = time.monotonic() + START_UP_S + WARM_UP_S
        ends_at = begins_at + arguments.seconds
        load = {
            "leader": self._addresses[0],
            "workers": arguments.workers,
            "rate": arguments.rate,
            "begins_at": begins_at,
            "ends_at": ends_at,
        }
        standins = spawn("--load", json.dumps(load))
        await anyio.sleep(begins_at - time.monotonic())
        used_s = time.process_time()
        if self._profile is not None:
            self._profile.enable()
        await anyio.sleep(ends_at - time.monotonic())
        if self._profile is not None:
            self._profile.disable()
        used_s = time.process_time() - used_s
        output, _ = await anyio.to_thread.run_sync(standins.communicate)
        counts = json.loads(output)
        return {
            "leader_cores": round(used_s / arguments.seconds, 3),
            "core_ms_per_task": round(used_s / max(1, counts["starts"]) * 1000, 3),
            "starts_per_s": round(counts["starts"] / arguments.seconds, 1),
            "renewals_per_start": round(counts["renewals"] / max(1, counts["starts"]), 3),
            **{key: value for key, value in counts.items() if key.endswith("_ms")},
        }

    async def _configure(self, instance: JobReplicaInstance) -> None:
        """Have this replica lead, and set the queue table."""
        replica = instance._replica
        with anyio.fail_after(CLUSTER_TIMEOUT_S):
            await instance._formation.joined.wait()
            while instance._leader_services.dispatcher is None:
                if replica.leadership is None:
                    replica.handlers.request_campaign(CampaignReason.TRANSFER)
                await anyio.sleep(0.5)
        table = jobs_pb2.QueueTable(
            version=1,
            queues=[make_queue(kind) for kind in KINDS],
            pools=[jobs_pb2.Pool(name=POOL)],
        )
        await replica.propose(cell_pb2.Command(queue_table=table))


def describe_profile(profile: cProfile.Profile) -> str:
    """Return the own time by module, and the functions with most own and cumulative time."""
    stream = io.StringIO()
    stats = pstats.Stats(profile, stream=stream)
    own_s: Counter[str] = Counter()
    calls: Counter[str] = Counter()
    for (path, _, name), (_, count, own, _, _) in stats.stats.items():  # type: ignore[attr-defined]
        module = "/".join(Path(path).parts[-2:]) if path != "~" else f"builtin {name}"
        own_s[module] += own
        calls[module] += count
    for module, seconds in own_s.most_common(40):
        stream.write(f"{seconds:8.3f} s {calls[module]:9d} calls  {module}\n")
    for order in ("tottime", "cumulative"):
        stats.sort_stats(order).print_stats(70)
    return stream.getvalue()


def parse_arguments() -> argparse.Namespace:
    """Return the arguments; the last three are for the processes that the program starts."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workers", type=int, default=176)
    parser.add_argument("--rate", type=float, default=1.0, help="times the usual arrivals")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--profile", default="", help="file for a profile, which adds its own cost")
    parser.add_argument("--followers", default="", help=argparse.SUPPRESS)
    parser.add_argument("--folder", default="", help=argparse.SUPPRESS)
    parser.add_argument("--load", default="", help=argparse.SUPPRESS)
    return parser.parse_args()


def main() -> None:
    """Print the figures of each run as JSON."""
    arguments = parse_arguments()
    with Path("/dev/null").open("w") as sink:
        # The leader formats its lines as in production; only their output is dropped.
        configure_logs(
            log_format=LogFormat.JSON, level="info", instance="bench", zone="z", stream=sink
        )
        if arguments.followers:
            anyio.run(run_followers, arguments.followers.split(","), arguments.folder)
        elif arguments.load:
            print(json.dumps(anyio.run(play_load, json.loads(arguments.load))))
        else:
            for _ in range(arguments.runs):
                with tempfile.TemporaryDirectory(prefix="dewspindle-bench-") as folder:
                    run = LeaderRun(arguments, folder=folder)
                    results = anyio.run(run.run)
                    run.write_profile()
                print_measurement("leader_cost", results)


if __name__ == "__main__":
    main()
