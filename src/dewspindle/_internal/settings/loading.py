"""Loading of settings from flags and environment variables, validated by the schema."""

import os
import re
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from google.protobuf.descriptor import FieldDescriptor

from ..exceptions import InvalidDocumentError, InvalidSettingError
from ..schema import options_pb2, settings_pb2
from ..utils.addresses import Address, parse_address
from ..utils.documents import check_rules

ENVIRONMENT_PREFIX = "DEWSPINDLE_"
_PEER = re.compile(r"(?P<id>[A-Za-z0-9._-]+)@(?P<address>.+)")


@dataclass(frozen=True, slots=True)
class Peer:
    """Entry of `--peers`."""

    instance_id: str
    address: Address


def get_flag(field: FieldDescriptor) -> str:
    """Return the command-line flag of a setting."""
    return "--" + str(field.name).replace("_", "-")


def get_environment_variable(field: FieldDescriptor) -> str:
    """Return the environment variable of a setting."""
    return ENVIRONMENT_PREFIX + str(field.name).upper()


def get_setting_rule(field: FieldDescriptor) -> options_pb2.SettingRule:
    """Return a setting's help, unit, default and so on; its limits are in its `FieldRule`."""
    return field.GetOptions().Extensions[options_pb2.setting]


def get_setting_fields() -> list[FieldDescriptor]:
    """Return the fields of all settings in schema order."""
    return list(settings_pb2.Settings.DESCRIPTOR.fields)


def load_settings(
    flags: Mapping[str, str | None], *, environment: Mapping[str, str] | None = None
) -> settings_pb2.Settings:
    """Load and validate the settings, or raise `InvalidSettingError`.

    Flags are keyed by field name and take precedence over environment variables.
    """
    environment = os.environ if environment is None else environment
    settings = settings_pb2.Settings()
    for field in get_setting_fields():
        text = flags.get(field.name)
        if text is None:
            text = environment.get(get_environment_variable(field))
        if text is None:
            text = get_setting_rule(field).default
        _set_value(settings, field, text)
    validate_settings(settings)
    return settings


def _set_value(settings: settings_pb2.Settings, field: FieldDescriptor, text: str) -> None:
    if field.cpp_type == FieldDescriptor.CPPTYPE_STRING:
        setattr(settings, field.name, text)
        return
    try:
        setattr(settings, field.name, int(text))
    except ValueError:
        raise InvalidSettingError(
            f"{get_flag(field)} is {text!r}, not a whole number in range"
        ) from None


def validate_settings(settings: settings_pb2.Settings) -> None:
    """Validate each setting, then the constraints between settings."""
    try:
        check_rules(settings)
    except InvalidDocumentError as error:
        flag = "--" + error.field.replace("_", "-")
        detail = error.detail.replace(f"field {error.field!r}", flag)
        raise InvalidSettingError(detail) from None
    for name in ("http_address", "operator_address", "peer_address"):
        _check_address(name, getattr(settings, name))
    if not settings.peers and not settings.seeds:
        raise InvalidSettingError("--peers or --seeds must be given")
    if settings.peers:
        parse_peers(settings.peers)
    parse_seeds(settings.seeds)
    _check_intervals(settings)
    _check_tls(settings)
    if settings.data_dir:
        _check_data_dir(Path(settings.data_dir))


def _check_address(name: str, text: str) -> None:
    try:
        parse_address(text)
    except ValueError as error:
        flag = "--" + name.replace("_", "-")
        raise InvalidSettingError(f"{flag}: {error}") from None


def parse_peers(text: str) -> list[Peer]:
    """Parse `id@IP:PORT,...`, or raise `InvalidSettingError`."""
    peers = []
    for item in text.split(","):
        match = _PEER.fullmatch(item.strip())
        if match is None:
            raise InvalidSettingError(f"--peers: {item!r} is not id@IP:PORT")
        try:
            address = parse_address(match["address"])
        except ValueError as error:
            raise InvalidSettingError(f"--peers: {error}") from None
        peers.append(Peer(instance_id=match["id"], address=address))
    if len({peer.instance_id for peer in peers}) != len(peers):
        raise InvalidSettingError("--peers names an instance twice")
    if len({peer.address for peer in peers}) != len(peers):
        raise InvalidSettingError("--peers names an address twice")
    return peers


def parse_seeds(text: str) -> list[Address]:
    """Parse `IP:PORT,...`, or raise `InvalidSettingError`."""
    try:
        return [parse_address(item.strip()) for item in text.split(",") if item.strip()]
    except ValueError as error:
        raise InvalidSettingError(f"--seeds: {error}") from None


def _check_intervals(settings: settings_pb2.Settings) -> None:
    if settings.leader_lease_ms >= settings.election_timeout_ms:
        raise InvalidSettingError(
            f"--leader-lease-ms ({settings.leader_lease_ms}) must be below "
            f"--election-timeout-ms ({settings.election_timeout_ms})",
            hint="the leader lease must end before another can be elected",
        )
    if settings.heartbeat_interval_ms * 2 > settings.leader_lease_ms:
        raise InvalidSettingError(
            f"--heartbeat-interval-ms ({settings.heartbeat_interval_ms}) must be at most half of "
            f"--leader-lease-ms ({settings.leader_lease_ms})",
            hint="one lost heartbeat must not end the leader lease",
        )
    if settings.poll_hold_ms * 2 > settings.task_lease_ms:
        raise InvalidSettingError(
            f"--poll-hold-ms ({settings.poll_hold_ms}) must be at most half of "
            f"--task-lease-ms ({settings.task_lease_ms})",
            hint="a held poll must not use up the task lease",
        )
    if settings.share_interval_ms * 4 > settings.share_lease_ms:
        raise InvalidSettingError(
            f"--share-interval-ms ({settings.share_interval_ms}) must be at most a quarter of "
            f"--share-lease-ms ({settings.share_lease_ms})",
            hint="one lost renewal must not end the share lease",
        )


def _check_tls(settings: settings_pb2.Settings) -> None:
    paths = (settings.tls_certificate, settings.tls_key, settings.tls_ca)
    if any(paths) and not all(paths):
        raise InvalidSettingError(
            "--tls-certificate, --tls-key and --tls-ca must be given together"
        )
    for path in filter(None, paths):
        if not os.access(path, os.R_OK):
            raise InvalidSettingError(f"TLS file {path} cannot be read")


def _check_data_dir(path: Path) -> None:
    if path.exists() and not path.is_dir():
        raise InvalidSettingError(f"--data-dir: {path} is not a folder")
    existing = next(parent for parent in (path, *path.parents) if parent.exists())
    if not os.access(existing, os.W_OK | os.X_OK):
        raise InvalidSettingError(f"--data-dir: {existing} is not writable")
