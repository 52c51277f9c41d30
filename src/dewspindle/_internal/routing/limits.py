"""Concurrency and rate limits of callers and services on one instance."""

from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from google.protobuf import json_format

from ..cell.config_documents import CALL_LIMITS_CONFIG
from ..cell.view import CellView
from ..models.enums import Priority
from ..schema import documents_pb2, settings_pb2
from ..utils.refusals import Refusal
from ..utils.timers import TimerService
from .shares import CallRefusedError

BURST_S = 1.0  # Burst capacity, in seconds of the rate.


class TokenBucket:
    """Token bucket whose rate may change between calls."""

    def __init__(self, *, timers: TimerService) -> None:
        self._timers = timers
        self._tokens: float | None = None
        self._refilled_at = timers.now()

    def try_take(self, rate_per_s: float) -> bool:
        """Refill at a rate, take one token, and return whether one was available."""
        now = self._timers.now()
        capacity = max(1.0, rate_per_s * BURST_S)
        if self._tokens is None:
            self._tokens = capacity
        self._tokens = min(capacity, self._tokens + (now - self._refilled_at) * rate_per_s)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class CallLimits:
    """Enforces the limits of callers (settings) and of services (configuration).

    A caller's limit holds on each instance. A service's limits hold for the whole cell, so each
    instance applies an equal part, by the number of ready instances; 0 means no limit.
    """

    def __init__(
        self,
        *,
        settings: settings_pb2.Settings,
        view: CellView,
        timers: TimerService,
        count_instances: Callable[[], int],
    ) -> None:
        self._settings = settings
        self._view = view
        self._timers = timers
        self._count_instances = count_instances
        self._by_caller: Counter[str] = Counter()
        self._by_service: Counter[str] = Counter()
        self._buckets: dict[str, TokenBucket] = {}
        self._document = documents_pb2.CallLimitsDocument()
        self._document_revision = 0

    def _get_limit(self, service: str) -> documents_pb2.ServiceLimitDocument | None:
        entry = self._view.state.config.get(CALL_LIMITS_CONFIG)
        if entry is not None and entry.revision != self._document_revision:
            self._document = documents_pb2.CallLimitsDocument()
            json_format.Parse(entry.value, self._document, ignore_unknown_fields=True)
            self._document_revision = entry.revision
        return self._document.services.get(service)

    def get_priority(self, service: str) -> Priority:
        """Return the priority of a service's calls."""
        limit = self._get_limit(service)
        return Priority(limit.priority) if limit and limit.priority else Priority.NORMAL

    @contextmanager
    def admit(self, *, caller: str, service: str) -> Iterator[None]:
        """Count a call as in progress in the context; raise `CallRefusedError` at a limit."""
        if self._by_caller[caller] >= self._settings.caller_concurrency:
            raise CallRefusedError(
                Refusal.CALLER_LIMIT,
                f"caller {caller} has {self._by_caller[caller]} calls in progress on this "
                "instance, which is its limit",
            )
        limit = self._get_limit(service)
        if limit is not None:
            self._check_service(service, limit)
        self._by_caller[caller] += 1
        self._by_service[service] += 1
        try:
            yield
        finally:
            self._release(self._by_caller, caller)
            self._release(self._by_service, service)

    @staticmethod
    def _release(counter: Counter[str], name: str) -> None:
        counter[name] -= 1
        if counter[name] <= 0:
            del counter[name]

    def _check_service(self, service: str, limit: documents_pb2.ServiceLimitDocument) -> None:
        instances = max(1, self._count_instances())
        local_concurrency = -(-limit.concurrency // instances)
        if limit.concurrency and self._by_service[service] >= local_concurrency:
            raise CallRefusedError(
                Refusal.SERVICE_LIMIT,
                f"{service} has {self._by_service[service]} calls in progress on this instance, "
                f"whose part of the limit is {local_concurrency}",
            )
        if limit.rate_per_s:
            bucket = self._buckets.setdefault(service, TokenBucket(timers=self._timers))
            if not bucket.try_take(limit.rate_per_s / instances):
                raise CallRefusedError(
                    Refusal.SERVICE_LIMIT,
                    f"{service} exceeds this instance's part of its limit of {limit.rate_per_s} "
                    "calls per second",
                )
