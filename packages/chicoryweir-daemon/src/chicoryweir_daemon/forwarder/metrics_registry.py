"""Counters and latency histograms of a forwarding process."""

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
    """Counters and latency histograms by name and label, and gauges by name."""

    def __init__(self) -> None:
        self._counts: collections.Counter[tuple[str, str]] = collections.Counter()
        self._latencies: dict[tuple[str, str], histogram.HdrHistogram] = {}
        self._gauges: dict[str, collections.abc.Callable[[], float]] = {}

    def count(self, name: str, label: str = "") -> None:
        """Increments a counter."""
        self._counts[(name, label)] += 1

    def observe(self, name: str, label: str, seconds: float) -> None:
        """Records a latency."""
        recorded = self._latencies.get((name, label))
        if recorded is None:
            recorded = histogram.HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            self._latencies[(name, label)] = recorded
        recorded.record_value(min(MAX_LATENCY_US, max(1, int(seconds * _US_PER_S))))

    def gauge(self, name: str, read: collections.abc.Callable[[], float]) -> None:
        """Registers a gauge, which is read on each scrape."""
        self._gauges[name] = read

    def collect(self) -> collections.abc.Iterator[prometheus_core.Metric]:
        """Yields the metrics as Prometheus metric families."""
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
        """Returns the metrics in the Prometheus text format."""
        registry = prometheus_client.CollectorRegistry(auto_describe=False)
        registry.register(self)
        return prometheus_client.generate_latest(registry)
