"""Fetches the configuration and the endpoints from other entries.

The endpoints are fetched while the store is unreachable, the configuration when another
entry announces a newer one that the store doesn't deliver at the same time.
"""

from __future__ import annotations

import asyncio

from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import fetching
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_daemon.forwarder import jsonformat
from chicoryweir_daemon.forwarder import operations
from chicoryweir_daemon.forwarder import watches
from chicoryweir_daemon.http1 import connections
from chicoryweir_policy import catalogue
from chicoryweir_policy.forwarding import dissemination
from chicoryweir_policy.forwarding import endpoints

# Interval at which the endpoints are fetched from the other entries.
ENDPOINT_FETCH_PERIOD_S = 0.3
PEER_FETCH_TIMEOUT_S = 1.5
# Time that the store has to deliver a configuration that another entry announces. It
# includes the pause after the one before and the transfer of a large configuration,
# which both would send otherwise.
STORE_LEAD_S = 0.8
# Time that the other entry has to answer until the store is asked, too.
FETCH_LEAD_S = 0.3


class PeerFetcher:
    """Fetches the configuration and the endpoints from other entries."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        pool: connections.Pool,
        configuration_watch: watches.ConfigurationWatch,
        event_log: eventlog.EventLog,
    ) -> None:
        self._fleet = fleet
        self._pool = pool
        self._configuration_watch = configuration_watch
        self._event_log = event_log
        self._fetch_task: asyncio.Task[None] | None = None

    def fetch_newer_configuration(self, host: str, version: int) -> None:
        """Starts to fetch a configuration that another entry announced.

        Does nothing while an earlier fetch is running.

        Args:
            host: Host of that entry.
            version: Version of the configuration.
        """
        if self._fetch_task is None or self._fetch_task.done():
            self._fetch_task = asyncio.create_task(
                self._fetch_configuration(host, version)
            )

    async def _fetch_configuration(self, host: str, version: int) -> None:
        if not self._fleet.endpoints.is_store_unreachable and self._fleet.version:
            await asyncio.sleep(STORE_LEAD_S)
        if self._fleet.version >= version:
            return
        alive = self._fleet.peers.list_alive(self._fleet.clock.read())
        host = (
            dissemination.select_source(
                alive,
                version,
                self._fleet.settings.data_centre,
                self._fleet.settings.name,
            )
            or host
        )
        path = operations.CONFIGURATION_PATH
        fetch = asyncio.ensure_future(self._fetch_from_peer(host, path, version))
        try:
            await asyncio.wait((fetch,), timeout=FETCH_LEAD_S)
            if not self._fleet.endpoints.is_store_unreachable:
                # The store would have delivered it if the wait weren't lost.
                self._configuration_watch.renew()
            data = await fetch
        finally:
            fetch.cancel()
        if data is not None:
            self._configuration_watch.apply(data, host)

    async def run(self) -> None:
        """Fetches the endpoints from other entries while the store is unreachable.

        Once the endpoints are listed, it only waits to be cancelled.
        """
        while not self._fleet.endpoints_listed:
            await asyncio.sleep(ENDPOINT_FETCH_PERIOD_S)
            if not self._fleet.endpoints.is_store_unreachable:
                continue
            for peer in self._fleet.peers.list_alive(self._fleet.clock.read()):
                await self._fetch_endpoints(peer.host)
        await asyncio.Event().wait()

    async def _fetch_endpoints(self, host: str) -> None:
        data = await self._fetch_from_peer(host, operations.ENDPOINTS_PATH)
        if data is None or self._fleet.endpoints_listed:
            return
        try:
            fetched = _decode_endpoints(data)
        except ValueError as error:
            self._event_log.record(
                catalogue.SETTINGS_NOT_FETCHED, peer=host, detail=str(error)
            )
            return
        self._fleet.endpoints.replace_all(fetched, self._fleet.clock.read())
        self._fleet.endpoints_listed = True
        self._event_log.record(
            catalogue.ENDPOINTS_LISTED, peer=host, source="peer", count=len(fetched)
        )

    async def _fetch_from_peer(
        self, host: str, path: bytes, version: int = 0
    ) -> bytes | None:
        """Fetches a path from another entry; on a failure, logs it and returns None."""
        address = connections.Address(host, self._fleet.settings.peer_port)
        try:
            reply = await fetching.fetch(
                self._pool, address, b"GET", path, b"", PEER_FETCH_TIMEOUT_S
            )
        except fetching.FetchError as error:
            self._event_log.record(
                catalogue.SETTINGS_NOT_FETCHED,
                peer=host,
                detail=str(error),
                version=version,
            )
            return None
        if reply.status == 200:
            return reply.body
        self._event_log.record(
            catalogue.SETTINGS_NOT_FETCHED,
            peer=host,
            detail=f"status {reply.status}",
            version=version,
        )
        return None


def _decode_endpoints(data: bytes) -> list[endpoints.Endpoint]:
    """Decodes another entry's endpoints.

    Raises:
        ValueError: The data is not valid, or an endpoint is out of bounds.
    """
    fetched = jsonformat.decode(data, list[endpoints.Endpoint])
    for endpoint in fetched:
        fault = endpoints.find_fault(endpoint)
        if fault:
            raise ValueError(f"endpoint {endpoint.instance!r}: {fault}")
    return fetched
