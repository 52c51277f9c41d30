"""Checks of the queues and pools of a queue table."""

from collections.abc import Iterator

from ..models.ids import is_valid_job_id
from ..schema import jobs_pb2
from .differences import compare_messages
from .findings import CheckInput, Need, Severity, Violation
from .registry import QUEUE_TABLE, register_check

TableInput = CheckInput[jobs_pb2.QueueTable]


@register_check(
    "version-not-higher",
    config=QUEUE_TABLE,
    severity=Severity.ERROR,
    meaning="The version is not above the one in force: the cell accepts the file and ignores it.",
    hint="raise the version",
    needs=(Need.CURRENT,),
)
def _check_version(subject: TableInput) -> Iterator[Violation]:
    table, current = subject.document, subject.current
    if current is None or table.version > current.version:
        return
    if not any(compare_messages(current, table)):
        return
    yield Violation(
        ("version",), f"version {table.version} is not above version {current.version} in force"
    )


@register_check(
    "queue-never-matches",
    config=QUEUE_TABLE,
    severity=Severity.ERROR,
    meaning="No request can match the host or path prefix of a queue.",
    hint="give the host without a port, and a path prefix that begins with /",
)
def _check_locations(subject: TableInput) -> Iterator[Violation]:
    for number, queue in enumerate(subject.document.queues):
        if ":" in queue.host:
            yield Violation(
                ("queues", number, "host"),
                f"queue {queue.name!r}: requests are matched by their host without its port",
            )
        if not queue.path_prefix.startswith("/"):
            yield Violation(
                ("queues", number, "path_prefix"),
                f"queue {queue.name!r}: every path begins with /",
            )


@register_check(
    "queue-shadowed",
    config=QUEUE_TABLE,
    severity=Severity.WARNING,
    meaning="A longer path prefix on the same host takes requests for some job ids of a queue.",
    hint="end path prefixes with /, or separate the queues by host",
)
def _check_shadows(subject: TableInput) -> Iterator[Violation]:
    for number, queue in enumerate(subject.document.queues):
        for other in subject.document.queues:
            rest = other.path_prefix.removeprefix(queue.path_prefix)
            is_longer = other.path_prefix.startswith(queue.path_prefix) and bool(rest)
            if other.host == queue.host and is_longer and is_valid_job_id(rest):
                yield Violation(
                    ("queues", number, "path_prefix"),
                    f"queue {queue.name!r} gets no job whose id begins with {rest!r}: queue"
                    f" {other.name!r} on the same host takes {other.path_prefix!r}",
                )


@register_check(
    "queue-without-workers",
    config=QUEUE_TABLE,
    severity=Severity.ERROR,
    meaning="No worker serves the pool of a queue.",
    hint="correct the name of the pool, or add workers to it",
    needs=(Need.POOLS,),
)
def _check_queue_workers(subject: TableInput) -> Iterator[Violation]:
    fleet = subject.require_fleet()
    for number, queue in enumerate(subject.document.queues):
        if not fleet.get_pool_workers(queue.pool):
            yield Violation(
                ("queues", number, "pool"),
                f"queue {queue.name!r}: none of {len(fleet.workers)} workers is in pool"
                f" {queue.pool!r}",
            )


@register_check(
    "pool-unused",
    config=QUEUE_TABLE,
    severity=Severity.WARNING,
    meaning="No queue uses a pool that is not a standby.",
    hint="remove the pool, or name it in a queue",
)
def _check_unused_pools(subject: TableInput) -> Iterator[Violation]:
    used = {queue.pool for queue in subject.document.queues}
    for number, pool in enumerate(subject.document.pools):
        if pool.name not in used and not pool.standby:
            yield Violation(("pools", number), f"no queue uses pool {pool.name!r}")


@register_check(
    "timeout-below-target",
    config=QUEUE_TABLE,
    severity=Severity.WARNING,
    meaning="The timeout of a queue is below the constant part of its latency target.",
    hint="raise the timeout, or lower the latency target",
)
def _check_timeouts(subject: TableInput) -> Iterator[Violation]:
    for number, queue in enumerate(subject.document.queues):
        if queue.timeout_ms < queue.aim_ms:
            yield Violation(
                ("queues", number, "timeout_ms"),
                f"queue {queue.name!r} times out after {queue.timeout_ms} ms, before its latency"
                f" target of {queue.aim_ms} ms",
            )
