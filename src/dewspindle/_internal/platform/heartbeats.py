"""Decoding of worker heartbeats."""

from ..exceptions import DewspindleError, InvalidDocumentError
from ..schema import jobs_pb2, peers_pb2
from ..utils.addresses import parse_address
from ..utils.logs import get_logger
from .fields import (
    MAX_SAFE_INTEGER,
    is_header_name,
    is_name,
    parse_object,
    read_list,
    read_name,
    read_object,
    read_text,
    read_uint,
)
from .job_bodies import decode_resources

STATE_READY = "ready"
STATE_DRAINING = "draining"
MAX_LABELS = 64

logger = get_logger(__name__)


def decode_heartbeat(worker_id: str, body: bytes) -> peers_pb2.WorkerBeat:
    """Decode and validate a heartbeat; raise `MalformedBodyError` or `InvalidDocumentError`."""
    check_worker_id(worker_id)
    fields = parse_object(body)
    state = read_text(fields, "state")
    if state not in (STATE_READY, STATE_DRAINING):
        raise InvalidDocumentError(f"unknown worker state {state!r}", field="state")
    address = read_text(fields, "address")
    try:
        parse_address(address)
    except ValueError as error:
        raise InvalidDocumentError(f"field 'address': {error}", field="address") from None
    labels = read_list(fields, "labels")
    if len(labels) > MAX_LABELS or not all(map(is_name, labels)):
        raise InvalidDocumentError(
            f"field 'labels' has over {MAX_LABELS} entries, or one that is not a printable string",
            field="labels",
        )
    return peers_pb2.WorkerBeat(
        worker=jobs_pb2.CalledWorker(
            id=worker_id,
            pool=read_name(fields, "service"),
            address=address,
            availability_zone=read_name(fields, "zone"),
            capacity=decode_resources(read_object(fields, "capacity")),
            labels=labels,
            # The first label is the worker's kind, the second its rack.
            rack=labels[1] if len(labels) > 1 else "",
            born_ms=read_uint(fields, "born", default=0, limit=MAX_SAFE_INTEGER),
        ),
        draining=state == STATE_DRAINING,
        remaining_ms=read_uint(fields, "remaining_ms", default=0),
        cold_ms=read_uint(fields, "cold_remaining_ms", default=0),
        clock_ms=read_uint(fields, "clock_ms", default=0, limit=MAX_SAFE_INTEGER),
        sequence=read_uint(fields, "sequence", limit=MAX_SAFE_INTEGER),
    )


def check_worker_id(worker_id: str) -> None:
    """Raise `InvalidDocumentError` unless an id can be sent back to the worker in a header."""
    if not is_header_name(worker_id):
        raise InvalidDocumentError(
            f"worker id {worker_id[:100]!r} is empty, too long or not printable ASCII", field="id"
        )


def decode_born_ms(body: bytes) -> int:
    """Return when the worker that deregisters started, 0 if the body does not tell.

    Nothing else of the body is used, so a malformed one does not keep a worker from leaving.
    """
    if not body:
        return 0
    try:
        return read_uint(parse_object(body), "born", default=0, limit=MAX_SAFE_INTEGER)
    except DewspindleError as error:
        logger.warning("malformed deregistration body ignored", why=error.detail)
        return 0
