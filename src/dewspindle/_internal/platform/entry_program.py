"""Assembly of the process that runs one entry instance (role `entry`)."""

import random

from ..exceptions import InvalidSettingError
from ..http.server import HttpServer
from ..job_entry import JobEntryInstance
from ..job_instance import JobInstance
from ..network.json_client import AddressedJsonClient
from ..replication.address_book import AddressBook
from ..utils.metrics import Metrics
from ..utils.timers import SystemTimerService
from .advisor_client import make_advisor_client
from .client_app import ClientApp
from .instance_settings import METRICS_PORT, make_instance_settings
from .probe_app import MetricsApp, ReadinessApp
from .settings_file import PlatformSettings


def make_entry_instance(
    platform: PlatformSettings, metrics: Metrics, *, metrics_port: int = METRICS_PORT
) -> tuple[JobInstance, AddressBook]:
    """Build an entry instance with its HTTP servers and its client for the advisor."""
    if not platform.client_address or not platform.readiness_address:
        raise InvalidSettingError(
            "an entry instance requires the settings 'bind_addrs.client_addr' and "
            "'bind_addrs.readiness'"
        )
    timers = SystemTimerService()
    client = AddressedJsonClient()
    instance = JobEntryInstance(
        make_instance_settings(platform),
        advisor=make_advisor_client(platform.advisor_address, client),
        timers=timers,
        metrics=metrics,
        rng=random.Random(),
    )
    app = ClientApp(relay=instance.relay, timers=timers, metrics=metrics)
    instance.add_server(HttpServer(app, address=platform.client_address))
    readiness = ReadinessApp(is_ready=lambda: instance.is_ready)
    instance.add_server(HttpServer(readiness, address=platform.readiness_address))
    instance.add_server(HttpServer(MetricsApp(metrics), address=f"{platform.ip}:{metrics_port}"))
    return instance, instance.address_book
