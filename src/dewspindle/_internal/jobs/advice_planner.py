"""Chooses in a planning round which workers the advisor is asked about."""

import math
from collections.abc import Iterable

from ..models.resources import Amounts
from ..scheduling.gang_workers import GangWorkers
from ..scheduling.job_advice import (
    choose_advice_candidates,
    choose_gang_candidates,
    compute_affordable,
    count_workers_to_list,
    split_request,
)
from ..scheduling.job_placement import count_fitting
from ..schema import jobs_pb2
from .advice import (
    LONG_CALL_S,
    AdviceClient,
    AdvicePurpose,
    AdviceRequest,
    StepAdvice,
    estimate_call_s,
)
from .fleet_worker import FleetWorker
from .planning_round import PlanningRound
from .runs import StepRun

# Requests for long calls in one round, in rank order; the next round goes on.
MAX_LONG_REQUESTS_PER_ROUND = 12
# Tickets of workers set aside for a gang are renewed this long before the call that renews them
# would have to begin.
RENEWAL_MARGIN_S = 0.3

Rank = tuple[float, ...]


class AdvicePlanner:
    """Requests advice for steps that may start soon."""

    def __init__(self, client: AdviceClient) -> None:
        self._client = client

    def ask_for_tasks(
        self, step: StepRun, queue: jobs_pb2.Queue, round_: PlanningRound, *, rank: Rank
    ) -> None:
        """Request advice on workers with capacity for single tasks.

        A long call is made only for capacity that is free or expected to be by its answer. Where
        helpers are short, it has to be left by the steps of higher rank.
        """
        advice = self._client.get(step.key)
        if not self._may_ask(queue, advice, round_) or not self._may_call(step, queue, round_):
            return
        horizon_s = estimate_call_s(queue.advisor, count_listed(queue.advisor))
        if horizon_s <= LONG_CALL_S:
            horizon_s = 0.0  # A short call is answered before anything changes.
        if advice.is_pending:
            usable = round_.get_usable(queue.pool)
            pending = (usable[worker] for worker in advice.pending if worker in usable)
            fits = self._count_room(step, advice, round_, pending, within_s=horizon_s)
            round_.earmark(step, queue.pool, count=min(sum(fits.values()), len(step.waiting)))
            return
        roomy = round_.iterate_roomy(queue.pool, step.amounts, within_s=horizon_s)
        fits = self._count_room(step, advice, round_, roomy, within_s=horizon_s)
        may_include_full = not horizon_s and not advice.list_valid(round_.now)
        if not fits and may_include_full:
            everyone = round_.get_usable(queue.pool).values()
            fits = self._count_room(step, advice, round_, everyone, within_s=horizon_s)
        workers = choose_advice_candidates(
            fits,
            approved_before=advice.tickets.keys(),
            needed=len(step.waiting),
            may_include_full=may_include_full,
            decision_ms=queue.advisor.decision_ms,
            per_worker_ms=queue.advisor.per_worker_ms,
        )
        room = sum(fits[worker] for worker in workers)
        round_.earmark(step, queue.pool, count=min(room, len(step.waiting)))
        self._send(step, queue, round_, workers, AdvicePurpose.TASKS, rank=rank)

    @staticmethod
    def _count_room(
        step: StepRun,
        advice: StepAdvice,
        round_: PlanningRound,
        workers: Iterable[FleetWorker],
        *,
        within_s: float,
    ) -> dict[str, int]:
        """Return how many tasks fit on each worker that a request may list."""
        return {
            worker.id: count_expected_room(step, round_, worker, within_s=within_s)
            for worker in workers
            if not advice.is_refused(worker.id, round_.now)
            and not advice.has_ticket(worker.id, round_.now)
            and step.accepts(worker.message.labels)
            and round_.may_use(worker.id, step)
        }

    def _may_call(self, step: StepRun, queue: jobs_pb2.Queue, round_: PlanningRound) -> bool:
        """Return whether a request for a step takes no helper that others need more."""
        call_s = estimate_call_s(queue.advisor, count_listed(queue.advisor))
        return (
            call_s <= LONG_CALL_S
            or step.key in round_.in_turn
            or self._client.has_spare_helper
            or round_.may_earmark(step, queue.pool)
        )

    def ask_for_gang(
        self,
        step: StepRun,
        queue: jobs_pb2.Queue,
        round_: PlanningRound,
        approved: list[FleetWorker],
        *,
        rank: Rank,
    ) -> None:
        """Request advice on further workers that have room for a gang, or leave it a choice.

        Workers that join meanwhile wait for the answers, so that not each of them takes a call.
        """
        advice = self._client.get(step.key)
        if not self._may_ask(queue, advice, round_) or advice.is_decision_pending:
            return
        if not self._may_call(step, queue, round_):
            return
        undecided = [
            worker
            for worker in round_.get_usable(queue.pool).values()
            if worker.id not in advice.tickets
            and not advice.is_refused(worker.id, round_.now)
            and step.accepts(worker.message.labels)
            and step.amounts.fits_in(worker.capacity)
        ]
        if not undecided:
            return
        odds = self._client.odds.get(queue.name)
        choice = count_workers_to_list(
            filled=count_filled_workers(step, round_.get_largest_capacity(queue.pool)),
            approved=len(approved),
            odds=odds,
        )
        workers = choose_gang_candidates(
            {worker.id: count_members(step, round_, worker) for worker in undecided},
            choice=choice,
            size=step.message.count,
            expected=count_gang_room(step, round_, approved),
            odds=odds,
        )
        if workers:
            round_.earmark(step, queue.pool, count=step.message.count)
        affordable = count_listed(queue.advisor)
        for listed in split_request(workers, affordable=affordable):
            self._send(step, queue, round_, listed, AdvicePurpose.GANG, rank=rank)

    def renew_for_gang(
        self,
        step: StepRun,
        queue: jobs_pb2.Queue,
        round_: PlanningRound,
        chosen: GangWorkers,
        *,
        approved: list[FleetWorker],
        rank: Rank,
    ) -> None:
        """Renew the tickets of workers set aside for a gang that would end before its start.

        Which workers are set aside changes with each end of a task, and a call takes long however
        few it lists. So a renewal lists as many other approved workers, and the next one waits for
        it. A gang that fits already starts on the chosen ones.
        """
        advice = self._client.get(step.key)
        if not self._may_ask(queue, advice, round_) or advice.is_renewal_pending:
            return
        affordable = count_listed(queue.advisor)
        listed = sorted(chosen.workers)
        if chosen.ready_at > round_.now:
            others = [worker for worker in approved if worker.id not in chosen.workers]
            others.sort(key=lambda w: -count_fitting(step.amounts, round_.get_free(w)))
            listed += [worker.id for worker in others[: len(listed)]]
        requests = split_request(listed, affordable=affordable)
        call_s = estimate_call_s(queue.advisor, len(requests[0]))
        if round_.now + call_s + RENEWAL_MARGIN_S < chosen.ready_at:
            return
        if any(
            advice.needs_renewal(worker, round_.now, within_s=call_s + RENEWAL_MARGIN_S)
            for worker in chosen.workers
        ):
            for workers in requests:
                self._send(step, queue, round_, workers, AdvicePurpose.RENEWAL, rank=rank)

    def ask_about_silent(
        self,
        step: StepRun,
        queue: jobs_pb2.Queue,
        round_: PlanningRound,
        workers: list[str],
        *,
        rank: Rank,
    ) -> None:
        """Request advice on silent workers on which tasks of an inherited step may run.

        Asks only once all of them left a lease renewal unanswered, as the others answer sooner.
        """
        advice = self._client.get(step.key)
        if not self._may_ask(queue, advice, round_) or advice.is_pending:
            return
        undecided = [
            worker
            for worker in workers
            if worker not in advice.tickets and not advice.is_refused(worker, round_.now)
        ]
        if len(undecided) < len(workers) or not round_.have_missed_renewal(workers):
            return
        self._send(step, queue, round_, undecided, AdvicePurpose.INHERITED, rank=rank)

    @staticmethod
    def _may_ask(queue: jobs_pb2.Queue, advice: StepAdvice, round_: PlanningRound) -> bool:
        return (
            queue.HasField("advisor")
            and (
                round_.long_request_count < MAX_LONG_REQUESTS_PER_ROUND
                or estimate_call_s(queue.advisor, count_listed(queue.advisor)) <= LONG_CALL_S
            )
            and advice.may_ask(round_.now)
        )

    def _send(
        self,
        step: StepRun,
        queue: jobs_pb2.Queue,
        round_: PlanningRound,
        workers: list[str],
        purpose: AdvicePurpose,
        *,
        rank: Rank,
    ) -> None:
        if not workers:
            return
        request = AdviceRequest(
            key=step.key,
            queue=queue.name,
            workers=workers,
            expected_s=estimate_call_s(queue.advisor, len(workers)),
            rank=rank,
            purpose=purpose,
        )
        round_.long_request_count += request.is_long
        self._client.get(step.key).was_asked = True
        self._client.ask(request)


def count_listed(advisor: jobs_pb2.Advisor) -> int:
    """Return how many workers one request of a queue may list."""
    return compute_affordable(decision_ms=advisor.decision_ms, per_worker_ms=advisor.per_worker_ms)


def count_filled_workers(step: StepRun, capacity: Amounts) -> int:
    """Return how many empty workers of a capacity a gang fills."""
    fitting = count_fitting(step.amounts, capacity)
    limit = step.message.max_per_worker or step.message.count
    return math.ceil(step.message.count / max(1, min(fitting, limit)))


def count_expected_room(
    step: StepRun, round_: PlanningRound, worker: FleetWorker, *, within_s: float
) -> int:
    """Return how many tasks of a step fit on a worker now or, if none does, within a time."""
    return count_fitting(step.amounts, round_.get_free(worker)) or count_fitting(
        step.amounts, round_.get_expected_free(worker, within_s=within_s)
    )


def count_gang_room(step: StepRun, round_: PlanningRound, workers: Iterable[FleetWorker]) -> int:
    """Return how many members of a gang fit on workers that are not set aside for others."""
    return sum(count_members(step, round_, worker) for worker in workers)


def count_members(step: StepRun, round_: PlanningRound, worker: FleetWorker) -> int:
    """Return how many members of a gang fit on a worker, none if it is set aside for others."""
    if not round_.may_use(worker.id, step):
        return 0
    limit = step.message.max_per_worker or step.message.count
    return min(limit, count_fitting(step.amounts, round_.get_free(worker)))
