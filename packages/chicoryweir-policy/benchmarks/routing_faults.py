"""Faults injected into the simulated endpoints."""

from __future__ import annotations

import collections.abc
import random

import routing_endpoints as endpoints
import routing_setup as setup

STALL_SLOWDOWN = 8.0
STALL_DURATIONS_S = (2.0, 5.0, 20.0)
RESTART_DURATION_S = 1.5
FAILURE_DURATION_S = 15.0
MEAN_STALL_INTERVAL_S = 120.0
MEAN_CRASH_INTERVAL_S = 120.0
MEAN_FAILURE_DELAY_S = 240.0


class Faults:
    """Injects stalls, crashes and failing requests into one endpoint."""

    def __init__(
        self,
        endpoint: endpoints.Endpoint,
        clock: setup.Clock,
        rng: random.Random,
        drop_requests: collections.abc.Callable[[endpoints.Endpoint], None],
    ) -> None:
        self._endpoint, self._clock, self._drop_requests = (
            endpoint,
            clock,
            drop_requests,
        )
        self._random = rng

    def start(self) -> None:
        """Schedules the first faults."""
        self._schedule(0.0, MEAN_STALL_INTERVAL_S, self._stall)
        self._schedule(0.0, MEAN_CRASH_INTERVAL_S, self._crash)
        self._schedule(0.0, MEAN_FAILURE_DELAY_S, self._fail_requests)

    def _schedule(
        self,
        min_delay_s: float,
        mean_delay_s: float,
        task: collections.abc.Callable[[], None],
    ) -> None:
        self._clock.schedule_after(
            min_delay_s + self._random.expovariate(1 / mean_delay_s), task
        )

    def _stall(self) -> None:
        endpoint = self._endpoint
        duration_s = self._random.choice(STALL_DURATIONS_S)
        endpoint.slowdown = STALL_SLOWDOWN
        endpoint.slow_until = self._clock.now + duration_s
        self._clock.schedule_after(duration_s, setattr, endpoint, "slowdown", 1.0)
        self._schedule(duration_s, MEAN_STALL_INTERVAL_S, self._stall)

    def _crash(self) -> None:
        endpoint = self._endpoint
        endpoint.is_up = False
        self._drop_requests(endpoint)
        self._clock.schedule_after(RESTART_DURATION_S, setattr, endpoint, "is_up", True)
        self._schedule(RESTART_DURATION_S, MEAN_CRASH_INTERVAL_S, self._crash)

    def _fail_requests(self) -> None:
        self._endpoint.failing_until = self._clock.now + FAILURE_DURATION_S
