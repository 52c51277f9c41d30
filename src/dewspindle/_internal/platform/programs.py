"""Entry point of programs on the platform: role `entry` is an entry instance, `cell` a replica."""

import signal
import sys
from collections.abc import Callable
from functools import partial
from importlib import import_module
from pathlib import Path

import anyio
from anyio.abc import TaskGroup

from ..exceptions import DewspindleError, InvalidSettingError
from ..job_instance import JobInstance
from ..replication.address_book import AddressBook
from ..utils.garbage import limit_collections
from ..utils.imports import report_imports
from ..utils.logs import LogFormat, configure_logs, get_logger
from ..utils.metrics import Metrics, initialize_reason_counters
from ..utils.refusals import Refusal, RetryReason
from ..utils.timers import SystemTimerService
from .settings_file import PlatformSettings, load_platform_settings

SETTINGS_POLL_INTERVAL_S = 2.0  # Interval between checks for a changed settings file.
# Role modules are imported on demand to reduce start time and memory use.
ROLES = {
    "entry": ("entry_program", "make_entry_instance"),
    "cell": ("cell_program", "make_replica"),
}

# Roles on the faster event loop: the leader is bound by its processor time. Entry instances are
# idle, and would only pay for it with memory.
UVLOOP_ROLES = frozenset({"cell"})

# Modules that libraries import only when they first need them.
LATE_IMPORTS = (
    "anyio._core._signals",
    "encodings.idna",
    "grpc._utilities",
    "uvicorn.lifespan.off",
    "uvicorn.protocols.http.httptools_impl",
)

InstanceFactory = Callable[[PlatformSettings, Metrics], tuple[JobInstance, AddressBook]]

logger = get_logger(__name__)


def load_instance_factory(role: str) -> InstanceFactory:
    """Import and return the function that builds the instance of a role."""
    module, name = ROLES[role]
    factory: InstanceFactory = getattr(import_module(f".{module}", __package__), name)
    return factory


async def watch_signals(instance: JobInstance, address_book: AddressBook, group: TaskGroup) -> None:
    """Shut down on SIGTERM or SIGINT, at once on a second one, and reload seeds on SIGHUP."""
    is_stopping = False
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for number in signals:
            if number == signal.SIGHUP:
                reload_seeds(address_book)
            elif is_stopping:
                group.cancel_scope.cancel()
                return
            else:
                is_stopping = True
                logger.info("stopping", signal=int(number))
                instance.begin_shutdown()


def reload_seeds(address_book: AddressBook) -> None:
    """Apply changed seeds from the settings file; keep the current seeds if it is invalid.

    Other changed settings take effect at the next start.
    """
    try:
        platform = load_platform_settings()
    except InvalidSettingError as error:
        logger.error("seeds not reloaded", error=str(error))
        return
    seeds = [f"{host}:{platform.peer_port}" for host in platform.seed_hosts]
    if seeds != address_book.seeds:
        address_book.replace_seeds(seeds)
        logger.info("seeds reloaded", seeds=seeds)


async def watch_seeds(address_book: AddressBook) -> None:
    """Reload the seeds periodically, as the file may change without a signal."""
    timers = SystemTimerService()
    while True:
        await timers.sleep(SETTINGS_POLL_INTERVAL_S)
        reload_seeds(address_book)


async def run_program(role: str) -> None:
    """Run one role until it has shut down."""
    platform = load_platform_settings()
    configure_logs(
        log_format=LogFormat.JSON,
        level="info",
        instance=platform.instance_id,
        zone=platform.availability_zone,
        stream=sys.stdout,
    )
    make_instance = load_instance_factory(role)
    metrics = Metrics(instance=platform.instance_id, zone=platform.availability_zone)
    metrics.load()
    for module in LATE_IMPORTS:
        import_module(module)
    report_imports()
    initialize_reason_counters(metrics, enums=(Refusal, RetryReason))
    instance, address_book = make_instance(platform, metrics)
    limit_collections()
    logger.info("starting", role=role, seeds=platform.seed_hosts, may_form=platform.may_form)
    async with anyio.create_task_group() as group:
        group.start_soon(watch_signals, instance, address_book, group)
        group.start_soon(watch_seeds, address_book)
        await instance.run()
        group.cancel_scope.cancel()
    logger.info("stopped", role=role)


def main(arguments: list[str]) -> int:
    """Run the role named on the command line and return the exit status."""
    if len(arguments) != 1 or arguments[0] not in ROLES:
        print(f"usage: {Path(sys.argv[0]).name} {'|'.join(ROLES)}", file=sys.stderr)
        return 2
    try:
        anyio.run(
            partial(run_program, arguments[0]),
            backend_options={"use_uvloop": arguments[0] in UVLOOP_ROLES},
        )
    except DewspindleError as error:
        print(f"dewspindle: {error}", file=sys.stderr)
        return 1
    return 0
