"""Counters, latency histograms and gauges of a forwarding process."""

from __future__ import annotations

import collections
import collections.abc

from hdrh import histogram
import prometheus_client
from prometheus_client import core as prometheus_core

MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 2
_US_PER_S = 1_000_000
_QUANTILES = (50.0, 95.0, 99.0)


class MetricsRegistry:
    """Holds counters and latency histograms by name and label, and gauges by name."""

    def __init__(self) -> None:
        self._counts: collections.Counter[tuple[str, str]] = collections.Counter()
        self._latencies: dict[tuple[str, str], histogram.HdrHistogram] = {}
        self._gauges: dict[str, collections.abc.Callable[[], float]] = {}

    def count(self, name: str, label: str = "") -> None:
        """Increments a counter."""
        self._counts[(name, label)] += 1

    def observe(self, name: str, label: str, latency_s: float) -> None:
        """Records a latency."""
        latencies = self._latencies.get((name, label))
        if latencies is None:
            latencies = histogram.HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            self._latencies[(name, label)] = latencies
        latencies.record_value(min(MAX_LATENCY_US, max(1, int(latency_s * _US_PER_S))))

    def register_gauge(
        self, name: str, read_value: collections.abc.Callable[[], float]
    ) -> None:
        """Registers a gauge; `read_value` returns its value at each scrape."""
        self._gauges[name] = read_value

    def collect(self) -> collections.abc.Iterator[prometheus_core.Metric]:
        """Yields the metrics as Prometheus metric families."""
        for (name, label), count in sorted(self._counts.items()):
            counter = prometheus_core.CounterMetricFamily(
                f"chicoryweir_{name}", name, labels=("of",)
            )
            counter.add_metric((label,), count)
            yield counter
        for (name, label), latencies in sorted(self._latencies.items()):
            latency_gauge = prometheus_core.GaugeMetricFamily(
                f"chicoryweir_{name}_seconds", name, labels=("of", "quantile")
            )
            for quantile in _QUANTILES:
                value = latencies.get_value_at_percentile(quantile) / _US_PER_S
                latency_gauge.add_metric((label, f"{quantile / 100:g}"), value)
            yield latency_gauge
        for name, read_value in self._gauges.items():
            gauge = prometheus_core.GaugeMetricFamily(f"chicoryweir_{name}", name)
            gauge.add_metric((), read_value())
            yield gauge

    def render(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        registry = prometheus_client.CollectorRegistry(auto_describe=False)
        registry.register(self)
        return prometheus_client.generate_latest(registry)
