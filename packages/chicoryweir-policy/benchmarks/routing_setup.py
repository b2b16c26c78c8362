"""Deployments, selector variants, virtual clock and results of the simulation."""

from __future__ import annotations

import collections.abc
import dataclasses
import heapq

from chicoryweir_policy.routing import prefix
from chicoryweir_policy.routing import selection


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Data centres, latency between them and number of endpoints."""

    name: str
    data_centres: tuple[str, ...]
    latency_s: float
    model_endpoints: int = 16
    plain_endpoints: int = 3


@dataclasses.dataclass(frozen=True)
class Variant:
    """A selector variant; each entry gets its own selector and prefix index."""

    name: str
    make_selector: collections.abc.Callable[[prefix.PrefixIndex], selection.Selector]
    make_prefix_index: collections.abc.Callable[[], prefix.PrefixIndex] = (
        prefix.PrefixIndex
    )
    ejects_outliers: bool = False


@dataclasses.dataclass
class RunResult:
    """Results of one run.

    Attributes:
        waits_s: Time from arrival to start of each attempt at a model.
        total_times_s: Time from arrival to end of each request to a model.
        urgent_waits_s: Those of waits_s that belong to urgent requests.
        plain_waits_s: Time from arrival to start of each plain attempt.
        blocks: Number of prompt blocks of all started attempts.
        cached_blocks: Number of those blocks that were cached at the endpoint.
        load_skews: Samples of the largest load of a model endpoint over the mean load.
        max_send_shares: Samples of the largest share of all sends that one model
            endpoint received.
        reach_counts: Samples of the number of endpoints that the entries select for one
            content.
        suspect_reach_counts: The same for suspect requests.
        attempts: Number of attempts that left the endpoints' queues.
        failed_attempts: Number of those that failed.
    """

    waits_s: list[float] = dataclasses.field(default_factory=list)
    total_times_s: list[float] = dataclasses.field(default_factory=list)
    urgent_waits_s: list[float] = dataclasses.field(default_factory=list)
    plain_waits_s: list[float] = dataclasses.field(default_factory=list)
    blocks: int = 0
    cached_blocks: int = 0
    load_skews: list[float] = dataclasses.field(default_factory=list)
    max_send_shares: list[float] = dataclasses.field(default_factory=list)
    reach_counts: list[int] = dataclasses.field(default_factory=list)
    suspect_reach_counts: list[int] = dataclasses.field(default_factory=list)
    attempts: int = 0
    failed_attempts: int = 0


class Clock:
    """Virtual clock that runs tasks in the order of their times."""

    def __init__(self) -> None:
        self.now = 0.0
        self._count = 0
        self._tasks: list[tuple[float, int, collections.abc.Callable[[], object]]] = []

    def schedule_at(
        self, at: float, task: collections.abc.Callable, *args: object
    ) -> None:
        """Schedules a task at a virtual time, in seconds."""
        self._count += 1
        heapq.heappush(self._tasks, (at, self._count, lambda: task(*args)))

    def schedule_after(
        self, delay_s: float, task: collections.abc.Callable, *args: object
    ) -> None:
        """Schedules a task after a delay in seconds."""
        self.schedule_at(self.now + delay_s, task, *args)

    def run(self, until: float) -> None:
        """Runs all tasks that are due before `until`."""
        while self._tasks and self._tasks[0][0] < until:
            self.now, _, task = heapq.heappop(self._tasks)
            task()
