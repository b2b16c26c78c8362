"""Exchanges announcements with the other entries over UDP."""

from __future__ import annotations

import asyncio
import collections.abc
import math
import socket
import typing

from chicoryweir_daemon.forwarder import announcements
from chicoryweir_daemon.forwarder import coldreports
from chicoryweir_daemon.forwarder import crashreports
from chicoryweir_daemon.forwarder import evacuationreports
from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_daemon.forwarder import statementreports
from chicoryweir_policy import catalogue
from chicoryweir_policy.forwarding import dissemination
from chicoryweir_policy.forwarding import evacuations
from chicoryweir_policy.forwarding import loads
from chicoryweir_policy.forwarding import peers

# Timers may fire early by this much. An announcement with unchanged content is sent now
# if it is due within this time.
TIMER_TOLERANCE_S = 0.02
# First byte of a datagram whose receiver relays the rest. An announcement is a CBOR
# array, which never begins with it.
RELAY_MARK = b"\x00"


class Gossip(asyncio.DatagramProtocol):
    """Sends and receives announcements over UDP."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        event_log: eventlog.EventLog,
        incarnation: int,
        fetch_newer_configuration: collections.abc.Callable[[str, int], None],
    ) -> None:
        self._fleet = fleet
        self._event_log = event_log
        self._incarnation = incarnation
        self._fetch_newer_configuration = fetch_newer_configuration
        self._sequence = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._last_content: tuple[typing.Any, ...] = ()
        self._last_sent_at = 0.0
        self._ran_at = -math.inf
        self._alive_names: frozenset[str] = frozenset()

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
        """Stores the transport of the bound socket."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decodes and applies an announcement, and relays it if it is marked so."""
        is_relayed = data.startswith(RELAY_MARK)
        data = data.removeprefix(RELAY_MARK)
        try:
            announcement = announcements.decode(data)
        except ValueError as error:
            self._event_log.record(
                catalogue.ANNOUNCEMENT_UNREADABLE, peer=addr[0], detail=str(error)
            )
            return
        try:
            is_new = self._apply(announcement)
        except Exception as error:
            # Another release of an entry may state what no bound here rules out.
            self._event_log.record(
                catalogue.ANNOUNCEMENT_UNREADABLE, peer=addr[0], detail=repr(error)
            )
            return
        if is_new and is_relayed:
            self._relay(announcement, data)

    def _relay(self, announcement: peers.Announcement, data: bytes) -> None:
        """Sends another entry's announcement to the entries of this data centre."""
        receivers = dissemination.select_relay_receivers(
            announcement,
            self._fleet.peers.list_alive(self._fleet.clock.read()),
            self._fleet.settings.data_centre,
            self._fleet.clock.read_boot() - self._ran_at,
        )
        self._send(data, receivers)

    def _send(self, data: bytes, hosts: collections.abc.Iterable[str]) -> None:
        if self._transport is not None:
            for host in hosts:
                self._transport.sendto(data, (host, self._fleet.settings.peer_port))

    def _apply(self, announcement: peers.Announcement) -> bool:
        """Applies an announcement; returns False if it is outdated."""
        now = self._fleet.clock.read()
        if not self._fleet.peers.record(announcement, now):
            return False
        for part, apply in self._list_steps(announcement, now):
            try:
                apply()
            except Exception as error:
                # The rest of the announcement must not be lost with this part.
                self._event_log.record(
                    catalogue.ANNOUNCEMENT_UNREADABLE,
                    peer=announcement.host,
                    detail=f"{part}: {error!r}",
                )
        if announcement.version > self._fleet.version:
            self._fetch_newer_configuration(announcement.host, announcement.version)
        return True

    def _list_steps(
        self, announcement: peers.Announcement, now: float
    ) -> list[tuple[str, collections.abc.Callable[[], object]]]:
        """Returns what applies each part of an announcement, by its name."""
        fleet, event_log = self._fleet, self._event_log
        return [
            # Before a newer configuration, so that the entry isn't ready without them.
            (
                "evacuations",
                lambda: evacuationreports.merge_announced(
                    fleet, event_log, announcement
                ),
            ),
            (
                "loads",
                lambda: fleet.loads.set_peer(
                    announcement.name, announcement.endpoint_loads, now
                ),
            ),
            ("entries", lambda: fleet.apply_peer_announcements(now)),
            (
                "participants",
                lambda: fleet.cold_endpoints.participants.record_heard(
                    announcement.host,
                    announcement.ready,
                    announcement.peers,
                    now,
                    announcement.sequence <= peers.STARTING_ANNOUNCEMENTS,
                ),
            ),
            ("crashes", lambda: fleet.crashes.merge(announcement.crash_update, now)),
            (
                "prompt parts",
                lambda: fleet.crashes.parts.merge(announcement.part_update, now),
            ),
            (
                "rates",
                lambda: fleet.rate_limits.merge(announcement.rates, now),
            ),
            (
                "rests",
                lambda: fleet.rests.merge(
                    announcement.rests, announcement.data_centre, now
                ),
            ),
            (
                "leaving",
                lambda: statementreports.record_leaving(fleet, event_log, announcement),
            ),
        ]

    def error_received(self, exc: Exception) -> None:
        """Logs a send error, unless the connection was refused by a stopped peer."""
        if not isinstance(exc, ConnectionRefusedError):
            self._event_log.record(catalogue.ANNOUNCEMENT_NOT_SENT, detail=repr(exc))

    async def run(self) -> None:
        """Announces this entry until cancelled."""
        while True:
            self.announce_periodically()
            await asyncio.sleep(self._fleet.peers.announce_period_s)

    def announce_periodically(self) -> None:
        """Announces this entry and logs what it has learned of others."""
        self._ran_at = self._fleet.clock.read_boot()
        self.announce()
        self._update_alive()
        crashreports.record_part_transitions(self._fleet, self._event_log)
        self._log_rate_limits()
        coldreports.record_transitions(self._fleet, self._event_log)

    def announce(self, force: bool = False) -> None:
        """Sends an announcement if its content changed, it is due or `force` is set.

        Args:
            force: Whether to send it now, and to every host directly.
        """
        now = self._fleet.clock.read()
        endpoint_loads = self._fleet.loads.copy_own()
        on_time = self._fleet.count_on_time()
        unchanged_interval_s = peers.IDLE_PERIODS * self._fleet.peers.announce_period_s
        is_due = now - self._last_sent_at >= unchanged_interval_s - TIMER_TOLERANCE_S
        content = (
            self._fleet.version,
            endpoint_loads,
            on_time,
            self._fleet.crashes.position,
            self._fleet.crashes.parts.revision,
            self._fleet.slowdowns,
            [
                (rate.process, rate.max_rate)
                for rate in self._fleet.rate_limits.list_own(now)
            ],
            self._fleet.endpoints.list_stated_leaving(now),
            [rest.process for rest in self._fleet.rests.list_own(now)],
            self._list_evacuations(),
        )
        has_updates = content != self._last_content
        if not (force or is_due or has_updates):
            return
        self._last_content, self._last_sent_at = content, now
        self._fleet.announced_at = self._fleet.clock.read_boot()
        for name in self._fleet.peers.expire(now):
            self._fleet.loads.forget_peer(name)
        data = announcements.encode(
            self._make_announcement(endpoint_loads, on_time, now)
        )
        receivers = dissemination.select_receivers(
            self._fleet.peers.list_hosts(),
            self._fleet.peers.list_alive(now),
            self._fleet.settings.data_centre,
            self._incarnation + self._sequence,
            force,
            not has_updates,
        )
        self._send(data, receivers.direct)
        self._send(RELAY_MARK + data, receivers.relays)

    def _make_announcement(
        self,
        endpoint_loads: dict[str, loads.Load],
        on_time: dict[str, int],
        now: float,
    ) -> peers.Announcement:
        settings = self._fleet.settings
        self._sequence += 1
        alive = self._fleet.peers.list_alive(now)
        receivers = [(peer.name, peer.incarnation) for peer in alive]
        return peers.Announcement(
            name=settings.name,
            incarnation=self._incarnation,
            sequence=self._sequence,
            host=settings.host,
            data_centre=settings.data_centre,
            address=str(settings.callers),
            ready=self._fleet.is_ready,
            version=self._fleet.version,
            endpoint_loads=endpoint_loads,
            peers=self._fleet.peers.select_announced_hosts(now),
            duties=self._fleet.duties,
            on_time=on_time,
            released_fence=self._fleet.released_fence,
            reaches_store=not self._fleet.endpoints.is_store_unreachable,
            crash_update=self._fleet.crashes.select_update(receivers, now),
            slowdowns=self._fleet.slowdowns,
            capacity=settings.capacity,
            part_update=self._fleet.crashes.parts.select_update(receivers, now),
            rates=self._fleet.rate_limits.list_own(now),
            leaving=self._fleet.endpoints.list_stated_leaving(now),
            rests=self._fleet.rests.list_own(now),
            evacuations=self._list_evacuations(),
        )

    def _list_evacuations(self) -> tuple[evacuations.Record, ...] | None:
        known = self._fleet.evacuations
        return known.list_records() if known.is_known else None

    def _log_rate_limits(self) -> None:
        """Logs the endpoints whose stated rate changed since the last call."""
        now = self._fleet.clock.read()
        for statement in self._fleet.rate_limits.take_transitions(now):
            self._event_log.record(
                catalogue.ENDPOINT_RATE_CHANGED,
                peer=statement.process.instance,
                incarnation=statement.process.incarnation,
                max_rate=statement.max_rate,
                own_rate=self._fleet.rate_limits.compute_own_rate(statement),
                age_s=round(statement.age_s, 3),
            )

    def _update_alive(self) -> None:
        now = self._fleet.clock.read()
        self._fleet.loads.expiry_s = max(
            loads.EXPIRY_S, self._fleet.peers.alive_timeout_s
        )
        alive_names = frozenset(peer.name for peer in self._fleet.peers.list_alive(now))
        for name in sorted(alive_names - self._alive_names):
            self._event_log.record(
                catalogue.PEER_HEARD, peer=name, alive=len(alive_names)
            )
        for name in sorted(self._alive_names - alive_names):
            self._event_log.record(
                catalogue.PEER_SILENT, peer=name, alive=len(alive_names)
            )
        self._alive_names = alive_names
