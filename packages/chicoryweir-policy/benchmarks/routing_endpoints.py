"""Simulated endpoints for the benchmark of endpoint selection."""

from __future__ import annotations

import collections

from chicoryweir_policy import messages
from chicoryweir_policy import requests

ENTRIES = 7
SLOTS = 8
TOKENS = 60
STEP_S = 0.02
PREFILL_S = 0.01
CACHE_BLOCKS = 250
MODEL = "kakheti-1"
CLASSES = tuple(requests.PriorityClass)


class Endpoint:
    """An endpoint with a priority queue, slots and a prompt cache."""

    def __init__(self, instance: str, data_centre: str, service: str) -> None:
        self.instance, self.data_centre, self.service = instance, data_centre, service
        self.queue: list[tuple[int, int, requests.Request, int, str]] = []
        self.running: dict[str, tuple[requests.Request, int]] = {}
        self.cache: collections.OrderedDict[int, None] = collections.OrderedDict()
        self.stored: list[int] = []
        self.evicted: list[int] = []
        self.received = [0] * ENTRIES
        self.slowdown, self.is_up, self.incarnation = 1.0, True, 0
        self.slow_until = self.failing_until = 0.0

    def report(self, entry_index: int) -> messages.LoadReport:
        """Returns the load report for one entry."""
        waiting = [0.0] * len(CLASSES)
        for item in self.queue:
            for priority in CLASSES[item[0] :]:
                waiting[priority] += item[2].cost_tokens
        rate = SLOTS / (STEP_S * self.slowdown)
        current_rate = len(self.running) / (STEP_S * self.slowdown)
        unfinished = waiting[-1] + TOKENS / 2 * len(self.running)
        return messages.LoadReport(
            1, self.received[entry_index], len(self.running), len(self.queue),
            unfinished, SLOTS, current_rate, tuple(ahead / rate for ahead in waiting),
            False, self.is_up, str(self.incarnation),
            (MODEL,) if self.service == "model" else (),
        )  # fmt: skip

    def use_cache(self, blocks: tuple[int, ...]) -> int:
        """Stores the blocks; returns the number of leading ones that were cached."""
        hits = next(
            (i for i, b in enumerate(blocks) if b not in self.cache), len(blocks)
        )
        for block in blocks:
            if block not in self.cache:
                self.stored.append(block)
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) > CACHE_BLOCKS:
            self.evicted.append(self.cache.popitem(last=False)[0])
        return hits
