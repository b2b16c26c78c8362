"""Tasks that watch the configuration and the endpoints in the platform's store."""

from __future__ import annotations

import asyncio
import collections.abc
import random
import typing

from chicoryweir_daemon.forwarder import coldreports
from chicoryweir_daemon.forwarder import configurationchecks
from chicoryweir_daemon.forwarder import crashreports
from chicoryweir_daemon.forwarder import evacuationreports
from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_daemon.forwarder import interfaces
from chicoryweir_daemon.forwarder import storehealth
from chicoryweir_daemon.forwarder import supervision
from chicoryweir_policy import catalogue
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.forwarding import evacuations

# Time for which the store may wait for a newer configuration before it answers.
CONFIGURATION_WAIT_S = 10.0
# The same for a call that replaces one that may never be answered.
RENEWED_WAIT_S = 0.01
# Rate at which configurations are read in a quick succession, in bytes per second, and
# the longest pause that follows from it. Reads of 400 KB every 0.2 s took half of the
# bandwidth of a machine's link, and events of streams were late.
CONFIGURATION_BYTES_PER_S = 1_000_000
MAX_CONFIGURATION_PAUSE_S = 0.6
# Pause between two calls for changes of endpoints, in an entry that controls expert
# maps and where a leaving endpoint may get no requests after `SHORT_DRAIN_S`. Endpoints
# register continually, so without it, calls would follow each other closely.
ENDPOINT_PAUSE_S = 0.8
SHORT_DRAIN_S = 2.0
# Elsewhere the pause is this share of that time, less the time that a call takes.
DRAIN_PAUSE_SHARE = 0.5
ENDPOINT_CALL_S = 0.2
# Time before the removal of a missing endpoint at which the endpoints are read once
# more, and the shortest pause before that.
LAPSE_LEAD_S = 0.15
MIN_ENDPOINT_PAUSE_S = 0.05
# Time for which the store may wait for changes of endpoints before it answers.
ENDPOINT_WAIT_S = 0.5
# Random variation of the pause, as a share of it, so that entries don't call the store
# at the same time.
JITTER_SHARE = 0.2


class ConfigurationWatch:
    """Applies each newer configuration in the store, and the evacuations.

    It waits for changes by a long call, which the store may leave unanswered. Checks by
    short calls find what such a call misses.
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        registry: interfaces.Registry,
        decoder: interfaces.ConfigurationDecoder,
        event_log: eventlog.EventLog,
        store_health: storehealth.StoreHealth,
        announce: collections.abc.Callable[[], None] = lambda: None,
    ) -> None:
        """Initializes the watch.

        Args:
            fleet: State of the entry.
            registry: Client of the store.
            decoder: Decoder of configurations.
            event_log: Event log.
            store_health: State of the store.
            announce: Announces this entry to the others at once.
        """
        self._fleet = fleet
        self._registry = registry
        self._decoder = decoder
        self._event_log = event_log
        self._store_health = store_health
        self._announce = announce
        self._position: interfaces.Position | None = None
        # When the call was made that gave the latest answer, by both clocks.
        self._made_at = self._asked_at = 0.0
        self._checks = configurationchecks.ConfigurationChecks(
            fleet, registry, store_health
        )
        self._is_missed = False
        self._renewal = asyncio.Event()

    async def run(self) -> None:
        """Watches the configuration until cancelled."""
        while True:
            match await self._read():
                case interfaces.StoredConfiguration(data, position, rows):
                    next_position = self._apply_evacuations(rows, position)
                    self.apply(data, "store", position)
                    self._position = next_position
                    self._announce_missed()
                    await self._store_health.record_call(None, self._made_at)
                    await asyncio.sleep(
                        min(
                            MAX_CONFIGURATION_PAUSE_S,
                            len(data) / CONFIGURATION_BYTES_PER_S,
                        )
                    )
                case interfaces.NoNewerConfiguration(position, rows):
                    self._position = self._apply_evacuations(rows, position)
                    self._announce_missed()
                    await self._store_health.record_call(None, self._made_at)
                case interfaces.HistoryLost():
                    self._position = None
                    await self._store_health.record_call(None, self._made_at)
                case interfaces.Unreachable() as unreachable:
                    await self._store_health.record_call(unreachable, self._made_at)

    def apply(
        self, data: bytes, source: str, position: interfaces.Position | None = None
    ) -> None:
        """Applies a configuration if it is valid and newer than the current one.

        Args:
            data: Encoded configuration.
            source: Where it was read, for the log.
            position: Position of the read in the store's history, if it was read there.
        """
        try:
            config = self._decoder.decode(data)
        except ValueError as error:
            self._event_log.record(
                catalogue.SETTINGS_REFUSED, source=source, detail=str(error)
            )
            return
        previous_version = self._fleet.version
        if self._fleet.adopt(config, data):
            self._event_log.record(
                catalogue.SETTINGS_ADOPTED,
                source=source,
                version=config.version,
                before=previous_version,
                routes=len(config.routes),
                **_describe(position),
            )
        elif config.version < previous_version:
            self._event_log.record(
                catalogue.SETTINGS_KEPT,
                source=source,
                version=config.version,
                in_force=previous_version,
                **_describe(position),
            )

    def _apply_evacuations(
        self, rows: tuple[evacuations.Record, ...], position: interfaces.Position
    ) -> interfaces.Position:
        """Applies evacuations; returns the position from which to go on reading."""
        if self._position is None:
            position = evacuationreports.apply_listing(
                self._fleet, self._event_log, rows, position
            )
        else:
            evacuationreports.apply_changes(self._fleet, self._event_log, rows)
        self._fleet.freezes.confirm(self._asked_at)
        return position

    def renew(self) -> None:
        """Replaces the wait for a change, as it missed one."""
        self._renewal.set()

    def _announce_missed(self) -> None:
        """Announces a change that a wait missed; those of other entries may, too."""
        if self._is_missed:
            self._is_missed = False
            self._announce()

    def _record_start(self) -> None:
        """Records that a call is made."""
        self._made_at = self._fleet.clock.read()
        self._asked_at = self._fleet.clock.read_boot()

    async def _read(self) -> configurationchecks.Answer:
        answer: configurationchecks.Answer
        self._record_start()
        if self._position is None:
            answer = await self._registry.read_configuration()
        else:
            answer = await self._await_change(self._position)
        return self._store_health.check(answer, self._position)

    async def _await_change(
        self, position: interfaces.Position
    ) -> configurationchecks.Answer:
        """Waits for a change after a position; ends early if the store is restored.

        After a freeze, when the store has left other calls unanswered and is back, or
        when the wait missed a change, the call that was made before may never be
        answered. It is replaced by one that is answered at once.
        """
        began_at = self._fleet.clock.read()
        self._renewal.clear()
        change = asyncio.ensure_future(
            self._registry.await_configuration(position, CONFIGURATION_WAIT_S)
        )
        found = asyncio.ensure_future(self._checks.find_change(position))
        restore = asyncio.ensure_future(self._store_health.await_restore(position.era))
        renewals = {
            "freeze": asyncio.ensure_future(self._fleet.freezes.await_wake()),
            "store back": asyncio.ensure_future(self._store_health.await_back()),
            "fetched from another entry": asyncio.ensure_future(self._renewal.wait()),
        }
        waits = {change, found, restore, *renewals.values()}
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            if change.done():
                return change.result()
            if restore.done():
                return interfaces.HistoryLost(self._store_health.era)
            reasons = [reason for reason, wait in renewals.items() if wait.done()]
        finally:
            for wait in waits:
                wait.cancel()
        if found.done():
            reasons.append("check")
        self._event_log.record(
            catalogue.CONFIGURATION_WAIT_RENEWED,
            detail=", ".join(reasons),
            waited_s=round(self._fleet.clock.read() - began_at, 3),
            **_describe(position),
        )
        if found.done():
            self._is_missed = True
            self._made_at, self._asked_at, answer = found.result()
            return answer
        self._record_start()
        return await self._registry.await_configuration(position, RENEWED_WAIT_S)


class EndpointWatch:
    """Updates the endpoint table from the store."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        registry: interfaces.Registry,
        event_log: eventlog.EventLog,
        store_health: storehealth.StoreHealth,
    ) -> None:
        self._fleet = fleet
        self._registry = registry
        self._event_log = event_log
        self._store_health = store_health
        self._position: interfaces.Position | None = None
        # When the latest call was made.
        self._made_at = 0.0

    async def run(self) -> None:
        """Watches the endpoints until cancelled."""
        while True:
            match await self._read():
                case interfaces.Listing(listed, position, unusable):
                    now = self._fleet.clock.read()
                    await self._store_health.record_call(
                        None, self._made_at, reads_endpoints=True
                    )
                    self._apply_listing(listed, now)
                    self._log_unusable(unusable)
                    self._position = position
                case interfaces.Changes(changes, position):
                    await self._store_health.record_call(
                        None, self._made_at, reads_endpoints=True
                    )
                    self._apply_changes(changes)
                    self._position = position
                case interfaces.HistoryLost():
                    self._position = None
                    continue
                case interfaces.Unreachable() as unreachable:
                    await self._store_health.record_call(
                        unreachable, self._made_at, reads_endpoints=True
                    )
                    continue
            self._log_transitions(
                self._fleet.endpoints.expire(self._fleet.clock.read())
            )
            await asyncio.sleep(self._compute_pause_s())

    def _compute_pause_s(self) -> float:
        """Returns the pause until the next call, in seconds.

        The endpoints are read once more just before one that is missing is removed.
        """
        drain_s = self._fleet.settings.bounds.drain_s
        pause_s = DRAIN_PAUSE_SHARE * drain_s - ENDPOINT_CALL_S
        if self._fleet.duties or drain_s <= SHORT_DRAIN_S:
            pause_s = ENDPOINT_PAUSE_S
        pause_s *= 1.0 + JITTER_SHARE * (2.0 * random.random() - 1.0)
        now = self._fleet.clock.read()
        lapse_at = self._fleet.endpoints.find_next_lapse(now)
        if lapse_at is None:
            return pause_s
        return min(pause_s, max(MIN_ENDPOINT_PAUSE_S, lapse_at - LAPSE_LEAD_S - now))

    def _apply_listing(
        self, listed: tuple[endpoints.Endpoint, ...], now: float
    ) -> None:
        """Applies a complete list of endpoints; logs the first as a single event."""
        coldreports.record_registrations(self._fleet, listed)
        transitions = self._fleet.endpoints.replace_all(listed, now)
        if self._fleet.endpoints_listed:
            self._log_transitions(transitions)
            return
        self._fleet.endpoints_listed = True
        self._event_log.record(
            catalogue.ENDPOINTS_LISTED, source="store", count=len(listed)
        )

    async def _read(
        self,
    ) -> (
        interfaces.Listing
        | interfaces.Changes
        | interfaces.HistoryLost
        | interfaces.Unreachable
    ):
        answer: (
            interfaces.Listing
            | interfaces.Changes
            | interfaces.HistoryLost
            | interfaces.Unreachable
        )
        self._made_at = self._fleet.clock.read()
        if self._position is None:
            answer = await self._registry.list_endpoints()
        else:
            answer = await self._registry.list_changes(self._position, ENDPOINT_WAIT_S)
        return self._store_health.check(answer, self._position)

    def _apply_changes(self, changes: tuple[endpoints.Change, ...]) -> None:
        self._log_unusable(changes)
        now = self._fleet.clock.read()
        coldreports.record_registrations(
            self._fleet,
            [c.endpoint for c in changes if isinstance(c, endpoints.Registered)],
        )
        for change in changes:
            try:
                transition = self._fleet.endpoints.apply(change, now)
            except Exception as error:
                # The other changes must not be lost with this one.
                supervision.record_error(self._event_log, f"apply {change!r}", error)
                continue
            if transition is not None:
                self._log_transitions([transition])

    def _log_unusable(self, changes: tuple[endpoints.Change, ...]) -> None:
        for change in changes:
            if isinstance(change, endpoints.Removed) and change.reason:
                self._event_log.record(
                    catalogue.ENDPOINT_UNREADABLE,
                    peer=change.instance,
                    detail=change.reason,
                    **_describe(self._position),
                )

    def _log_transitions(self, transitions: list[endpoints.Transition]) -> None:
        now = self._fleet.clock.read()
        for transition in transitions:
            coldreports.record_start(self._fleet, transition)
            if transition.meaning == "leaving":
                # Entries read at different times; the first one tells the others.
                self._fleet.endpoints.announce_leaving(transition.instance, now)
            crashreports.record_transition(
                self._fleet, self._event_log, transition, **_describe(self._position)
            )


def _describe(position: interfaces.Position | None) -> dict[str, typing.Any]:
    """Returns the log fields of a position."""
    if position is None:
        return {}
    return {"position": position.version, "era": position.era}
