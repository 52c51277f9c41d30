"""Assembly of the process that runs one replica (role `cell`)."""

import os
import random

from ..exceptions import InvalidSettingError
from ..http.leader_views_app import LeaderViewsApp
from ..http.server import HttpServer
from ..job_instance import JobInstance
from ..job_replica import JobReplicaInstance
from ..jobs.dispatch_limits import DispatchLimits
from ..jobs.fleet import HeartbeatLimits
from ..network.pooled_client import PooledJsonClient
from ..replication.address_book import AddressBook
from ..utils.addresses import Address, parse_address
from ..utils.metrics import Metrics
from ..utils.timers import SystemTimerService
from .advisor_client import make_advisor_client
from .control_app import ControlApp
from .instance_settings import METRICS_PORT, make_instance_settings
from .probe_app import MetricsApp
from .settings_file import PlatformSettings
from .worker_client import CONNECTIONS_PER_WORKER, WorkerClient

TASK_LEASE_MS = 6000  # Longer than an election and the next leader's first calls to all workers.
# Learning from run times takes some 6 % of the leader's processor time at 400 ends a second, so it
# is done only where operators ask for it.
INTERFERENCE_VARIABLE = "DEWSPINDLE_AVOID_INTERFERENCE"
RETENTION_MARGIN_MS = 30_000  # Added to the platform's retention period for ended jobs.


def read_switch(name: str) -> bool:
    """Return whether a variable of the environment is on; raise `InvalidSettingError`."""
    value = os.environ.get(name, "0")
    if value not in ("0", "1"):
        raise InvalidSettingError(f"{name} must be 0 or 1, not {value!r}")
    return value == "1"


def make_heartbeat_limits(platform: PlatformSettings) -> HeartbeatLimits:
    """Return the limits of the workers' heartbeats."""
    return HeartbeatLimits(
        interval_s=platform.heartbeat_interval_ms / 1000,
        shrinking_known_s=platform.contact_timeout_ms / 1000,
    )


def replace_port(address: str, port: int) -> str:
    """Return an address with another port, as all replicas use the same ports."""
    return str(Address(parse_address(address).host, port)) if address else ""


def make_replica(
    platform: PlatformSettings, metrics: Metrics, *, metrics_port: int = METRICS_PORT
) -> tuple[JobInstance, AddressBook]:
    """Build a replica with its HTTP servers and its clients for workers and the advisor."""
    if not platform.control_address or not platform.data_dir:
        raise InvalidSettingError(
            "a replica requires the settings 'bind_addrs.admin' and 'data_dir'"
        )
    timers = SystemTimerService()
    client = PooledJsonClient(connections_per_address=CONNECTIONS_PER_WORKER)
    limits = DispatchLimits(
        lease_s=min(TASK_LEASE_MS, platform.max_task_lease_ms) / 1000,
        max_lease_s=platform.max_task_lease_ms / 1000,
        keep_ended_ms=platform.keep_ended_ms + RETENTION_MARGIN_MS,
        early_ms=platform.early_ms // 2,
        heartbeats=make_heartbeat_limits(platform),
        paces_starts=platform.sheds_load,
        avoids_interference=read_switch(INTERFERENCE_VARIABLE),
    )
    instance = JobReplicaInstance(
        make_instance_settings(platform),
        gateway=WorkerClient(client),
        advisor=make_advisor_client(platform.advisor_address, client),
        limits=limits,
        timers=timers,
        metrics=metrics,
        rng=random.Random(),
    )
    app = ControlApp(leader=instance.leader, timers=timers)
    instance.add_server(HttpServer(app, address=platform.control_address))
    views = LeaderViewsApp(
        MetricsApp(metrics),
        make_view=instance.leader_services.make_view,
        find_leader=lambda: replace_port(instance.find_other_leader(), metrics_port),
    )
    instance.add_server(HttpServer(views, address=f"{platform.ip}:{metrics_port}"))
    return instance, instance.address_book
