"""Decoding of the operator's queue table; its JSON calls queues `routes` and pools `services`."""

from typing import Any

from ..exceptions import InvalidDocumentError
from ..schema import jobs_pb2
from ..utils.key_digests import compute_key_digest
from .fields import (
    MAX_SAFE_INTEGER,
    decode_entries,
    is_encodable,
    locate_errors,
    parse_object,
    read_bool,
    read_list,
    read_number,
    read_object,
    read_text,
    read_uint,
)
from .job_bodies import decode_resources

READ_QUEUE_TABLE_PATH = "/Config.Read"
NOT_CONFIGURED = "not-configured"  # Error of a read before a table has been set.


def decode_queue_table(body: bytes) -> jobs_pb2.QueueTable:
    """Decode and validate a queue table; raise `MalformedBodyError` or `InvalidDocumentError`."""
    fields = parse_object(body)
    table = jobs_pb2.QueueTable(
        version=read_uint(fields, "version", limit=MAX_SAFE_INTEGER), document=body
    )
    if table.version == 0:
        raise InvalidDocumentError("field 'version' must be at least 1", field="version")
    table.pools.extend(decode_entries(fields, "services", _decode_pool))
    table.queues.extend(decode_entries(fields, "routes", _decode_queue))
    table.requires_keys = "tenants" in fields
    table.teams.extend(decode_entries(fields, "tenants", _decode_team))
    if "limits" in fields:
        limits = read_object(fields, "limits")
        with locate_errors("limits"):
            table.max_body_bytes = read_uint(limits, "max_body_bytes", default=0)
    _check_table(table)
    return table


def _decode_pool(fields: dict[str, Any]) -> jobs_pb2.Pool:
    return jobs_pb2.Pool(
        name=read_text(fields, "name"),
        enforces_capacity=read_bool(fields, "enforce_capacity"),
        standby=read_bool(fields, "standby"),
        health_path=read_text(fields, "health_path", default=""),
        max_connections=read_uint(fields, "max_connections", default=0),
    )


def _decode_queue(fields: dict[str, Any]) -> jobs_pb2.Queue:
    queue = jobs_pb2.Queue(
        name=read_text(fields, "name"),
        host=read_text(fields, "host"),
        path_prefix=read_text(fields, "path_prefix"),
        pool=read_text(fields, "service"),
        priority=read_uint(fields, "priority", default=0),
        max_attempts=read_uint(fields, "max_attempts", default=0),
        slack_factor=read_number(fields, "slack_factor", default=0.0),
        aim_ms=read_uint(fields, "target_latency_ms", default=0),
        timeout_ms=read_uint(fields, "timeout_ms"),
        is_public=read_bool(fields, "public"),
    )
    if fields.get("advisor") is not None:
        advisor = read_object(fields, "advisor")
        with locate_errors("advisor"):
            queue.advisor.decision_ms = read_number(advisor, "decision_ms", default=0.0)
            queue.advisor.per_worker_ms = read_number(advisor, "per_worker_ms", default=0.0)
            queue.advisor.validity_ms = read_uint(advisor, "validity_ms", default=0)
    return queue


def _decode_team(fields: dict[str, Any]) -> jobs_pb2.Team:
    """Decode a team, which the platform calls a tenant."""
    name = read_text(fields, "name")
    team = jobs_pb2.Team(
        name=name,
        weight=read_number(fields, "weight", default=0.0),
        priority=read_uint(fields, "priority", default=0),
    )
    if not name:
        raise InvalidDocumentError("a team has an empty name", field="name")
    if fields.get("cap") is not None:
        cap = read_object(fields, "cap")
        with locate_errors("cap"):
            team.cap.CopyFrom(decode_resources(cap))
    for position, key in enumerate(read_list(fields, "api_keys")):
        if not isinstance(key, str) or not key or not is_encodable(key):
            # The key itself must not appear in the error.
            raise InvalidDocumentError(
                f"team {name!r} has a key that is not a string of valid Unicode",
                field=f"api_keys[{position}]",
            )
        team.key_digests.append(compute_key_digest(key))
    return team


def _check_teams(table: jobs_pb2.QueueTable) -> None:
    team_by_key: dict[bytes, str] = {}
    names = set()
    for number, team in enumerate(table.teams):
        path = f"tenants[{number}]"
        if team.name in names:
            raise InvalidDocumentError(f"two teams are named {team.name!r}", field=f"{path}.name")
        names.add(team.name)
        for position, digest in enumerate(team.key_digests):
            owner = team_by_key.setdefault(digest, team.name)
            if owner != team.name:
                raise InvalidDocumentError(
                    f"teams {owner!r} and {team.name!r} share a key",
                    field=f"{path}.api_keys[{position}]",
                )


def _check_table(table: jobs_pb2.QueueTable) -> None:
    _check_teams(table)
    pools = {pool.name for pool in table.pools}
    locations = set()
    for number, queue in enumerate(table.queues):
        path = f"routes[{number}]"
        if queue.pool not in pools:
            raise InvalidDocumentError(
                f"route {queue.name!r} refers to unknown service {queue.pool!r}",
                field=f"{path}.service",
            )
        if queue.timeout_ms == 0:
            raise InvalidDocumentError(
                f"route {queue.name!r}: 'timeout_ms' must be at least 1",
                field=f"{path}.timeout_ms",
            )
        location = (queue.host, queue.path_prefix)
        if location in locations:
            raise InvalidDocumentError(
                f"route {queue.name!r} has the host and path prefix of another route",
                field=f"{path}.path_prefix",
            )
        locations.add(location)
