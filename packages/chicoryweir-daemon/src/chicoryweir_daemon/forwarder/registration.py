"""Registers the entry in the store, and deregisters it when it stops."""

from __future__ import annotations

import asyncio

from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_daemon.forwarder import gossip as gossips
from chicoryweir_daemon.forwarder import interfaces
from chicoryweir_daemon.forwarder import process
from chicoryweir_daemon.forwarder import storehealth
from chicoryweir_daemon.lifecycle import eventloop
from chicoryweir_policy import catalogue

# Delay between two attempts to register this entry and to list the other entries.
REGISTRATION_RETRY_S = 1.0


class Registration:
    """Registration of an entry in the store."""

    def __init__(
        self,
        settings: process.Settings,
        fleet: fleets.Fleet,
        registry: interfaces.Registry,
        gossip: gossips.Gossip,
        store_health: storehealth.StoreHealth,
        event_log: eventlog.EventLog,
    ) -> None:
        self._settings = settings
        self._fleet = fleet
        self._registry = registry
        self._gossip = gossip
        self._store_health = store_health
        self._event_log = event_log

    async def run(self) -> None:
        """Registers this entry in the store and adds the other entries' hosts.

        Repeats this when the store was restored, which may have lost the registration.
        """
        settings = self._settings
        written: interfaces.Written | None = None
        while True:
            if written is None:
                result = await self._registry.register_entry(
                    settings.name, settings.host
                )
                if isinstance(result, interfaces.Written):
                    written = result
                    self._store_health.observe_era(written.era)
                else:
                    self._event_log.record(
                        catalogue.STORE_UNREACHABLE,
                        detail=f"not registered yet: {result.detail}",
                    )
            hosts = await self._registry.list_entries()
            if not isinstance(hosts, interfaces.Unreachable):
                self._fleet.add_entry_hosts(hosts, are_all=True)
                self._gossip.announce(force=True)
                if written is not None:
                    await self._store_health.await_restore(written.era)
                    written = None
                    continue
            await asyncio.sleep(REGISTRATION_RETRY_S)

    async def deregister(
        self, registration: asyncio.Task[None]
    ) -> interfaces.Written | interfaces.Unreachable:
        """Deregisters this entry, which is not registered again afterwards.

        Args:
            registration: Task that registers this entry.
        """
        await eventloop.cancel_tasks([registration])
        return await self._registry.deregister_entry(self._settings.name)

    def log_deregistration(
        self, deregistration: asyncio.Task[interfaces.Written | interfaces.Unreachable]
    ) -> None:
        """Logs a deregistration that failed or didn't end in time."""
        if not deregistration.done() or deregistration.cancelled():
            detail = "no answer in time"
        elif (error := deregistration.exception()) is not None:
            detail = repr(error)
        elif isinstance(result := deregistration.result(), interfaces.Unreachable):
            detail = result.detail
        else:
            return
        self._event_log.record(
            catalogue.STORE_UNREACHABLE, detail=f"not deregistered: {detail}"
        )
