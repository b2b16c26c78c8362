"""Prometheus metrics of answers, problems, latencies and link traffic."""

from __future__ import annotations

import collections
import collections.abc

from hdrh import histogram
import prometheus_client
from prometheus_client import core as prometheus_core

from chicoryweir_daemon.entry import outcome_window
from chicoryweir_daemon.forwarder import metrics_registry
from chicoryweir_daemon.runtime import links
from chicoryweir_policy import outcomes
from chicoryweir_policy import requests

MIN_LATENCY_US = 1
MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
_US_PER_S = 1_000_000
_QUANTILES = (50.0, 95.0, 99.0)
_ON_TIME = "in_time"
_LATE = "late"


class MetricsCollector:
    """Counts outcomes and records latencies by priority class.

    It is a Prometheus collector: `collect` returns the current values.
    """

    def __init__(
        self,
        window: outcome_window.OutcomeWindow,
        get_traffic: collections.abc.Callable[[], links.Traffic],
        connection_metrics: metrics_registry.MetricsRegistry,
    ) -> None:
        """Creates a collector without counts.

        Args:
            window: Recent outcomes.
            get_traffic: Returns the traffic of the links.
            connection_metrics: Metrics of what callers' connections hold.
        """
        self._connection_metrics = connection_metrics
        self._window = window
        self._get_traffic = get_traffic
        self._answer_counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._problem_counts: collections.Counter[tuple[int, str]] = (
            collections.Counter()
        )
        self._first_part_latencies = _make_histograms()
        self._answer_latencies = _make_histograms()

    def record_first_part(self, request: requests.Request, now: float) -> None:
        """Records the time to the first part of an answer."""
        _record_latency(
            self._first_part_latencies[request.priority], now - request.arrived_at
        )

    def record_answer(self, request: requests.Request, now: float) -> None:
        """Records a complete answer, its latency and whether it was on time."""
        _record_latency(
            self._answer_latencies[request.priority], now - request.arrived_at
        )
        on_time = now <= request.deadline_at
        self._window.record(request.workspace, request.priority, on_time, now)
        timeliness = _ON_TIME if on_time else _LATE
        self._answer_counts[(request.priority.name.lower(), timeliness)] += 1

    def record_failure(
        self, request: requests.Request, problem: outcomes.Problem, now: float
    ) -> None:
        """Records a request that the core rejected or aborted as not on time."""
        self._window.record(request.workspace, request.priority, False, now)
        self.count_problem(problem)

    def count_problem(self, problem: outcomes.Problem) -> None:
        """Counts a problem.

        Requests rejected before they reach the core are recorded only by this method.
        """
        self._problem_counts[(problem.status, problem.outcome.value)] += 1

    def collect(self) -> collections.abc.Iterator[prometheus_core.Metric]:
        """Yields the metric families."""
        answers = prometheus_core.CounterMetricFamily(
            "chicoryweir_answers", "Answers given whole.", labels=("class", "kept")
        )
        for (class_name, timeliness), count in sorted(self._answer_counts.items()):
            answers.add_metric((class_name, timeliness), count)
        yield answers
        problems = prometheus_core.CounterMetricFamily(
            "chicoryweir_problems",
            "Requests that ended with a problem.",
            labels=("status", "outcome"),
        )
        for (status, outcome), count in sorted(self._problem_counts.items()):
            problems.add_metric((str(status), outcome), count)
        yield problems
        yield _make_traffic_family(self._get_traffic())
        yield _make_latency_family(
            "first_part", "Time to the first part.", self._first_part_latencies
        )
        yield _make_latency_family(
            "answer", "Time to the whole answer.", self._answer_latencies
        )
        yield from self._connection_metrics.collect()

    def render(self) -> bytes:
        """Returns the metrics in Prometheus' text format."""
        registry = prometheus_client.CollectorRegistry(auto_describe=False)
        registry.register(self)
        return prometheus_client.generate_latest(registry)


Histograms = dict[requests.PriorityClass, histogram.HdrHistogram]


def _make_histograms() -> Histograms:
    return {
        priority: histogram.HdrHistogram(
            MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
        )
        for priority in requests.PriorityClass
    }


def _record_latency(latencies: histogram.HdrHistogram, seconds: float) -> None:
    latencies.record_value(max(MIN_LATENCY_US, int(seconds * _US_PER_S)))


def _make_traffic_family(
    traffic: links.Traffic,
) -> prometheus_core.CounterMetricFamily:
    family = prometheus_core.CounterMetricFamily(
        "chicoryweir_link_bytes",
        "Bytes over the links to other daemons, callers' answers included.",
        labels=("direction",),
    )
    family.add_metric(("sent",), traffic.sent_bytes)
    family.add_metric(("received",), traffic.received_bytes)
    return family


def _make_latency_family(
    name: str, help_text: str, histograms: Histograms
) -> prometheus_core.GaugeMetricFamily:
    family = prometheus_core.GaugeMetricFamily(
        f"chicoryweir_{name}_seconds", help_text, labels=("class", "quantile")
    )
    for priority, latencies in histograms.items():
        for quantile in _QUANTILES:
            value = latencies.get_value_at_percentile(quantile) / _US_PER_S
            labels = (priority.name.lower(), f"{quantile / 100:g}")
            family.add_metric(labels, value)
    return family
