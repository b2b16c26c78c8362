"""Checks by short calls whether the wait for a new configuration missed one."""

from __future__ import annotations

import asyncio
import contextlib
import random

from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_daemon.forwarder import interfaces
from chicoryweir_daemon.forwarder import storehealth
from chicoryweir_policy.forwarding import storechecks

# Time for which the store may wait for a change before it answers a check.
WAIT_S = 0.01

Answer = (
    interfaces.StoredConfiguration
    | interfaces.NoNewerConfiguration
    | interfaces.HistoryLost
    | interfaces.Unreachable
)


class ConfigurationChecks:
    """Makes the checks of one entry, at times that don't depend on its waits."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        registry: interfaces.Registry,
        store_health: storehealth.StoreHealth,
    ) -> None:
        self._fleet = fleet
        self._registry = registry
        self._store_health = store_health
        # The entries of a fleet start at about the same time.
        first_s = storechecks.CHECK_PERIOD_S * random.random()
        self._due_at = fleet.clock.read() + first_s

    async def find_change(
        self, position: interfaces.Position
    ) -> tuple[float, float, Answer]:
        """Asks at intervals for a change after a position, until there is one.

        Returns:
            When the call was made that found it, by the monotonic clock and by that of
            the time since boot, and its answer.
        """
        while True:
            await self._await_due()
            now = self._fleet.clock.read()
            self._due_at = now + storechecks.compute_interval_s(random.random())
            alive = self._fleet.peers.list_alive(now)
            if not storechecks.is_checker(self._fleet.settings.name, alive):
                continue
            asked_at = self._fleet.clock.read_boot()
            answer = self._store_health.check(
                await self._registry.await_configuration(position, WAIT_S), position
            )
            match answer:
                case interfaces.NoNewerConfiguration(unchanged_until, ()):
                    # The store may keep a history of a few seconds only.
                    position = unchanged_until
                    await self._store_health.record_call(None, now)
                case interfaces.Unreachable():
                    await self._store_health.record_call(answer, now)
                case _:
                    return now, asked_at, answer

    async def _await_due(self) -> None:
        left_s = self._due_at - self._fleet.clock.read()
        while left_s > 0.0:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await asyncio.Event().wait()
            left_s = self._due_at - self._fleet.clock.read()
