"""Runs one of the two programs on the platform: `entry` for callers, `cell` for the replicas."""

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
from ..utils.logs import LogFormat, configure_logs, get_logger
from ..utils.metrics import Metrics, initialize_reason_counters
from ..utils.refusals import Refusal, RetryReason
from ..utils.timers import SystemTimerService
from .settings_file import PlatformSettings, load_platform_settings

SETTINGS_CHECK_S = 2.0  # Between looks for a changed settings file.
# A role's module is imported only where it runs: start and memory count for each.
ROLES = {"entry": ("entry_program", "make_entry"), "cell": ("cell_program", "make_cell")}

Maker = Callable[[PlatformSettings, Metrics], tuple[JobInstance, AddressBook]]

logger = get_logger(__name__)


def find_maker(role: str) -> Maker:
    """Return what makes the instance of a role."""
    module, name = ROLES[role]
    maker: Maker = getattr(import_module(f".{module}", __package__), name)
    return maker


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
    initialize_reason_counters(metrics, enums=(Refusal, RetryReason))
    instance, book = find_maker(role)(platform, metrics)
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
