"""Task that announces this entry to the others and hears of them."""

from __future__ import annotations

import asyncio
import collections.abc
import socket
import typing

from chicoryweir_daemon.forwarder import announcements
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_daemon.forwarder import journal as journals
from chicoryweir_policy import catalogue
from chicoryweir_policy.forwarding import loads
from chicoryweir_policy.forwarding import peers

# A timer that fires early by so little has not missed its period, in seconds.
IDLE_TOLERANCE_S = 0.02


class Gossip(asyncio.DatagramProtocol):
    """Sends and takes announcements over UDP."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        journal: journals.Journal,
        incarnation: int,
        learn_version: collections.abc.Callable[[str, int], None],
    ) -> None:
        self._fleet = fleet
        self._journal = journal
        self._incarnation = incarnation
        self._learn_version = learn_version
        self._sequence = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._told: tuple[typing.Any, ...] = ()
        self._told_at = 0.0
        self._alive: frozenset[str] = frozenset()

    async def open(self) -> None:
        """Binds the socket."""
        settings = self._fleet.settings
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(settings.host, settings.peer_port),
            family=socket.AF_INET,
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the socket."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Takes an announcement."""
        try:
            heard = announcements.decode(data)
        except ValueError as error:
            self._journal.record(
                catalogue.ANNOUNCEMENT_UNREADABLE, peer=addr[0], detail=str(error)
            )
            return
        now = self._fleet.clock.read()
        if not self._fleet.peers.record(heard, now):
            return
        self._fleet.loads.set_peer(heard.name, heard.endpoint_loads, now)
        self._fleet.note_peers(now)
        self._fleet.crashes.merge(heard.crash_update, now)
        if heard.version > self._fleet.version:
            self._learn_version(heard.host, heard.version)

    def error_received(self, exc: Exception) -> None:
        """Takes the failure of a datagram; a host without a listener isn't alive."""
        if not isinstance(exc, ConnectionRefusedError):
            self._journal.record(catalogue.ANNOUNCEMENT_NOT_SENT, detail=repr(exc))

    async def run(self) -> None:
        """Announces this entry until cancelled."""
        while True:
            self.announce()
            self._note_alive()
            await asyncio.sleep(self._fleet.peers.announce_period_s)

    def announce(self, force: bool = False) -> None:
        """Sends an announcement where there is something to tell."""
        now = self._fleet.clock.read()
        work = self._fleet.loads.copy_own()
        timely = self._fleet.count_timely()
        idle_s = peers.IDLE_PERIODS * self._fleet.peers.announce_period_s
        due = now - self._told_at >= idle_s - IDLE_TOLERANCE_S
        news = (work, timely, self._fleet.crashes.position, self._fleet.paces)
        if not (force or due or news != self._told):
            return
        self._told, self._told_at = news, now
        self._fleet.announced_at = self._fleet.clock.read_boot()
        for name in self._fleet.peers.expire(now):
            self._fleet.loads.forget_peer(name)
        data = announcements.encode(self._describe(work, timely, now))
        if self._transport is not None:
            port = self._fleet.settings.peer_port
            for host in self._fleet.peers.list_hosts():
                self._transport.sendto(data, (host, port))

    def _describe(
        self, work: dict[str, loads.Load], timely: dict[str, int], now: float
    ) -> peers.Announcement:
        settings = self._fleet.settings
        self._sequence += 1
        alive = self._fleet.peers.list_alive(now)
        listeners = [(peer.name, peer.incarnation) for peer in alive]
        return peers.Announcement(
            name=settings.name,
            incarnation=self._incarnation,
            sequence=self._sequence,
            host=settings.host,
            data_centre=settings.data_centre,
            address=str(settings.callers),
            ready=self._fleet.is_ready,
            version=self._fleet.version,
            endpoint_loads=work,
            peers=tuple(sorted(peer.host for peer in alive)),
            duties=self._fleet.duties,
            on_time=timely,
            released_fence=self._fleet.released,
            reaches_store=not self._fleet.endpoints.is_store_unreachable,
            crash_update=self._fleet.crashes.select_update(listeners, now),
            slowdowns=self._fleet.paces,
        )

    def _note_alive(self) -> None:
        now = self._fleet.clock.read()
        self._fleet.loads.expiry_s = max(
            loads.EXPIRY_S, self._fleet.peers.alive_timeout_s
        )
        alive = frozenset(peer.name for peer in self._fleet.peers.list_alive(now))
        for name in sorted(alive - self._alive):
            self._journal.record(catalogue.PEER_HEARD, peer=name, alive=len(alive))
        for name in sorted(self._alive - alive):
            self._journal.record(catalogue.PEER_SILENT, peer=name, alive=len(alive))
        self._alive = alive
