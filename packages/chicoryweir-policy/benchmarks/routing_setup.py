"""Deployments, ways of selecting, clock and figures of the model."""

from __future__ import annotations

import collections.abc
import dataclasses
import heapq

from chicoryweir_policy.routing import prefix
from chicoryweir_policy.routing import selection


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Places, latencies and endpoints of a deployment."""

    name: str
    places: tuple[str, ...]
    latency_s: float
    workers: int = 16
    plain_workers: int = 3


@dataclasses.dataclass(frozen=True)
class Variant:
    """A way of selecting, made anew for each entry."""

    name: str
    make: collections.abc.Callable[[prefix.PrefixIndex], selection.Selector]
    make_prefixes: collections.abc.Callable[[], prefix.PrefixIndex] = prefix.PrefixIndex
    ejects: bool = False


@dataclasses.dataclass
class Figures:
    """What one run gave; loads and shares as they were sampled."""

    waits_s: list[float] = dataclasses.field(default_factory=list)
    times_s: list[float] = dataclasses.field(default_factory=list)
    urgent_waits_s: list[float] = dataclasses.field(default_factory=list)
    plain_waits_s: list[float] = dataclasses.field(default_factory=list)
    blocks: int = 0
    hits: int = 0
    skews: list[float] = dataclasses.field(default_factory=list)
    herds: list[float] = dataclasses.field(default_factory=list)
    reaches: list[int] = dataclasses.field(default_factory=list)
    suspect_reaches: list[int] = dataclasses.field(default_factory=list)
    attempts: int = 0
    errors: int = 0


class Clock:
    """Runs tasks in the order of their times."""

    def __init__(self) -> None:
        self.now = 0.0
        self._count = 0
        self._tasks: list[tuple[float, int, collections.abc.Callable[[], object]]] = []

    def at(self, at: float, task: collections.abc.Callable, *args: object) -> None:
        """Has a task run at a time."""
        self._count += 1
        heapq.heappush(self._tasks, (at, self._count, lambda: task(*args)))

    def after(self, delay: float, task: collections.abc.Callable, *a: object) -> None:
        """Has a task run after a delay."""
        self.at(self.now + delay, task, *a)

    def run(self, until: float) -> None:
        """Runs all tasks that are due before a time."""
        while self._tasks and self._tasks[0][0] < until:
            self.now, _, task = heapq.heappop(self._tasks)
            task()
