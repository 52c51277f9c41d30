"""OpenTelemetry instruments, exported in the Prometheus text format."""

from collections.abc import Mapping

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Counter, Histogram, Meter
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest


class Instruments:
    """Counters and histograms by name."""

    def __init__(self, *, instance: str, zone: str) -> None:
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(registry=self._registry)
        resource = Resource.create({"service.instance.id": instance, "zone": zone})
        self._provider = MeterProvider(metric_readers=[reader], resource=resource)
        self._meter: Meter = self._provider.get_meter("dewspindle")
        self._counters: dict[str, Counter] = {}
        self._histograms: dict[str, Histogram] = {}

    def count(self, name: str, amount: int, labels: Mapping[str, str]) -> None:
        """Add to a counter, creating it on first use."""
        counter = self._counters.get(name)
        if counter is None:
            counter = self._counters[name] = self._meter.create_counter(name)
        counter.add(amount, labels)

    def record(self, name: str, value: float, labels: Mapping[str, str]) -> None:
        """Add a value to a histogram, creating it on first use."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._histograms[name] = self._meter.create_histogram(name)
        histogram.record(value, labels)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
