"""Faults of the endpoints of the model."""

from __future__ import annotations

import collections.abc
import random

import routing_endpoints as endpoints
import routing_setup as setup

SLOWNESS = 8.0
SLOW_FOR_S = (2.0, 5.0, 20.0)
DOWN_FOR_S = 1.5
FAILING_FOR_S = 15.0
STALLS_EVERY_S = 120.0
CRASHES_EVERY_S = 120.0
FAILINGS_EVERY_S = 240.0


class Faults:
    """Slows, crashes and breaks one endpoint."""

    def __init__(
        self,
        engine: endpoints.Engine,
        clock: setup.Clock,
        source: random.Random,
        lose: collections.abc.Callable[[endpoints.Engine], None],
    ) -> None:
        self._engine, self._clock, self._lose = engine, clock, lose
        self._random = source

    def start(self) -> None:
        """Schedules the first faults."""
        self._schedule(0.0, STALLS_EVERY_S, self._stall)
        self._schedule(0.0, CRASHES_EVERY_S, self._crash)
        self._schedule(0.0, FAILINGS_EVERY_S, self._break)

    def _schedule(
        self, least_s: float, mean_s: float, task: collections.abc.Callable[[], None]
    ) -> None:
        self._clock.after(least_s + self._random.expovariate(1 / mean_s), task)

    def _stall(self) -> None:
        engine = self._engine
        lasts_s = self._random.choice(SLOW_FOR_S)
        engine.slowness = SLOWNESS
        engine.slow_until = self._clock.now + lasts_s
        self._clock.after(lasts_s, setattr, engine, "slowness", 1.0)
        self._schedule(lasts_s, STALLS_EVERY_S, self._stall)

    def _crash(self) -> None:
        engine = self._engine
        engine.up = False
        self._lose(engine)
        self._clock.after(DOWN_FOR_S, setattr, engine, "up", True)
        self._schedule(DOWN_FOR_S, CRASHES_EVERY_S, self._crash)

    def _break(self) -> None:
        self._engine.failing_until = self._clock.now + FAILING_FOR_S
