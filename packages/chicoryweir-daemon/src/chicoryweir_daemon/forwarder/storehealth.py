"""Tracks the state of the platform's store for the tasks that call it."""

from __future__ import annotations

import asyncio
import random

from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_daemon.forwarder import interfaces
from chicoryweir_platform import backoff
from chicoryweir_policy import catalogue
from chicoryweir_policy import storeeras

BACKOFF = backoff.BackoffPolicy(base_s=0.1, cap_s=1.0)


class StoreHealth:
    """Tracks whether the store is reachable, and its era.

    All tasks that call the store share one instance.
    """

    def __init__(self, fleet: fleets.Fleet, event_log: eventlog.EventLog) -> None:
        self._fleet = fleet
        self._event_log = event_log
        self._backoff = backoff.Backoff()
        self._seed = random.getrandbits(32)
        self._eras = storeeras.EraTracker()

    async def record_call(self, unreachable: interfaces.Unreachable | None) -> None:
        """Records the result of a call; sleeps for the backoff after a failure."""
        now = self._fleet.clock.read()
        self._fleet.endpoints.record_store_call(unreachable is None, now)
        if unreachable is None:
            if self._backoff.failures:
                self._event_log.record(
                    catalogue.STORE_BACK, failures=self._backoff.failures
                )
            self._backoff = backoff.Backoff()
            return
        if not self._backoff.failures:
            self._event_log.record(
                catalogue.STORE_UNREACHABLE, detail=unreachable.detail
            )
        self._backoff = backoff.record_failure(self._backoff, BACKOFF, self._seed, now)
        await asyncio.sleep(self._backoff.retry_at - now)

    def observe_era(self, era: int | None) -> None:
        """Records the era that an answer of the store states."""
        previous = self._eras.current
        if self._eras.observe(era) is storeeras.Observation.RESTORED:
            self._event_log.record(
                catalogue.STORE_RESTORED, era=era, previous_era=previous
            )
