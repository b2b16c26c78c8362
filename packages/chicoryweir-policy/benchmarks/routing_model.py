"""Focused model of entries and endpoints that exercises the selectors.

It models what selection reacts to (late reports, prompt caches, stalls, crashes,
skewed prefixes) and nothing of the network or of the processes.
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

REPORT_EVERY_S = 0.25
CACHE_EVENTS_EVERY_S = 1.0
CACHE_EVENTS_LOST = 0.2
CACHE_EVENTS_LAG_S = 0.5
DURATION_S = 60.0
RETRY_AFTER_S = 0.05


class _Entry:
    def __init__(
        self, place: str, deployment: setup.Deployment, variant: setup.Variant
    ) -> None:
        distances = dict.fromkeys(deployment.places, deployment.latency_s)
        self.place = place
        self.loads = loads.LoadTracker(place, distances)
        self.prefixes = variant.make_prefixes()
        self.selector = variant.make(self.prefixes)
        self.detector = outliers.OutlierDetector()
        self.sequences: collections.Counter[str] = collections.Counter()


class Model:
    """One run of a variant on a deployment under a seed."""

    def __init__(
        self, deployment: setup.Deployment, variant: setup.Variant, seed: int
    ) -> None:
        self._random = random.Random(seed)
        self._deployment, self._variant = deployment, variant
        self._clock = setup.Clock()
        self._count = 0
        self._sent: collections.Counter[str] = collections.Counter()
        self.figures = setup.Figures()
        self.traffic = traffic.Traffic(
            deployment, self._clock, self._random, self._send
        )
        places = deployment.places
        self.engines = {}
        for number in range(deployment.workers + deployment.plain_workers):
            service = "model" if number < deployment.workers else "plain"
            engine = endpoints.Engine(
                f"agent-{number}", places[number % len(places)], service
            )
            self.engines[engine.instance] = engine
        self.entries = [
            _Entry(places[n % len(places)], deployment, variant)
            for n in range(endpoints.ENTRIES)
        ]
        for entry in self.entries:
            for engine in self.engines.values():
                entry.loads.add_endpoint(engine.instance, engine.place, engine.service)
                entry.loads.record_link_state(engine.instance, True, 0.0)

    def run(self) -> setup.Figures:
        """Runs the model to its end."""
        for engine in self.engines.values():
            self._clock.at(
                self._random.uniform(0, REPORT_EVERY_S), self._report, engine
            )
            self._clock.at(self._random.uniform(0, 1), self._publish_cache, engine)
            faults.Faults(engine, self._clock, self._random, self._lose).start()
        self.traffic.start()
        self._clock.at(1.0, self._sample)
        self._clock.at(2.0, self._probe)
        self._clock.run(DURATION_S)
        return self.figures

    def _send(
        self, request: requests.Request, number: int, bar: frozenset[str]
    ) -> None:
        entry = self.entries[number]
        chosen = entry.selector.select_endpoint(
            request, entry.loads, bar, entry.place, self._clock.now
        )
        if isinstance(chosen, selection.NoneAvailable):
            self._clock.after(RETRY_AFTER_S, self._send, request, number, frozenset())
            return
        engine = self.engines[chosen.instance]
        entry.sequences[engine.instance] += 1
        sequence = entry.sequences[engine.instance]
        attempt = f"{number}/{engine.instance}/{sequence}"
        entry.loads.record_sent(
            engine.instance, attempt, sequence, request.cost_tokens, request.priority
        )
        entry.prefixes.record_sent(engine.instance, request.prefix_blocks)
        if request.service == "model":
            self._sent[engine.instance] += 1
        delay = 0.0002 if entry.place == engine.place else self._deployment.latency_s
        self._clock.after(
            delay, self._receive, engine, request, number, attempt, sequence
        )

    def _receive(
        self,
        engine: endpoints.Engine,
        request: requests.Request,
        entry: int,
        attempt: str,
        n: int,
    ) -> None:
        engine.received[entry] = max(engine.received[entry], n)
        if not engine.up:
            self._fail(engine, request, entry, attempt)
            return
        self._count += 1
        item = (request.priority, self._count, request, entry, attempt)
        heapq.heappush(engine.queue, item)
        self._start_next(engine)

    def _start_next(self, engine: endpoints.Engine) -> None:
        while engine.up and engine.queue and len(engine.running) < endpoints.SLOTS:
            _, _, request, entry, attempt = heapq.heappop(engine.queue)
            self.figures.attempts += 1
            if self._clock.now < engine.failing_until:
                self.figures.errors += 1
                self._note_outcome(engine, entry, failed=True)
                self._fail(engine, request, entry, attempt)
                continue
            hits = engine.use_cache(request.prefix_blocks)
            missed = len(request.prefix_blocks) - hits
            self._note_start(request, hits)
            slow_s = max(0.0, engine.slow_until - self._clock.now) * (
                1 - 1 / faults.SLOWNESS
            )
            usual_s = endpoints.TOKENS * endpoints.STEP_S + missed * endpoints.PREFILL_S
            duration_s = min(usual_s * faults.SLOWNESS, usual_s + slow_s)
            engine.running[attempt] = (request, entry)
            self._clock.after(duration_s, self._finish, engine, entry, attempt, request)

    def _note_start(self, request: requests.Request, hits: int) -> None:
        wait_s = self._clock.now - request.arrived_at
        if request.service == "plain":
            self.figures.plain_waits_s.append(wait_s)
            return
        self.figures.waits_s.append(wait_s)
        if request.priority is requests.PriorityClass.URGENT:
            self.figures.urgent_waits_s.append(wait_s)
        self.figures.blocks += len(request.prefix_blocks)
        self.figures.hits += hits

    def _finish(
        self,
        engine: endpoints.Engine,
        entry: int,
        attempt: str,
        request: requests.Request,
    ) -> None:
        if engine.running.pop(attempt, None) is None:
            return
        if request.service == "model":
            self.figures.times_s.append(self._clock.now - request.arrived_at)
        self.entries[entry].loads.record_finished(engine.instance, attempt)
        self._note_outcome(engine, entry, failed=False)
        self._start_next(engine)

    def _note_outcome(self, engine: endpoints.Engine, entry: int, failed: bool) -> None:
        if self._variant.ejects:
            detector = self.entries[entry].detector
            detector.record_outcome(engine.instance, failed, self._clock.now)

    def _fail(
        self,
        engine: endpoints.Engine,
        request: requests.Request,
        entry: int,
        attempt: str,
    ) -> None:
        self.entries[entry].loads.record_finished(engine.instance, attempt)
        self._clock.after(
            RETRY_AFTER_S, self._send, request, entry, frozenset({engine.instance})
        )

    def _report(self, engine: endpoints.Engine) -> None:
        self._clock.after(REPORT_EVERY_S, self._report, engine)
        for number, entry in enumerate(self.entries):
            lag_s = self._random.uniform(0.05, 0.3)
            report = engine.report(number)
            self._clock.after(lag_s, self._take_report, entry, engine, report)

    def _take_report(
        self,
        entry: _Entry,
        engine: endpoints.Engine,
        report: messages.LoadReport,
    ) -> None:
        entry.loads.record_report(engine.instance, report, self._clock.now)
        if not self._variant.ejects or report.running == 0:
            return
        token_time_s = report.running / report.tokens_per_s
        entry.detector.record_token_time(engine.instance, token_time_s, self._clock.now)
        members = tuple(m.instance for m in entry.loads.list_members(engine.service))
        for ejected in entry.detector.eject(members, self._clock.now):
            entry.loads.record_ejection(ejected.instance, ejected.until)

    def _publish_cache(self, engine: endpoints.Engine) -> None:
        self._clock.after(CACHE_EVENTS_EVERY_S, self._publish_cache, engine)
        stored, evicted, engine.stored, engine.evicted = (
            engine.stored, engine.evicted, [], [],
        )  # fmt: skip
        for entry in self.entries:
            if self._random.random() >= CACHE_EVENTS_LOST:
                self._clock.after(
                    0.5, entry.prefixes.record_stored, engine.instance, stored
                )
                self._clock.after(
                    0.5, entry.prefixes.record_evicted, engine.instance, evicted
                )

    def _lose(self, engine: endpoints.Engine) -> None:
        lost = [(r, e, a) for a, (r, e) in engine.running.items()]
        lost += [(item[2], item[3], item[4]) for item in engine.queue]
        engine.running.clear()
        engine.queue.clear()
        engine.cache.clear()
        for entry in self.entries:
            entry.prefixes.remove_endpoint(engine.instance)
        for request, number, attempt in lost:
            self._fail(engine, request, number, attempt)

    def _sample(self) -> None:
        self._clock.after(REPORT_EVERY_S, self._sample)
        engines = [e for e in self.engines.values() if e.service == "model"]
        held = [len(e.running) + len(e.queue) for e in engines]
        if sum(held):
            self.figures.skews.append(max(held) / statistics.mean(held))
        if self._sent.total():
            self.figures.herds.append(max(self._sent.values()) / self._sent.total())
        self._sent.clear()

    def _probe(self) -> None:
        self._clock.after(2.0, self._probe)
        for _ in range(10):
            request = self.traffic.make_request(
                "model", (1000, 1001, 1002, 1003, self._random.getrandbits(64))
            )
            for suspect in (False, True):
                reached = set()
                for entry in self.entries:
                    chosen = entry.selector.select_endpoint(
                        request,
                        entry.loads,
                        frozenset(),
                        "",
                        self._clock.now,
                        suspect=suspect,
                    )
                    if isinstance(chosen, selection.Selected):
                        reached.add(chosen.instance)
                figures = self.figures
                sizes = figures.suspect_reaches if suspect else figures.reaches
                sizes.append(len(reached))
