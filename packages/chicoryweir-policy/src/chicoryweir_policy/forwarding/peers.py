"""Table of other entries, built from their announcements."""

from __future__ import annotations

import collections.abc
import dataclasses

from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.forwarding import evacuations
from chicoryweir_policy.forwarding import loads
from chicoryweir_policy.forwarding import promptparts
from chicoryweir_policy.forwarding import ratelimits
from chicoryweir_policy.forwarding import rests
from chicoryweir_policy.quarantine import records

# Period of announcements while there are updates.
ANNOUNCE_PERIOD_S = 0.1
# Number of entries above which the period grows in proportion to the fleet, so that the
# datagrams per second that an entry sends and receives stay constant.
FULL_RATE_ENTRIES = 10
# Period of announcements without updates, in periods of those with updates.
IDLE_PERIODS = 4.0
# An entry counts as alive until its last announcement is older than both `ALIVE_S` and
# `ALIVE_IDLE_PERIODS` idle periods. The loss of two consecutive datagrams is less
# likely than the end of an entry.
ALIVE_S = 1.0
ALIVE_IDLE_PERIODS = 2.5
# Time without an announcement after which an entry or address is removed, unless the
# entry still counts as alive.
FORGET_S = 20.0
# Number of other entries' hosts in an announcement. It is sent to all entries, and each
# of them names others.
ANNOUNCED_HOSTS = 8
# Number of announcements during which a process counts as one that has just started:
# 1 s in small fleets, 4 s with 40 entries.
STARTING_ANNOUNCEMENTS = 10
# Number of ended processes remembered of each entry.
MAX_ENDED_PROCESSES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """State that an entry announces to the others.

    Attributes:
        name: Instance name of the entry.
        incarnation: Identifier of the process. It doesn't tell which of two processes
            started later.
        sequence: Sequence number of the announcement in its process.
        host: IP address of the entry.
        data_centre: Data centre of the entry.
        address: Host and port for callers.
        ready: Whether it accepts callers.
        version: Version of its configuration; 0 if it has none.
        endpoint_loads: Load that it put on the endpoints, by instance.
        peers: Hosts of some of the entries that it considers alive.
        duties: Fleet-wide duties that it performs.
        on_time: Number of queued requests that can still be on time, by service.
        released_fence: Highest fencing token under which it will never act again.
        reaches_store: Whether its last call to the store succeeded.
        crash_update: Recent records of crashed endpoints.
        slowdowns: Slowdowns of the slow instances in the groups that it manages.
        capacity: Size of its machine, relative to those of other entries.
        part_update: Recent records of prompt parts that crash endpoints.
        rates: What endpoints stated to this entry that they accept.
        leaving: Processes that told this entry lately that they are leaving.
        rests: Rests that endpoints asked this entry for.
        evacuations: All that it knows of evacuated data centres; None if it doesn't
            know any state.
    """

    name: str
    incarnation: int
    sequence: int
    host: str
    data_centre: str
    address: str
    ready: bool
    version: int
    endpoint_loads: collections.abc.Mapping[str, loads.Load]
    peers: tuple[str, ...]
    duties: frozenset[str] = frozenset()
    on_time: collections.abc.Mapping[str, int] = dataclasses.field(default_factory=dict)
    reaches_store: bool = True
    released_fence: int = 0
    crash_update: records.News = records.News(0)
    slowdowns: collections.abc.Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )
    capacity: float = 0.0
    part_update: promptparts.Update = promptparts.Update()
    rates: tuple[ratelimits.Statement, ...] = ()
    leaving: tuple[endpoints.Leaving, ...] = ()
    rests: tuple[rests.Announced, ...] = ()
    evacuations: tuple[evacuations.Record, ...] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """The latest announcement of an entry.

    Attributes:
        announcement: The announcement.
        received_at: When it was received, monotonic seconds.
        ended: Incarnations of the entry's ended processes, the latest at the end.
    """

    announcement: Announcement
    received_at: float
    ended: tuple[int, ...] = ()


class PeerTable:
    """Other entries and the hosts to send announcements to."""

    def __init__(self, name: str, host: str) -> None:
        self._name = name
        self._host = host
        self._peers: dict[str, Peer] = {}
        self._hosts: dict[str, float] = {}
        self._next_announced = 0

    def add_hosts(self, hosts: collections.abc.Iterable[str], now: float) -> None:
        """Adds hosts on which an entry may run."""
        for host in hosts:
            if host != self._host:
                self._hosts.setdefault(host, now)

    def record(self, announcement: Announcement, now: float) -> bool:
        """Records an announcement; returns False if it is outdated or this entry's.

        Of two processes of an entry, the one whose first announcement was received
        later is taken for the one that runs.
        """
        if announcement.name == self._name:
            return False
        known = self._peers.get(announcement.name)
        if known is not None and self._is_outdated(announcement, known, now):
            return False
        ended = () if known is None else _list_ended(known, announcement.incarnation)
        self._peers[announcement.name] = Peer(announcement, now, ended)
        self._hosts[announcement.host] = now
        self.add_hosts(announcement.peers, now)
        return True

    def _is_outdated(self, announcement: Announcement, known: Peer, now: float) -> bool:
        if announcement.incarnation == known.announcement.incarnation:
            return announcement.sequence <= known.announcement.sequence
        # A process that is heard while its supposed successor is silent is the one that
        # runs: an announcement of the other was late.
        is_silent = now - known.received_at > self.alive_timeout_s
        return announcement.incarnation in known.ended and not is_silent

    def list_ended(self, name: str) -> tuple[int, ...]:
        """Returns the incarnations of an entry's ended processes."""
        known = self._peers.get(name)
        return () if known is None else known.ended

    def expire(self, now: float) -> list[str]:
        """Removes silent hosts and entries; returns the names of removed entries."""
        forget_s = max(FORGET_S, self.alive_timeout_s)
        self._hosts = {
            host: at for host, at in self._hosts.items() if now - at <= forget_s
        }
        removed = [
            name
            for name, peer in self._peers.items()
            if now - peer.received_at > forget_s
        ]
        for name in removed:
            del self._peers[name]
        return removed

    def list_hosts(self) -> list[str]:
        """Returns the hosts to send announcements to."""
        return sorted(self._hosts)

    def select_announced_hosts(self, now: float) -> tuple[str, ...]:
        """Returns the hosts of some entries that are alive, others in each call."""
        hosts = sorted(peer.host for peer in self.list_alive(now))
        count = min(len(hosts), ANNOUNCED_HOSTS)
        first = self._next_announced
        self._next_announced = first + count
        return tuple(sorted(hosts[(first + n) % len(hosts)] for n in range(count)))

    @property
    def announce_period_s(self) -> float:
        """Period of announcements while there are updates, in seconds."""
        return ANNOUNCE_PERIOD_S * max(1.0, len(self._peers) / FULL_RATE_ENTRIES)

    @property
    def alive_timeout_s(self) -> float:
        """Time without an announcement after which an entry counts as ended."""
        return max(ALIVE_S, ALIVE_IDLE_PERIODS * IDLE_PERIODS * self.announce_period_s)

    def list_alive(self, now: float) -> list[Announcement]:
        """Returns the latest announcements of the entries that are alive."""
        alive_timeout_s = self.alive_timeout_s
        return [
            peer.announcement
            for peer in self._peers.values()
            if now - peer.received_at <= alive_timeout_s
        ]

    def list_known(self) -> frozenset[str]:
        """Returns the names of the entries in the table, alive or not."""
        return frozenset(self._peers)

    def list_heard_since(self, at: float) -> frozenset[str]:
        """Returns the names of the entries whose last announcement came after `at`."""
        return frozenset(
            name for name, peer in self._peers.items() if peer.received_at > at
        )

    def count_entries(self, now: float) -> int:
        """Returns the number of entries that accept callers, plus this one."""
        return 1 + sum(peer.ready for peer in self.list_alive(now))


def _list_ended(known: Peer, incarnation: int) -> tuple[int, ...]:
    """Returns the ended processes of an entry whose process is now `incarnation`."""
    before = known.announcement.incarnation
    if before == incarnation:
        return known.ended
    others = [ended for ended in known.ended if ended != incarnation]
    return (*others, before)[-MAX_ENDED_PROCESSES:]
