"""Other entries, as one entry knows them from their announcements."""

from __future__ import annotations

import collections.abc
import dataclasses

from chicoryweir_policy.forwarding import loads
from chicoryweir_policy.quarantine import records

# Announcements are sent this often while there is something to tell, in seconds.
ANNOUNCE_PERIOD_S = 0.1
# In a fleet of more entries than this, each announces less often, so that what one
# sends and takes a second grows no further.
FULL_RATE_ENTRIES = 10
# Announcements without news are this many periods apart.
IDLE_PERIODS = 4.0
# An entry is alive for this time after its announcement, in seconds, and for as many
# idle periods: two in a row are lost by chance less often than entries end.
ALIVE_S = 1.0
ALIVE_IDLE_PERIODS = 2.5
# An address that never answered is given up after this time, in seconds.
FORGET_S = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """What an entry tells the others.

    Attributes:
        name: Name of its instance.
        incarnation: Start of its process; a later one is larger.
        sequence: Count of its announcements.
        host: IP address of the entry.
        data_centre: Its data centre.
        address: Host and port for callers.
        ready: Whether it takes callers.
        version: Version of its configuration; 0 for none.
        endpoint_loads: Its endpoint_loads at the endpoints, by instance.
        peers: Hosts of entries that it knows to live.
        duties: Duties that it has for the whole fleet.
        on_time: Waiting requests that can still meet their objectives, by service.
        released_fence: Highest fencing number under which it will never act again.
        reaches_store: Whether its last calls to the store succeeded.
        crash_update: What it learned lately of endpoints that crashed.
        slowdowns: Paces of the slow instances in groups that it looks after.
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


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """The latest announcement of an entry and when it came, monotonic seconds."""

    announcement: Announcement
    heard_at: float


class PeerTable:
    """Entries that one entry has heard of."""

    def __init__(self, name: str, host: str) -> None:
        self._name = name
        self._host = host
        self._peers: dict[str, Peer] = {}
        self._hosts: dict[str, float] = {}

    def add_hosts(self, hosts: collections.abc.Iterable[str], now: float) -> None:
        """Adds addresses at which an entry may live."""
        for host in hosts:
            if host != self._host:
                self._hosts.setdefault(host, now)

    def record(self, announcement: Announcement, now: float) -> bool:
        """Takes an announcement; False when it is older than what is known."""
        if announcement.name == self._name:
            return False
        known = self._peers.get(announcement.name)
        if known is not None and _order(announcement) <= _order(known.announcement):
            return False
        self._peers[announcement.name] = Peer(announcement, now)
        self._hosts[announcement.host] = now
        self.add_hosts(announcement.peers, now)
        return True

    def expire(self, now: float) -> list[str]:
        """Forgets entries that are silent; returns the names of those that ended."""
        self._hosts = {
            host: at for host, at in self._hosts.items() if now - at <= FORGET_S
        }
        gone = [
            name for name, peer in self._peers.items() if now - peer.heard_at > FORGET_S
        ]
        for name in gone:
            del self._peers[name]
        return gone

    def list_hosts(self) -> list[str]:
        """Returns the addresses to announce to."""
        return sorted(self._hosts)

    @property
    def announce_period_s(self) -> float:
        """Time between announcements with news, in seconds."""
        return ANNOUNCE_PERIOD_S * max(1.0, len(self._peers) / FULL_RATE_ENTRIES)

    @property
    def alive_timeout_s(self) -> float:
        """Time after which an entry that says nothing counts as ended, in seconds."""
        return max(ALIVE_S, ALIVE_IDLE_PERIODS * IDLE_PERIODS * self.announce_period_s)

    def list_alive(self, now: float) -> list[Announcement]:
        """Returns the entries that were heard of lately."""
        alive_timeout_s = self.alive_timeout_s
        return [
            peer.announcement
            for peer in self._peers.values()
            if now - peer.heard_at <= alive_timeout_s
        ]

    def count_known(self) -> int:
        """Returns the entries that were heard of and not forgotten yet."""
        return len(self._peers)

    def count_entries(self, now: float) -> int:
        """Returns the entries that serve, this one included."""
        return 1 + sum(peer.ready for peer in self.list_alive(now))


def _order(announcement: Announcement) -> tuple[int, int]:
    return announcement.incarnation, announcement.sequence
