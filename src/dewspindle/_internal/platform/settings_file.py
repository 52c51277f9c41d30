"""The platform's settings file."""

import os
from dataclasses import dataclass
from pathlib import Path

from ..exceptions import InvalidSettingError

FILE_VARIABLE = "DEWSPINDLE_NODE_FILE"


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings that the platform provides to one process."""

    instance_id: str
    availability_zone: str
    ip: str
    peer_port: int
    client_address: str  # Empty on an instance that does not serve callers.
    readiness_address: str
    control_address: str  # Empty on an instance that does not serve workers and operators.
    seed_hosts: list[str]  # IP addresses of some replicas, which all use the same peer port.
    may_form: bool  # True only on the first start of the whole system, when a cell may be formed.
    tolerated_failures: int  # Simultaneous replica failures that must be survived.
    data_dir: str
    advisor_address: str
    max_task_lease_ms: int  # Upper limit of a worker's lease.
    keep_ended_ms: int  # Minimum retention of the state of ended jobs.
    early_ms: int  # How long before its due time a run of a recurring job may start.
    grace_ms: int  # Time between a stop request and the kill of the process.
    heartbeat_interval_ms: int  # Of workers.
    sheds_load: bool  # Callers compete for capacity, and late refusals harm them.
    disk_mb: int  # Size of the data disk; 0 if it is not known, or on an instance without one.
    catch_up_ms: int  # Time within which a new replica takes a lost one's place; 0 if not given.
    contact_timeout_ms: int  # Within which this and a heartbeat a shrunk worker must be known.


def load_platform_settings(path: Path | None = None) -> PlatformSettings:
    """Load the settings file; raise `InvalidSettingError` if it is unreadable or a field invalid.

    Addresses are not checked here.
    """
    if path is None:
        name = os.environ.get(FILE_VARIABLE, "")
        if not name:
            raise InvalidSettingError(f"{FILE_VARIABLE} is not set")
        path = Path(name)
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidSettingError(f"cannot read settings file {path}: {error}") from None
    return decode_platform_settings(text)


def decode_platform_settings(text: str) -> PlatformSettings:
    """Decode lines of the form `a.b=value`; unknown fields are ignored."""
    fields: dict[str, str] = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator:
            fields[name.strip()] = value.strip()
    return PlatformSettings(
        instance_id=_read_text(fields, "node_name"),
        availability_zone=_read_text(fields, "zone"),
        ip=_read_text(fields, "ip"),
        peer_port=_read_peer_port(fields),
        client_address=fields.get("bind_addrs.client_addr", ""),
        readiness_address=fields.get("bind_addrs.readiness", ""),
        control_address=fields.get("bind_addrs.admin", ""),
        seed_hosts=_read_hosts(fields, "seed_nodes"),
        may_form=fields.get("bootstrap", "false") == "true",
        tolerated_failures=_read_integer(fields, "fault_tolerance.machines", default=0),
        data_dir=fields.get("data_dir", ""),
        advisor_address=fields.get("advisor", ""),
        max_task_lease_ms=_read_integer(fields, "policy_limits.max_hold_ms", default=10_000),
        keep_ended_ms=1000 * _read_integer(fields, "policy_limits.status_s", default=120),
        early_ms=_read_integer(fields, "policy_limits.early_ms", default=0),
        heartbeat_interval_ms=_read_integer(fields, "heartbeat_interval_ms", default=1500),
        sheds_load="pressure" in fields.get("policies", "").split(","),
        disk_mb=_read_integer(fields, "limits.disk_mb", default=0),
        catch_up_ms=_read_milliseconds(fields, "policy_limits.catch_up_s", default=0.0),
        contact_timeout_ms=_read_integer(fields, "policy_limits.contact_timeout_ms", default=3000),
        grace_ms=_read_milliseconds(fields, "policy_limits.grace_period_s", default=6.0),
    )


def _read_text(fields: dict[str, str], name: str) -> str:
    value = fields.get(name, "")
    if not value:
        raise InvalidSettingError(f"required field {name!r} is missing from the settings file")
    return value


def _read_number(fields: dict[str, str], name: str, *, default: float) -> float:
    text = fields.get(name, "")
    if not text:
        return default
    try:
        return float(text)
    except ValueError:
        raise InvalidSettingError(f"field {name!r} is not a number: {text!r}") from None


def _read_integer(fields: dict[str, str], name: str, *, default: int) -> int:
    return int(_read_number(fields, name, default=default))


def _read_milliseconds(fields: dict[str, str], name: str, *, default: float) -> int:
    """Return a field in seconds as milliseconds."""
    return int(1000 * _read_number(fields, name, default=default))


def _read_peer_port(fields: dict[str, str]) -> int:
    """Return the peer port, which is the first of the internal ports; the others are not used."""
    text = _read_text(fields, "internal_ports").split(",")[0]
    if not text.strip().isdigit():
        raise InvalidSettingError(f"the first entry of 'internal_ports' is not a port: {text!r}")
    return int(text)


def _read_hosts(fields: dict[str, str], name: str) -> list[str]:
    """Return the hosts of a comma-separated list of addresses, without their ports.

    The platform lists the ports of the replicas' HTTP interface, not their peer ports.
    """
    items = [item.strip() for item in fields.get(name, "").split(",")]
    return [item.rpartition(":")[0] for item in items if ":" in item]
