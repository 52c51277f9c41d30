"""Instance settings derived from the platform's settings."""

import secrets

from ..schema import settings_pb2
from ..settings.loading import load_settings
from .settings_file import PlatformSettings

METRICS_PORT = 9310  # Must match `metrics` in deploy/system.toml.
# Silence after which a voter is replaced that was not lost shortly before a new replica started;
# longer than typical freezes, restarts and partitions.
REPLACE_SILENT_MS = 8000
READY_DELAY_MS = 3500  # Two load balancer probes, 1 s apart, and a margin.

DEFAULT_DISK_MB = 128  # Where the platform names no size.
# Shares of the data disk. Two snapshots of the largest state fit beside the log: the one in use and
# the one that is being written.
STATE_SHARE = 0.3
SNAPSHOT_SHARE = 0.125
RETAINED_SHARE = 0.0625
SEGMENT_SHARE = 0.03125


def make_instance_settings(platform: PlatformSettings) -> settings_pb2.Settings:
    """Return the settings of one instance on the platform."""
    seeds = ",".join(f"{host}:{platform.peer_port}" for host in platform.seed_hosts)
    own_address = f"{platform.ip}:{platform.peer_port}"
    disk_bytes = (platform.disk_mb or DEFAULT_DISK_MB) * 1024 * 1024
    return load_settings(
        {
            "instance_id": platform.instance_id,
            "availability_zone": platform.availability_zone,
            "peer_address": own_address,
            "seeds": seeds or own_address,
            "initial_voters": str(2 * platform.tolerated_failures + 1),
            "may_form": str(int(platform.may_form)),
            "data_dir": platform.data_dir,
            # The settings require a token, but an instance on the platform serves no interface
            # that accepts it.
            "operator_token": secrets.token_hex(),
            "replace_silent_ms": str(REPLACE_SILENT_MS),
            "catch_up_ms": str(platform.catch_up_ms),
            # The ready delay and the drain, one after the other, end within the grace period.
            "drain_timeout_ms": str(platform.grace_ms // 3),
            "election_timeout_ms": "500",
            "leader_lease_ms": "400",
            "heartbeat_interval_ms": "100",
            "ready_delay_ms": str(min(READY_DELAY_MS, platform.grace_ms // 2)),
            "snapshot_entries": "5000",
            "retained_entries": "1000",
            "segment_bytes": str(int(SEGMENT_SHARE * disk_bytes)),
            "snapshot_bytes": str(int(SNAPSHOT_SHARE * disk_bytes)),
            "max_state_bytes": str(int(STATE_SHARE * disk_bytes)),
            "retained_bytes": str(int(RETAINED_SHARE * disk_bytes)),
        },
        environment={},
    )
