"""Results of refused commands."""

from ..schema import cell_pb2
from ..utils.refusals import Refusal

_STATUSES = {
    Refusal.LARGER_THAN_FLEET: 422,
    Refusal.TEAM_QUEUE_FULL: 429,
    Refusal.REVISION_CONFLICT: 412,
    Refusal.KEY_REUSED: 422,
    Refusal.RECORD_ENDED: 409,
    Refusal.GANG_RUNNING: 409,
    Refusal.NOT_FOUND: 404,
}


def make_refusal(
    refusal: Refusal, detail: str, *, revision: int = 0, record: str = ""
) -> cell_pb2.Result:
    """Return the result of a refused command."""
    return cell_pb2.Result(
        status=_STATUSES[refusal],
        code=refusal.value,
        detail=detail,
        revision=revision,
        id=record,
    )
