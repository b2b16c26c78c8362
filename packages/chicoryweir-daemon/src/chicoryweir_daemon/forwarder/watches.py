"""Tasks that follow the configuration and the endpoints in the platform's store."""

from __future__ import annotations

import asyncio
import random

from chicoryweir_daemon.forwarder import crashreports
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_daemon.forwarder import journal as journals
from chicoryweir_daemon.forwarder import seams
from chicoryweir_platform import backoff
from chicoryweir_policy import catalogue
from chicoryweir_policy.forwarding import endpoints

# Changes of the configuration arrive while a call waits for them, in seconds.
CONFIGURATION_WAIT_S = 10.0
# Endpoints register all the time, so that a call never waits long. This pause between
# calls leaves half of the 2 s in which a leaving endpoint must be left alone.
ENDPOINT_PAUSE_S = 0.8
ENDPOINT_WAIT_S = 0.5
# Share of a pause by which it varies, so that entries don't call together.
JITTER = 0.2
BACKOFF = backoff.BackoffPolicy(base_s=0.1, cap_s=1.0)


class StoreHealth:
    """Tells the log and the endpoint book when the store is lost and regained.

    All tasks that follow the store share one.
    """

    def __init__(self, fleet: fleets.Fleet, journal: journals.Journal) -> None:
        self._fleet = fleet
        self._journal = journal
        self._state = backoff.Backoff()
        self._seed = random.getrandbits(32)

    async def note(self, unreachable: seams.Unreachable | None) -> None:
        """Records the end of a call, and waits after one that failed."""
        now = self._fleet.clock.read()
        self._fleet.endpoints.record_store_call(unreachable is None, now)
        if unreachable is None:
            if self._state.failures:
                self._journal.record(
                    catalogue.STORE_BACK, failures=self._state.failures
                )
            self._state = backoff.Backoff()
            return
        if not self._state.failures:
            self._journal.record(catalogue.STORE_UNREACHABLE, detail=unreachable.detail)
        self._state = backoff.record_failure(self._state, BACKOFF, self._seed, now)
        await asyncio.sleep(self._state.retry_at - now)


class ConfigurationWatch:
    """Puts each newer configuration in force."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        registry: seams.Registry,
        decoder: seams.Decoder,
        journal: journals.Journal,
        health: StoreHealth,
    ) -> None:
        self._fleet = fleet
        self._registry = registry
        self._decoder = decoder
        self._journal = journal
        self._health = health
        self._position: int | None = None

    async def run(self) -> None:
        """Follows the configuration until cancelled."""
        while True:
            match await self._read():
                case seams.Document(data, position):
                    self.take(data, "store")
                    self._position = position
                    await self._health.note(None)
                case seams.NoDocument(position):
                    self._position = position
                    await self._health.note(None)
                case seams.HistoryLost():
                    self._position = None
                    await self._health.note(None)
                case seams.Unreachable() as unreachable:
                    await self._health.note(unreachable)

    def take(self, data: bytes, source: str) -> None:
        """Puts a configuration in force if it is newer and can be read."""
        try:
            config = self._decoder.decode(data)
        except ValueError as error:
            self._journal.record(
                catalogue.SETTINGS_REFUSED, source=source, detail=str(error)
            )
            return
        before = self._fleet.version
        if self._fleet.adopt(config, data):
            self._journal.record(
                catalogue.SETTINGS_ADOPTED,
                source=source,
                version=config.version,
                before=before,
                routes=len(config.routes),
            )

    async def _read(
        self,
    ) -> seams.Document | seams.NoDocument | seams.HistoryLost | seams.Unreachable:
        if self._position is None:
            return await self._registry.read_configuration()
        return await self._registry.await_configuration(
            self._position, CONFIGURATION_WAIT_S
        )


class EndpointWatch:
    """Keeps the endpoint book up to date."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        registry: seams.Registry,
        journal: journals.Journal,
        health: StoreHealth,
    ) -> None:
        self._fleet = fleet
        self._registry = registry
        self._journal = journal
        self._health = health
        self._position: int | None = None

    async def run(self) -> None:
        """Follows the endpoints until cancelled."""
        while True:
            match await self._read():
                case seams.Listing(listed, position, unusable):
                    now = self._fleet.clock.read()
                    await self._health.note(None)
                    self._take_listing(listed, now)
                    self._report_unusable(unusable)
                    self._position = position
                case seams.Changes(changes, position):
                    await self._health.note(None)
                    self._apply(changes)
                    self._position = position
                case seams.HistoryLost():
                    self._position = None
                    continue
                case seams.Unreachable() as unreachable:
                    await self._health.note(unreachable)
                    continue
            self._report(self._fleet.endpoints.expire(self._fleet.clock.read()))
            spread = 1.0 + JITTER * (2.0 * random.random() - 1.0)
            await asyncio.sleep(ENDPOINT_PAUSE_S * spread)

    def _take_listing(self, listed: tuple[endpoints.Endpoint, ...], now: float) -> None:
        """Takes a whole listing; the first is told in one line, however long it is."""
        transitions = self._fleet.endpoints.replace_all(listed, now)
        if self._fleet.listed:
            self._report(transitions)
            return
        self._fleet.listed = True
        self._journal.record(
            catalogue.ENDPOINTS_LISTED, source="store", count=len(listed)
        )

    async def _read(
        self,
    ) -> seams.Listing | seams.Changes | seams.HistoryLost | seams.Unreachable:
        if self._position is None:
            return await self._registry.list_endpoints()
        return await self._registry.list_changes(self._position, ENDPOINT_WAIT_S)

    def _apply(self, changes: tuple[endpoints.Change, ...]) -> None:
        self._report_unusable(changes)
        now = self._fleet.clock.read()
        applied = [self._fleet.endpoints.apply(change, now) for change in changes]
        self._report([transition for transition in applied if transition is not None])

    def _report_unusable(self, changes: tuple[endpoints.Change, ...]) -> None:
        for change in changes:
            if isinstance(change, endpoints.Removed) and change.reason:
                self._journal.record(
                    catalogue.ENDPOINT_UNREADABLE,
                    peer=change.instance,
                    position=self._position,
                    detail=change.reason,
                )

    def _report(self, transitions: list[endpoints.Transition]) -> None:
        for transition in transitions:
            if transition.meaning == "restarted":
                self._fleet.outliers.forget(transition.instance)
            crashreports.note_transition(
                self._fleet, self._journal, transition, position=self._position
            )
