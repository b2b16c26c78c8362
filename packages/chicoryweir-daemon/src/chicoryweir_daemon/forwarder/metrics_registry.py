"""Counters and latency histograms of a forwarding process."""

from __future__ import annotations

import collections
import collections.abc

from hdrh import histogram
import prometheus_client
from prometheus_client import core as prometheus_core

HIGHEST_US = 60_000_000
DIGITS = 2
_US_PER_S = 1_000_000
_QUANTILES = (50.0, 95.0, 99.0)


class MetricsRegistry:
    """Counts by name and labels; latencies by name and route kind."""

    def __init__(self) -> None:
        self._counts: collections.Counter[tuple[str, str]] = collections.Counter()
        self._latencies: dict[tuple[str, str], histogram.HdrHistogram] = {}
        self._gauges: dict[str, collections.abc.Callable[[], float]] = {}

    def count(self, name: str, label: str = "") -> None:
        """Counts one event of a kind."""
        self._counts[(name, label)] += 1

    def observe(self, name: str, label: str, seconds: float) -> None:
        """Records a latency."""
        recorded = self._latencies.get((name, label))
        if recorded is None:
            recorded = histogram.HdrHistogram(1, HIGHEST_US, DIGITS)
            self._latencies[(name, label)] = recorded
        recorded.record_value(min(HIGHEST_US, max(1, int(seconds * _US_PER_S))))

    def gauge(self, name: str, read: collections.abc.Callable[[], float]) -> None:
        """Adds a value that is read when the metrics are asked for."""
        self._gauges[name] = read

    def collect(self) -> collections.abc.Iterator[prometheus_core.Metric]:
        """Yields the measures as Prometheus knows them."""
        for (name, label), count in sorted(self._counts.items()):
            counter = prometheus_core.CounterMetricFamily(
                f"chicoryweir_{name}", name, labels=("of",)
            )
            counter.add_metric((label,), count)
            yield counter
        for (name, label), recorded in sorted(self._latencies.items()):
            gauge = prometheus_core.GaugeMetricFamily(
                f"chicoryweir_{name}_seconds", name, labels=("of", "quantile")
            )
            for quantile in _QUANTILES:
                value = recorded.get_value_at_percentile(quantile) / _US_PER_S
                gauge.add_metric((label, f"{quantile / 100:g}"), value)
            yield gauge
        for name, read in self._gauges.items():
            family = prometheus_core.GaugeMetricFamily(f"chicoryweir_{name}", name)
            family.add_metric((), read())
            yield family

    def render(self) -> bytes:
        """Returns the measures in Prometheus' text format."""
        registry = prometheus_client.CollectorRegistry(auto_describe=False)
        registry.register(self)
        return prometheus_client.generate_latest(registry)
