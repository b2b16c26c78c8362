"""Takes from other entries what the store can't give at present."""

from __future__ import annotations

import asyncio

import msgspec

from chicoryweir_daemon.forwarder import fetching
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_daemon.forwarder import journal as journals
from chicoryweir_daemon.forwarder import operations
from chicoryweir_daemon.forwarder import watches
from chicoryweir_daemon.http1 import connections
from chicoryweir_policy import catalogue
from chicoryweir_policy.forwarding import endpoints

# Other entries are asked for the endpoints this often, in seconds.
BORROW_PERIOD_S = 0.3
# A configuration from another entry arrives within this time or not at all.
PEER_FETCH_TIMEOUT_S = 1.5


class Handover:
    """Asks other entries for the configuration and the endpoints."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        pool: connections.Pool,
        configurations: watches.ConfigurationWatch,
        journal: journals.Journal,
    ) -> None:
        self._fleet = fleet
        self._pool = pool
        self._configurations = configurations
        self._journal = journal
        self._learning: asyncio.Task[None] | None = None

    def learn_version(self, host: str, version: int) -> None:
        """Fetches a configuration that another entry has and this one lacks."""
        if self._learning is None or self._learning.done():
            self._learning = asyncio.create_task(self._fetch_version(host, version))

    async def _fetch_version(self, host: str, version: int) -> None:
        path = operations.CONFIGURATION_PATH
        data = await self._fetch_from_peer(host, path, version)
        if data is not None:
            self._configurations.take(data, host)

    async def run(self) -> None:
        """Takes the endpoints from another entry while the store can't be asked."""
        while not self._fleet.listed:
            await asyncio.sleep(BORROW_PERIOD_S)
            if not self._fleet.endpoints.is_store_unreachable:
                continue
            for peer in self._fleet.peers.list_alive(self._fleet.clock.read()):
                await self._borrow_from(peer.host)
        await asyncio.Event().wait()

    async def _borrow_from(self, host: str) -> None:
        data = await self._fetch_from_peer(host, operations.ENDPOINTS_PATH)
        if data is None or self._fleet.listed:
            return
        try:
            listed = msgspec.json.decode(data, type=list[endpoints.Endpoint])
        except msgspec.DecodeError as error:
            self._journal.record(
                catalogue.SETTINGS_NOT_FETCHED, peer=host, detail=str(error)
            )
            return
        self._fleet.endpoints.replace_all(listed, self._fleet.clock.read())
        self._fleet.listed = True
        self._journal.record(
            catalogue.ENDPOINTS_LISTED, peer=host, source="peer", count=len(listed)
        )

    async def _fetch_from_peer(
        self, host: str, path: bytes, version: int = 0
    ) -> bytes | None:
        """Returns what another entry has at a path; None when it gave nothing."""
        address = connections.Address(host, self._fleet.settings.peer_port)
        try:
            reply = await fetching.fetch(
                self._pool, address, b"GET", path, b"", PEER_FETCH_TIMEOUT_S
            )
        except fetching.FetchError as error:
            self._journal.record(
                catalogue.SETTINGS_NOT_FETCHED,
                peer=host,
                detail=str(error),
                version=version,
            )
            return None
        if reply.status == 200:
            return reply.body
        self._journal.record(
            catalogue.SETTINGS_NOT_FETCHED,
            peer=host,
            detail=f"status {reply.status}",
            version=version,
        )
        return None
