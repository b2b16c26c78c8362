"""Discrete-event simulation of entries and endpoints for endpoint selection.

It covers what selection depends on (late reports, prompt caches, stalls, crashes,
skewed prefixes), but neither the network nor the processes.
"""

from __future__ import annotations

import collections
import collections.abc
import heapq
import random
import statistics

import routing_endpoints as endpoints
import routing_faults as faults
import routing_setup as setup
import routing_traffic as traffic

from chicoryweir_policy import messages
from chicoryweir_policy import requests
from chicoryweir_policy.routing import loads
from chicoryweir_policy.routing import outliers
from chicoryweir_policy.routing import selection

REPORT_PERIOD_S = 0.25
CACHE_EVENTS_PERIOD_S = 1.0
CACHE_EVENTS_LOSS_SHARE = 0.2
CACHE_EVENTS_LAG_S = 0.5
DURATION_S = 60.0
RETRY_DELAY_S = 0.05


class _Entry:
    def __init__(
        self, data_centre: str, deployment: setup.Deployment, variant: setup.Variant
    ) -> None:
        distances = dict.fromkeys(deployment.data_centres, deployment.latency_s)
        self.data_centre = data_centre
        self.loads = loads.LoadTracker(data_centre, distances)
        self.prefixes = variant.make_prefix_index()
        self.selector = variant.make_selector(self.prefixes)
        self.detector = outliers.OutlierDetector()
        self.sequences: collections.Counter[str] = collections.Counter()


class Simulation:
    """Simulates one variant on a deployment under a seed."""

    def __init__(
        self, deployment: setup.Deployment, variant: setup.Variant, seed: int
    ) -> None:
        self._random = random.Random(seed)
        self._deployment, self._variant = deployment, variant
        self._clock = setup.Clock()
        self._received_count = 0
        self._sent: collections.Counter[str] = collections.Counter()
        self.result = setup.RunResult()
        self.traffic = traffic.Traffic(
            deployment, self._clock, self._random, self._send
        )
        data_centres = deployment.data_centres
        self.endpoints = {}
        for number in range(deployment.model_endpoints + deployment.plain_endpoints):
            service = "model" if number < deployment.model_endpoints else "plain"
            endpoint = endpoints.Endpoint(
                f"agent-{number}", data_centres[number % len(data_centres)], service
            )
            self.endpoints[endpoint.instance] = endpoint
        self.entries = [
            _Entry(data_centres[index % len(data_centres)], deployment, variant)
            for index in range(endpoints.ENTRIES)
        ]
        for entry in self.entries:
            for endpoint in self.endpoints.values():
                entry.loads.add_endpoint(
                    endpoint.instance, endpoint.data_centre, endpoint.service
                )
                entry.loads.record_link_state(endpoint.instance, True, 0.0)

    def run(self) -> setup.RunResult:
        """Runs until DURATION_S and returns the results."""
        for endpoint in self.endpoints.values():
            self._clock.schedule_at(
                self._random.uniform(0, REPORT_PERIOD_S), self._report, endpoint
            )
            self._clock.schedule_at(
                self._random.uniform(0, 1), self._publish_cache, endpoint
            )
            faults.Faults(
                endpoint, self._clock, self._random, self._drop_requests
            ).start()
        self.traffic.start()
        self._clock.schedule_at(1.0, self._sample_load)
        self._clock.schedule_at(2.0, self._sample_reach)
        self._clock.run(DURATION_S)
        return self.result

    def _send(
        self, request: requests.Request, entry_index: int, excluded: frozenset[str]
    ) -> None:
        entry = self.entries[entry_index]
        selection_result = entry.selector.select_endpoint(
            request, entry.loads, excluded, entry.data_centre, self._clock.now
        )
        if isinstance(selection_result, selection.NoneAvailable):
            self._clock.schedule_after(
                RETRY_DELAY_S, self._send, request, entry_index, frozenset()
            )
            return
        endpoint = self.endpoints[selection_result.instance]
        entry.sequences[endpoint.instance] += 1
        sequence = entry.sequences[endpoint.instance]
        attempt = f"{entry_index}/{endpoint.instance}/{sequence}"
        entry.loads.record_sent(
            endpoint.instance, attempt, sequence, request.cost_tokens, request.priority
        )
        entry.prefixes.record_sent(endpoint.instance, request.prefix_blocks)
        if request.service == "model":
            self._sent[endpoint.instance] += 1
        latency_s = (
            0.0002
            if entry.data_centre == endpoint.data_centre
            else self._deployment.latency_s
        )
        self._clock.schedule_after(
            latency_s, self._receive, endpoint, request, entry_index, attempt, sequence
        )

    def _receive(
        self,
        endpoint: endpoints.Endpoint,
        request: requests.Request,
        entry_index: int,
        attempt: str,
        sequence: int,
    ) -> None:
        endpoint.received[entry_index] = max(endpoint.received[entry_index], sequence)
        if not endpoint.is_up:
            self._fail(endpoint, request, entry_index, attempt)
            return
        self._received_count += 1
        item = (request.priority, self._received_count, request, entry_index, attempt)
        heapq.heappush(endpoint.queue, item)
        self._start_next(endpoint)

    def _start_next(self, endpoint: endpoints.Endpoint) -> None:
        while (
            endpoint.is_up
            and endpoint.queue
            and len(endpoint.running) < endpoints.SLOTS
        ):
            _, _, request, entry_index, attempt = heapq.heappop(endpoint.queue)
            self.result.attempts += 1
            if self._clock.now < endpoint.failing_until:
                self.result.failed_attempts += 1
                self._record_outcome(endpoint, entry_index, failed=True)
                self._fail(endpoint, request, entry_index, attempt)
                continue
            cached_count = endpoint.use_cache(request.prefix_blocks)
            missed_count = len(request.prefix_blocks) - cached_count
            self._record_start(request, cached_count)
            stall_s = max(0.0, endpoint.slow_until - self._clock.now) * (
                1 - 1 / faults.STALL_SLOWDOWN
            )
            undisturbed_s = (
                endpoints.TOKENS * endpoints.STEP_S + missed_count * endpoints.PREFILL_S
            )
            duration_s = min(
                undisturbed_s * faults.STALL_SLOWDOWN, undisturbed_s + stall_s
            )
            endpoint.running[attempt] = (request, entry_index)
            self._clock.schedule_after(
                duration_s, self._finish, endpoint, entry_index, attempt, request
            )

    def _record_start(self, request: requests.Request, cached_count: int) -> None:
        wait_s = self._clock.now - request.arrived_at
        if request.service == "plain":
            self.result.plain_waits_s.append(wait_s)
            return
        self.result.waits_s.append(wait_s)
        if request.priority is requests.PriorityClass.URGENT:
            self.result.urgent_waits_s.append(wait_s)
        self.result.blocks += len(request.prefix_blocks)
        self.result.cached_blocks += cached_count

    def _finish(
        self,
        endpoint: endpoints.Endpoint,
        entry_index: int,
        attempt: str,
        request: requests.Request,
    ) -> None:
        if endpoint.running.pop(attempt, None) is None:
            return
        if request.service == "model":
            self.result.total_times_s.append(self._clock.now - request.arrived_at)
        self.entries[entry_index].loads.record_finished(endpoint.instance, attempt)
        self._record_outcome(endpoint, entry_index, failed=False)
        self._start_next(endpoint)

    def _record_outcome(
        self, endpoint: endpoints.Endpoint, entry_index: int, failed: bool
    ) -> None:
        if self._variant.ejects_outliers:
            detector = self.entries[entry_index].detector
            detector.record_outcome(endpoint.instance, failed, self._clock.now)

    def _fail(
        self,
        endpoint: endpoints.Endpoint,
        request: requests.Request,
        entry_index: int,
        attempt: str,
    ) -> None:
        self.entries[entry_index].loads.record_finished(endpoint.instance, attempt)
        self._clock.schedule_after(
            RETRY_DELAY_S,
            self._send,
            request,
            entry_index,
            frozenset({endpoint.instance}),
        )

    def _report(self, endpoint: endpoints.Endpoint) -> None:
        self._clock.schedule_after(REPORT_PERIOD_S, self._report, endpoint)
        for index, entry in enumerate(self.entries):
            lag_s = self._random.uniform(0.05, 0.3)
            report = endpoint.report(index)
            self._clock.schedule_after(
                lag_s, self._receive_report, entry, endpoint, report
            )

    def _receive_report(
        self,
        entry: _Entry,
        endpoint: endpoints.Endpoint,
        report: messages.LoadReport,
    ) -> None:
        entry.loads.record_report(endpoint.instance, report, self._clock.now)
        if not self._variant.ejects_outliers or report.running == 0:
            return
        token_time_s = report.running / report.tokens_per_s
        entry.detector.record_token_time(
            endpoint.instance, token_time_s, self._clock.now
        )
        members = tuple(m.instance for m in entry.loads.list_members(endpoint.service))
        for ejected in entry.detector.eject(members, self._clock.now):
            entry.loads.record_ejection(ejected.instance, ejected.until)

    def _publish_cache(self, endpoint: endpoints.Endpoint) -> None:
        self._clock.schedule_after(CACHE_EVENTS_PERIOD_S, self._publish_cache, endpoint)
        stored, evicted, endpoint.stored, endpoint.evicted = (
            endpoint.stored, endpoint.evicted, [], [],
        )  # fmt: skip
        for entry in self.entries:
            if self._random.random() >= CACHE_EVENTS_LOSS_SHARE:
                self._clock.schedule_after(
                    0.5, entry.prefixes.record_stored, endpoint.instance, stored
                )
                self._clock.schedule_after(
                    0.5, entry.prefixes.record_evicted, endpoint.instance, evicted
                )

    def _drop_requests(self, endpoint: endpoints.Endpoint) -> None:
        lost = [
            (lost_request, entry_index, attempt_id)
            for attempt_id, (lost_request, entry_index) in endpoint.running.items()
        ]
        lost += [(item[2], item[3], item[4]) for item in endpoint.queue]
        endpoint.running.clear()
        endpoint.queue.clear()
        endpoint.cache.clear()
        for entry in self.entries:
            entry.prefixes.remove_endpoint(endpoint.instance)
        for request, index, attempt in lost:
            self._fail(endpoint, request, index, attempt)

    def _sample_load(self) -> None:
        self._clock.schedule_after(REPORT_PERIOD_S, self._sample_load)
        model_endpoints = [e for e in self.endpoints.values() if e.service == "model"]
        unfinished = [len(e.running) + len(e.queue) for e in model_endpoints]
        if sum(unfinished):
            self.result.load_skews.append(max(unfinished) / statistics.mean(unfinished))
        if self._sent.total():
            self.result.max_send_shares.append(
                max(self._sent.values()) / self._sent.total()
            )
        self._sent.clear()

    def _sample_reach(self) -> None:
        self._clock.schedule_after(2.0, self._sample_reach)
        for _ in range(10):
            request = self.traffic.make_request(
                "model", (1000, 1001, 1002, 1003, self._random.getrandbits(64))
            )
            for suspect in (False, True):
                selected_instances = set()
                for entry in self.entries:
                    selection_result = entry.selector.select_endpoint(
                        request,
                        entry.loads,
                        frozenset(),
                        "",
                        self._clock.now,
                        suspect=suspect,
                    )
                    if isinstance(selection_result, selection.Selected):
                        selected_instances.add(selection_result.instance)
                result = self.result
                counts = result.suspect_reach_counts if suspect else result.reach_counts
                counts.append(len(selected_instances))
