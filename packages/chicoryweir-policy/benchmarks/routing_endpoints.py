"""Endpoints of the model that exercises the selectors."""

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


class Engine:
    """An endpoint with a queue, slots and a prompt cache."""

    def __init__(self, instance: str, place: str, service: str) -> None:
        self.instance, self.place, self.service = instance, place, service
        self.queue: list[tuple[int, int, requests.Request, int, str]] = []
        self.running: dict[str, tuple[requests.Request, int]] = {}
        self.cache: collections.OrderedDict[int, None] = collections.OrderedDict()
        self.stored: list[int] = []
        self.evicted: list[int] = []
        self.received = [0] * ENTRIES
        self.slowness, self.up, self.incarnation = 1.0, True, 0
        self.slow_until = self.failing_until = 0.0

    def report(self, entry: int) -> messages.LoadReport:
        """Reports its load to one entry."""
        waiting = [0.0] * len(CLASSES)
        for item in self.queue:
            for priority in CLASSES[item[0] :]:
                waiting[priority] += item[2].cost_tokens
        rate = SLOTS / (STEP_S * self.slowness)
        present = len(self.running) / (STEP_S * self.slowness)
        unfinished = waiting[-1] + TOKENS / 2 * len(self.running)
        return messages.LoadReport(
            1, self.received[entry], len(self.running), len(self.queue), unfinished,
            SLOTS, present, tuple(ahead / rate for ahead in waiting), False, self.up,
            str(self.incarnation), (MODEL,) if self.service == "model" else (),
        )  # fmt: skip

    def use_cache(self, blocks: tuple[int, ...]) -> int:
        """Caches the blocks; returns how many leading ones it held."""
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
