"""Workers' announcements."""

from ..exceptions import InvalidDocumentError
from ..schema import jobs_pb2, peers_pb2
from ..utils.addresses import parse_address
from .fields import (
    MAX_LONG_COUNT,
    is_unicode,
    parse_object,
    read_count,
    read_list,
    read_object,
    read_text,
)
from .job_bodies import decode_resources

STATE_READY = "ready"
STATE_DRAINING = "draining"


def decode_heartbeat(worker_id: str, body: bytes) -> peers_pb2.WorkerBeat:
    """Return a checked announcement; raise `MalformedBodyError` or `InvalidDocumentError`."""
    fields = parse_object(body)
    state = read_text(fields, "state")
    if state not in (STATE_READY, STATE_DRAINING):
        raise InvalidDocumentError(f"the state {state!r} is not known", field="state")
    address = read_text(fields, "address")
    try:
        parse_address(address)
    except ValueError as error:
        raise InvalidDocumentError(f"field 'address': {error}", field="address") from None
    labels = read_list(fields, "labels")
    if not all(isinstance(label, str) and is_unicode(label) for label in labels):
        raise InvalidDocumentError("an entry of 'labels' is not a string", field="labels")
    return peers_pb2.WorkerBeat(
        worker=jobs_pb2.CalledWorker(
            id=worker_id,
            pool=read_text(fields, "service"),
            address=address,
            availability_zone=read_text(fields, "zone"),
            capacity=decode_resources(read_object(fields, "capacity")),
            labels=labels,
            # The labels are the worker's kind and its rack, in this order.
            rack=labels[1] if len(labels) > 1 else "",
        ),
        draining=state == STATE_DRAINING,
        remaining_ms=read_count(fields, "remaining_ms", default=0),
        cold_ms=read_count(fields, "cold_remaining_ms", default=0),
        clock_ms=read_count(fields, "clock_ms", default=0, limit=MAX_LONG_COUNT),
        sequence=read_count(fields, "sequence", limit=MAX_LONG_COUNT),
    )
