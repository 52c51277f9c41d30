"""Claims of calls that must run at most once, committed before the first byte leaves."""

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

MAX_KEPT_BODY = 64 * 1024  # Of an answer that is given again to a resend.
MAX_BATCH = 512
FINISH_TIMEOUT_S = 20.0

logger = get_logger(__name__)


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """The outcome of a claimed call."""

    ran: ExecutionStatus
    status: int
    headers: HeaderList
    body: bytes


@dataclass(frozen=True, slots=True)
class ClaimTicket:
    """What claiming a key gave: the right to run, or the claim that stands already."""

    holder: str
    standing: cell_pb2.CallClaim | None


@dataclass(slots=True)
class PendingClaim:
    """A claim that waits for its batch."""

    claim: cell_pb2.CallClaim
    done: anyio.Event = field(default_factory=anyio.Event)
    standing: cell_pb2.CallClaim | None = None
    error: DewspindleError | None = None


def make_digest(method: bytes, target: bytes, body: bytes) -> bytes:
    """Return the digest that tells a resend from another request under the same key."""
    digest = hashlib.sha256()
    for part in (method, target, body):
        digest.update(len(part).to_bytes(8, "little"))
        digest.update(part)
    return digest.digest()


class Claims:
    """Commits claims and outcomes in batches."""

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
        """Return a name that no other claim has, of this process or an earlier one."""
        return f"{self._settings.instance_id}:{self._started_ms}:{next(self._numbers)}"

    async def claim(self, key: str, digest: bytes, *, deadline: float) -> ClaimTicket:
        """Claim a key; the ticket holds another's claim where this call may not run.

        Raises `CallRefusedError` where no claim could be committed, or another request holds
        the key.
        """
        claim = cell_pb2.CallClaim(key=key, instance=self._make_holder(), digest=digest)
        pending = PendingClaim(claim=claim)
        self._pending.append(pending)
        self._wake.set()
        remaining = deadline - self._timers.now()
        if not await wait_for_event(self._timers, event=pending.done, seconds=remaining):
            self._give_up(claim)
            raise CallRefusedError(Refusal.CLAIM_UNAVAILABLE, "the claim was not committed in time")
        if pending.error is not None:
            self._give_up(claim)
            raise CallRefusedError(Refusal.CLAIM_UNAVAILABLE, str(pending.error))
        standing = pending.standing
        assert standing is not None
        if standing.digest != digest:
            raise KeyReusedError(f"the idempotency key {key!r} came with another request before")
        is_own = standing.instance == claim.instance
        return ClaimTicket(holder=claim.instance, standing=None if is_own else standing)

    def _give_up(self, claim: cell_pb2.CallClaim) -> None:
        """Withdraw a claim that may yet be committed, since the call does not run."""
        withdrawn = cell_pb2.CallClaim(
            key=claim.key, instance=claim.instance, ran=ExecutionStatus.NO.value
        )
        self._finished.append(withdrawn)
        self._wake.set()

    def finish(
        self, key: str, *, holder: str, ran: ExecutionStatus, answer: KeptAnswer | None = None
    ) -> None:
        """Have the outcome of a claimed call committed; a claim of one that did not run ends."""
        finished = cell_pb2.CallClaim(key=key, instance=holder, ran=ran.value, done=True)
        if answer is not None:
            finished.status = answer.status
            finished.body = answer.body
            for name, value in answer.headers:
                finished.headers.add(name=name, value=value)
        self._finished.append(finished)
        self._wake.set()

    async def wait_for_outcome(self, key: str, *, deadline: float) -> cell_pb2.CallClaim | None:
        """Return a claim once it has its outcome, or None where the deadline comes first."""
        while True:
            event = self._view.signal.event
            claim = self._view.state.claims.get(key)
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
        batch, self._pending = self._pending[:MAX_BATCH], self._pending[MAX_BATCH:]
        if not batch:
            return
        body = cell_pb2.ClaimCalls(claims=[pending.claim for pending in batch])
        try:
            # A claim sent twice finds itself standing, so it may be sent again.
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
        for pending, standing in zip(batch, result.claims, strict=True):
            pending.standing = standing
            pending.done.set()

    async def _commit_finished(self) -> None:
        batch, self._finished = self._finished[:MAX_BATCH], self._finished[MAX_BATCH:]
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
            # The claims stand without an outcome: a resend hears that it is not known.
            logger.warning("outcomes not committed", count=len(batch), why=str(error))


class KeyReusedError(DewspindleError):
    """An idempotency key came with another request before."""

    code = Refusal.KEY_REUSED.value
    status = 422
