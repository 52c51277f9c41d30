"""Commands that claim non-repeatable calls and store their outcomes."""

from ..schema.cell_pb2 import Command, Result
from .registry import applies
from .state import CellState

# A call that is resent after its claim was deleted runs again.
CLAIM_LIFETIME_MS = 3600 * 1000
MAX_CLAIMS = 50_000


@applies("claim_calls")
def apply_claim_calls(state: CellState, command: Command) -> Result:
    """Store the first claim of each key, and return the stored claim for each requested key."""
    result = Result(status=200)
    for claim in command.claim_calls.claims:
        stored = state.claims.get(claim.key)
        if stored is None:
            claim.at_ms = state.at_ms
            state.claims[claim.key] = claim
            stored = claim
        result.claims.append(stored)
    _evict_oldest_claims(state)
    return result


@applies("finish_calls")
def apply_finish_calls(state: CellState, command: Command) -> Result:
    """Store the outcomes of claimed calls, and delete the claims of calls that did not run."""
    for finished in command.finish_calls.claims:
        stored = state.claims.get(finished.key)
        if stored is None or stored.instance != finished.instance or stored.done:
            continue
        if finished.ran == "no":
            del state.claims[finished.key]
            continue
        finished.at_ms = stored.at_ms
        finished.digest = stored.digest
        state.claims[finished.key] = finished
    return Result(status=200)


def _evict_oldest_claims(state: CellState) -> None:
    while len(state.claims) > MAX_CLAIMS:
        del state.claims[next(iter(state.claims))]


def expire_claims(state: CellState) -> None:
    """Delete claims whose lifetime has expired by log time."""
    for key, claim in list(state.claims.items()):
        # Claims are in order of time; `finish_calls` keeps both time and position.
        if claim.at_ms + CLAIM_LIFETIME_MS > state.at_ms:
            return
        del state.claims[key]
