"""Reloads the settings of a running forwarding process."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses

from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_daemon.forwarder import process
from chicoryweir_daemon.lifecycle import eventloop
from chicoryweir_daemon.lifecycle import startup
from chicoryweir_policy import catalogue

# Interval at which the settings file is checked for changes without a signal.
SETTINGS_CHECK_S = 2.0


class SettingsWatch:
    """Watches the source of the settings, and holds those in force.

    Attributes:
        settings: Settings in force.
    """

    def __init__(
        self,
        settings: process.Settings,
        source: startup.SettingsSource[process.Settings],
        requests: eventloop.Requests,
        fleet: fleets.Fleet,
        event_log: eventlog.EventLog,
    ) -> None:
        self._source = source
        self._stop = requests.stop
        self._reload = requests.reload
        self._fleet = fleet
        self._event_log = event_log
        self.settings = settings

    async def run(self) -> None:
        """Reloads settings on SIGHUP or a file change, once they are valid."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SETTINGS_CHECK_S):
                    await self._reload.wait()
            signalled = self._reload.is_set()
            self._reload.clear()
            if not self._source.has_changed() and not signalled:
                continue
            settings = await startup.load_settings(
                self._source, self._stop, self._event_log
            )
            if settings is not None:
                self._apply(settings, signalled)

    def _apply(self, settings: process.Settings, signalled: bool) -> None:
        """Applies the settings that can change without a restart: bounds and seeds."""
        applied = dataclasses.replace(
            self.settings, bounds=settings.bounds, seeds=settings.seeds
        )
        self._event_log.record(
            catalogue.DAEMON_RELOADED,
            signalled=signalled,
            needs_restart=applied != settings,
        )
        self.settings = applied
        self._fleet.apply_settings(applied)
