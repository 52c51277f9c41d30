"""The two programs that run on the platform: `entry` for callers and `cell` for the replicas."""

import random
import secrets
import signal
import sys
from functools import partial
from pathlib import Path

import anyio
from anyio.abc import TaskGroup

from ..exceptions import DewspindleError, InvalidSettingError
from ..http.server import HttpServer
from ..job_instances import EntryInstance, JobInstance, ReplicaInstance
from ..jobs.dispatcher import DispatchLimits
from ..replication.address_book import AddressBook
from ..schema import settings_pb2
from ..settings.loading import load_settings
from ..utils.logs import LogFormat, configure_logs, get_logger
from ..utils.metrics import Metrics, declare_reasons
from ..utils.refusals import Refusal, RetryReason
from ..utils.timers import SystemTimerService, TimerService
from .advisor_calls import AdvisorCalls
from .client_app import ClientApp
from .control_app import ControlApp
from .probe_app import MetricsApp, ReadinessApp
from .settings_file import PlatformSettings, load_platform_settings
from .worker_calls import WorkerCalls

METRICS_PORT = 9310  # Named in deploy/system.toml as well.
LEASE_MS = 6000  # Outlasts an election and the next leader's first round of calls.
KEEP_MARGIN_MS = 30_000  # Beside the time for which ended jobs must be known.
REPLACE_SILENT_MS = 8000  # Longer than a machine is usually frozen, restarted or cut off.
READY_DELAY_MS = 3500  # Two missed looks of the balancer, a second apart, and a margin.
SETTINGS_CHECK_S = 2.0  # Between looks for a changed settings file.

logger = get_logger(__name__)


def make_settings(platform: PlatformSettings) -> settings_pb2.Settings:
    """Return the product's settings for one process."""
    seeds = ",".join(f"{host}:{platform.peer_port}" for host in platform.seed_hosts)
    own_address = f"{platform.ip}:{platform.peer_port}"
    return load_settings(
        {
            "instance_id": platform.instance_id,
            "availability_zone": platform.availability_zone,
            "peer_address": own_address,
            "seeds": seeds or own_address,
            "initial_voters": str(2 * platform.lost_at_once + 1),
            "may_form": str(int(platform.may_form)),
            "data_dir": platform.data_dir,
            # The operator reaches this instance by the platform's interface only.
            "operator_token": secrets.token_hex(),
            "replace_silent_ms": str(REPLACE_SILENT_MS),
            "drain_timeout_ms": str(platform.grace_ms // 3),
            "election_timeout_ms": "700",
            "leader_lease_ms": "550",
            "heartbeat_interval_ms": "120",
            "ready_delay_ms": str(min(READY_DELAY_MS, platform.grace_ms // 2)),
            "snapshot_entries": "5000",
            "retained_entries": "1000",
            "segment_bytes": str(4 * 1024 * 1024),
        },
        environment={},
    )


def make_advisor(platform: PlatformSettings, timers: TimerService) -> AdvisorCalls | None:
    """Return the calls to the advisor, where there is one."""
    if not platform.advisor_address:
        return None
    return AdvisorCalls(platform.advisor_address, timers=timers)


def make_entry(
    platform: PlatformSettings, metrics: Metrics, *, metrics_port: int = METRICS_PORT
) -> tuple[JobInstance, AddressBook]:
    """Return the instance that callers reach, with its servers."""
    if not platform.client_address or not platform.readiness_address:
        raise InvalidSettingError("an entry needs 'client_addr' and 'readiness'")
    timers = SystemTimerService()
    instance = EntryInstance(
        make_settings(platform),
        advisor=make_advisor(platform, timers),
        timers=timers,
        metrics=metrics,
        seed=random.Random(),
    )
    app = ClientApp(relay=instance.relay, timers=timers, metrics=metrics)
    instance.add_server(HttpServer(app, address=platform.client_address))
    readiness = ReadinessApp(is_ready=lambda: instance.is_ready)
    instance.add_server(HttpServer(readiness, address=platform.readiness_address))
    instance.add_server(HttpServer(MetricsApp(metrics), address=f"{platform.ip}:{metrics_port}"))
    return instance, instance.book


def make_cell(
    platform: PlatformSettings, metrics: Metrics, *, metrics_port: int = METRICS_PORT
) -> tuple[JobInstance, AddressBook]:
    """Return a replica, with its servers and its calls to workers and the advisor."""
    if not platform.control_address or not platform.data_dir:
        raise InvalidSettingError("a replica needs 'admin' and a data folder")
    timers = SystemTimerService()
    limits = DispatchLimits(
        lease_s=min(LEASE_MS, platform.max_lease_ms) / 1000,
        keep_ended_ms=platform.keep_ended_ms + KEEP_MARGIN_MS,
        early_ms=platform.early_ms // 2,
    )
    instance = ReplicaInstance(
        make_settings(platform),
        gateway=WorkerCalls(),
        advisor=make_advisor(platform, timers),
        limits=limits,
        timers=timers,
        metrics=metrics,
        seed=random.Random(),
    )
    app = ControlApp(leader=instance.leader, timers=timers)
    instance.add_server(HttpServer(app, address=platform.control_address))
    instance.add_server(HttpServer(MetricsApp(metrics), address=f"{platform.ip}:{metrics_port}"))
    return instance, instance.book


ROLES = {"entry": make_entry, "cell": make_cell}


async def watch_signals(instance: JobInstance, book: AddressBook, group: TaskGroup) -> None:
    """Stop at SIGTERM, and read the settings again at SIGHUP."""
    is_stopping = False
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for number in signals:
            if number == signal.SIGHUP:
                reload_seeds(book)
            elif is_stopping:
                group.cancel_scope.cancel()
                return
            else:
                is_stopping = True
                logger.info("stopping", signal=int(number))
                instance.begin_shutdown()


def reload_seeds(book: AddressBook) -> None:
    """Take over the seeds of a changed file; a file that cannot be read changes nothing."""
    try:
        platform = load_platform_settings()
    except InvalidSettingError as error:
        logger.error("settings not reloaded", error=str(error))
        return
    seeds = [f"{host}:{platform.peer_port}" for host in platform.seed_hosts]
    if seeds != book.seeds:
        book.replace_seeds(seeds)
        logger.info("settings reloaded", seeds=seeds)


async def watch_settings(book: AddressBook) -> None:
    """Notice a settings file that changes without a signal."""
    timers = SystemTimerService()
    while True:
        await timers.sleep(SETTINGS_CHECK_S)
        reload_seeds(book)


async def run_program(role: str) -> None:
    """Run one role until it is told to stop."""
    platform = load_platform_settings()
    configure_logs(
        log_format=LogFormat.JSON,
        level="info",
        instance=platform.instance_id,
        zone=platform.availability_zone,
        stream=sys.stdout,
    )
    metrics = Metrics(instance=platform.instance_id, zone=platform.availability_zone)
    declare_reasons(metrics, enums=(Refusal, RetryReason))
    instance, book = ROLES[role](platform, metrics)
    logger.info("starting", role=role, seeds=platform.seed_hosts, may_form=platform.may_form)
    async with anyio.create_task_group() as group:
        group.start_soon(watch_signals, instance, book, group)
        group.start_soon(watch_settings, book)
        await instance.run()
        group.cancel_scope.cancel()
    logger.info("stopped", role=role)


def main(arguments: list[str]) -> int:
    """Run the role that the command line names; return the exit status."""
    if len(arguments) != 1 or arguments[0] not in ROLES:
        print(f"usage: {Path(sys.argv[0]).name} {'|'.join(ROLES)}", file=sys.stderr)
        return 2
    try:
        anyio.run(partial(run_program, arguments[0]))
    except DewspindleError as error:
        print(f"dewspindle: {error}", file=sys.stderr)
        return 1
    return 0
