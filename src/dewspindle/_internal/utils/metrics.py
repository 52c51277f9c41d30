"""OpenTelemetry metrics, exported in the Prometheus text format."""

from enum import Enum

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Counter, Histogram, Meter
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

from .refusals import Refusal, RetryReason


class Metrics:
    """Counters and histograms of one instance."""

    def __init__(self, *, instance: str, zone: str) -> None:
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(registry=self._registry)
        resource = Resource.create({"service.instance.id": instance, "zone": zone})
        self._provider = MeterProvider(metric_readers=[reader], resource=resource)
        self._meter: Meter = self._provider.get_meter("dewspindle")
        self._counters: dict[str, Counter] = {}
        self._histograms: dict[str, Histogram] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add to a counter, creating it on first use."""
        counter = self._counters.get(name)
        if counter is None:
            counter = self._meter.create_counter(name)
            self._counters[name] = counter
        counter.add(amount, labels)

    def count_refusal(self, refusal: Refusal) -> None:
        """Increment the refusal counter of a reason."""
        self.count("dewspindle_refusals", reason=refusal.value)

    def count_retry(self, reason: RetryReason) -> None:
        """Increment the retry counter of a reason."""
        self.count("dewspindle_retries", reason=reason.value)

    def record(self, name: str, value: float, **labels: str) -> None:
        """Add a value to a histogram, creating it on first use."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._meter.create_histogram(name)
            self._histograms[name] = histogram
        histogram.record(value, labels)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)


def initialize_reason_counters(metrics: Metrics, *, enums: tuple[type[Enum], ...]) -> None:
    """Export the counters of all refusal and retry reasons as zero before their first use."""
    for enum in enums:
        name = "dewspindle_refusals" if enum is Refusal else "dewspindle_retries"
        for member in enum:
            metrics.count(name, 0, reason=str(member.value))
