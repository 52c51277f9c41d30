"""Claims of calls that must run at most once, committed before the call is sent."""

import hashlib
import itertools
from dataclasses import dataclass, field

import anyio

from ..cell.view import CellView
from ..exceptions import DewspindleError
from ..models.enums import ExecutionStatus
from ..network.leader_client import LeaderClient
from ..schema import cell_pb2, settings_pb2
from ..utils.logs import get_logger
from ..utils.refusals import Refusal
from ..utils.timers import TimerService, wait_for_event
from .headers import HeaderList
from .shares import CallRefusedError

MAX_STORED_BODY_BYTES = 64 * 1024  # Of an answer that is replayed to a request with the same key.
MAX_CLAIMS_PER_COMMAND = 512
FINISH_TIMEOUT_S = 20.0

logger = get_logger(__name__)


@dataclass(frozen=True, slots=True)
class BufferedAnswer:
    """A complete answer of a backend server, stored if it is small and the call has a claim."""

    ran: ExecutionStatus
    status: int
    headers: HeaderList
    body: bytes


@dataclass(frozen=True, slots=True)
class ClaimTicket:
    """Result of claiming a key: the right to run the call, or the claim that already exists."""

    holder: str
    existing: cell_pb2.CallClaim | None


@dataclass(slots=True, eq=False)
class PendingClaim:
    """A claim that waits to be committed with its batch."""

    claim: cell_pb2.CallClaim
    done: anyio.Event = field(default_factory=anyio.Event)
    existing: cell_pb2.CallClaim | None = None  # The claim in force: this one or an earlier one.
    error: DewspindleError | None = None


def make_digest(method: bytes, target: bytes, body: bytes) -> bytes:
    """Return the digest that tells a repeated request from a different one with the same key."""
    digest = hashlib.sha256()
    for part in (method, target, body):
        digest.update(len(part).to_bytes(8, "little"))
        digest.update(part)
    return digest.digest()


class Claims:
    """Commits claims and call outcomes in batches.

    A claim key consists of the service and the caller's idempotency key. The field `instance` of a
    claim names its holder: the instance, its start time and the number of the claim.
    """

    def __init__(
        self,
        *,
        settings: settings_pb2.Settings,
        view: CellView,
        leader: LeaderClient,
        timers: TimerService,
    ) -> None:
        self._settings = settings
        self._view = view
        self._leader = leader
        self._timers = timers
        self._numbers = itertools.count(1)
        self._pending: list[PendingClaim] = []
        self._finished: list[cell_pb2.CallClaim] = []
        self._wake = anyio.Event()
        self._started_ms = timers.wall_ms()

    def _make_holder(self) -> str:
        """Return a holder name that is unique among claims of this process and earlier ones."""
        return f"{self._settings.instance_id}:{self._started_ms}:{next(self._numbers)}"

    async def claim(self, claim_key: str, digest: bytes, *, deadline: float) -> ClaimTicket:
        """Claim a key; the ticket holds the existing claim if this call may not run.

        Raises `CallRefusedError` if the claim is not known to be committed, and `KeyReusedError` if
        the key was claimed by a different request.
        """
        claim = cell_pb2.CallClaim(key=claim_key, instance=self._make_holder(), digest=digest)
        pending = PendingClaim(claim=claim)
        self._pending.append(pending)
        self._wake.set()
        remaining = deadline - self._timers.now()
        if not await wait_for_event(self._timers, event=pending.done, seconds=remaining):
            self._withdraw(pending)
            raise CallRefusedError(
                Refusal.CLAIM_UNAVAILABLE, "the claim was not committed before the deadline"
            )
        if pending.error is not None:
            self._withdraw(pending)
            raise CallRefusedError(Refusal.CLAIM_UNAVAILABLE, str(pending.error))
        existing = pending.existing
        assert existing is not None
        if existing.digest != digest:
            raise KeyReusedError(
                f"the idempotency key of {claim_key!r} (service:key) was used with a different "
                "request before"
            )
        is_own = existing.instance == claim.instance
        return ClaimTicket(holder=claim.instance, existing=None if is_own else existing)

    def _withdraw(self, pending: PendingClaim) -> None:
        """Withdraw a claim that is unsent or may still be committed, as its call does not run."""
        if pending in self._pending:
            self._pending.remove(pending)
            return
        claim = pending.claim
        withdrawn = cell_pb2.CallClaim(
            key=claim.key, instance=claim.instance, ran=ExecutionStatus.NO.value
        )
        self._finished.append(withdrawn)
        self._wake.set()

    def finish(
        self,
        claim_key: str,
        *,
        holder: str,
        ran: ExecutionStatus,
        answer: BufferedAnswer | None = None,
    ) -> None:
        """Queue a claimed call's outcome for commit; the claim ends if the call did not run."""
        finished = cell_pb2.CallClaim(key=claim_key, instance=holder, ran=ran.value, done=True)
        if answer is not None:
            finished.status = answer.status
            finished.body = answer.body
            for name, value in answer.headers:
                finished.headers.add(name=name, value=value)
        self._finished.append(finished)
        self._wake.set()

    async def wait_for_outcome(
        self, claim_key: str, *, deadline: float
    ) -> cell_pb2.CallClaim | None:
        """Return a claim once it has an outcome, or None if the deadline passes first."""
        while True:
            event = self._view.signal.event
            claim = self._view.state.claims.get(claim_key)
            if claim is not None and claim.done:
                return claim
            remaining = deadline - self._timers.now()
            if not await wait_for_event(self._timers, event=event, seconds=remaining):
                return None

    async def run(self) -> None:
        """Commit batches until cancelled."""
        while True:
            if not self._pending and not self._finished:
                self._wake = anyio.Event()
                await self._wake.wait()
            async with anyio.create_task_group() as group:
                group.start_soon(self._commit_finished)
                group.start_soon(self._commit_pending)

    async def _commit_pending(self) -> None:
        batch, self._pending = (
            self._pending[:MAX_CLAIMS_PER_COMMAND],
            self._pending[MAX_CLAIMS_PER_COMMAND:],
        )
        if not batch:
            return
        body = cell_pb2.ClaimCalls(claims=[pending.claim for pending in batch])
        try:
            # The command may be sent again: a claim that is already committed is returned as the
            # existing one.
            result = await self._leader.propose(
                cell_pb2.Command(claim_calls=body),
                timeout_s=self._settings.propose_timeout_ms / 1000,
                is_idempotent=True,
            )
        except DewspindleError as error:
            for pending in batch:
                pending.error = error
                pending.done.set()
            return
        for pending, existing in zip(batch, result.claims, strict=True):
            pending.existing = existing
            pending.done.set()

    async def _commit_finished(self) -> None:
        batch, self._finished = (
            self._finished[:MAX_CLAIMS_PER_COMMAND],
            self._finished[MAX_CLAIMS_PER_COMMAND:],
        )
        if not batch:
            return
        body = cell_pb2.FinishCalls(claims=batch)
        try:
            await self._leader.propose(
                cell_pb2.Command(finish_calls=body),
                timeout_s=FINISH_TIMEOUT_S,
                is_idempotent=True,
            )
        except DewspindleError as error:
            # The claims remain without an outcome, so a request with the same key is told that
            # the outcome is unknown.
            logger.warning("call outcomes not committed", count=len(batch), why=str(error))


class KeyReusedError(DewspindleError):
    """An idempotency key was used with a different request before."""

    code = Refusal.KEY_REUSED.value
    status = 422
