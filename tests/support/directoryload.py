"""Simulates the announcements of 48 entries in three data centres, some of which end.

A datagram is lost or takes up to 0.3 s. Announcements between data centres are relayed,
as `dissemination` decides.
"""

import dataclasses
import heapq
import itertools
import random

from chicoryweir_policy.forwarding import dissemination
from chicoryweir_policy.forwarding import peers
from chicoryweir_policy.forwarding import resolving

ENTRIES, DATA_CENTRES = 48, ("a", "b", "c")
LOST_SHARE, MAX_DELAY_S = 0.05, 0.3
SAMPLE_S, END_AT = 0.2, 40.0
# Time after the start of an entry in which it and the others learn of each other.
LEARNING_S = 8.0


@dataclasses.dataclass
class Entry:
    """An entry, its process and what its process knows.

    Attributes:
        name: Its name.
        data_centre: Its data centre.
        incarnation: Number of its process.
        sequence: Number of its latest announcement.
        ready: Whether it accepts callers.
        started_at: Start of its process.
        ended_at: End of its process; None while it runs.
    """

    name: str
    data_centre: str
    incarnation: int = 0
    sequence: int = 0
    ready: bool = True
    started_at: float = 0.0
    ended_at: float | None = None

    def __post_init__(self):
        self.host = f"host-{self.name}"
        self.table = peers.PeerTable(self.name, self.host)

    def make_announcement(self, now):
        self.sequence += 1
        return peers.Announcement(
            self.name,
            self.incarnation,
            self.sequence,
            self.host,
            self.data_centre,
            f"{self.host}:80",
            self.ready,
            1,
            {},
            self.table.select_announced_hosts(now),
        )


class Fleet:
    """The entries; `periods` is the number of periods between two announcements."""

    def __init__(self, seed, periods):
        self.random = random.Random(seed)
        self.periods = periods
        self.events, self.order = [], itertools.count()
        self.entries = {
            f"host-e{n}": Entry(f"e{n}", DATA_CENTRES[n % 3]) for n in range(ENTRIES)
        }
        # How long an ended entry was listed, and for how long a running one wasn't.
        self.listed_s, self.missing_s = 0.0, 0.0
        self.missing_since = {}
        for entry in self.entries.values():
            entry.table.add_hosts(self.entries, 0.0)
            self.at(self.random.uniform(0.0, 2.0), self.announce, entry, 0)
        self.schedule_ends()

    def schedule_ends(self):
        """Ends a third of a data centre at once, and others alone; some start again."""
        hosts = list(self.entries)
        for host in self.random.sample(hosts[::3], 5):
            self.at(12.0, self.kill, host)
        for host in self.random.sample(hosts[1::3], 6):
            at = self.random.uniform(10.0, 24.0)
            self.at(at, self.kill, host)
            self.at(at + self.random.uniform(0.3, 9.0), self.start, host)
        for host in self.random.sample(hosts[2::3], 4):
            at = self.random.uniform(10.0, 24.0)
            self.at(at, self.stop, host)
            self.at(at + self.random.uniform(0.5, 5.0), self.kill, host)

    def at(self, at, act, *arguments):
        heapq.heappush(self.events, (at, next(self.order), act, arguments))

    def kill(self, host, now):
        self.entries[host].ended_at = now

    def stop(self, host, now):
        """Stops accepting callers and announces it to every host directly."""
        self.entries[host].ready = False
        self.send(self.entries[host], True, now)

    def start(self, host, now):
        ended = self.entries[host]
        self.missing_since = {
            pair: at for pair, at in self.missing_since.items() if pair[0] != host
        }
        entry = self.entries[host] = Entry(
            ended.name, ended.data_centre, ended.incarnation + 1, started_at=now
        )
        entry.table.add_hosts(self.entries, now)
        self.announce(entry, ended.incarnation + 1, now)

    def announce(self, entry, incarnation, now):
        if entry.ended_at is not None or entry.incarnation != incarnation:
            return
        entry.table.expire(now)
        self.send(entry, False, now)
        interval_s = self.periods * entry.table.announce_period_s
        self.at(now + interval_s, self.announce, entry, incarnation)

    def send(self, entry, is_urgent, now):
        announcement = entry.make_announcement(now)
        receivers = dissemination.select_receivers(
            entry.table.list_hosts(),
            entry.table.list_alive(now),
            entry.data_centre,
            entry.incarnation + entry.sequence,
            is_urgent,
            self.periods > 1.0,
        )
        self.transmit(announcement, receivers.direct, False, now)
        self.transmit(announcement, receivers.relays, True, now)

    def transmit(self, announcement, hosts, is_relayed, now):
        for host in hosts:
            if self.random.random() >= LOST_SHARE:
                arrives_at = now + self.random.uniform(0.0, MAX_DELAY_S)
                self.at(arrives_at, self.receive, host, announcement, is_relayed)

    def receive(self, host, announcement, is_relayed, now):
        entry = self.entries[host]
        if entry.ended_at is not None:
            return
        if entry.table.record(announcement, now) and is_relayed:
            alive = entry.table.list_alive(now)
            hosts = dissemination.select_relay_receivers(
                announcement, alive, entry.data_centre, 0.0
            )
            self.transmit(announcement, hosts, False, now)

    def run(self):
        samples_at = LEARNING_S
        while self.events:
            at, _, act, arguments = heapq.heappop(self.events)
            while samples_at <= at:
                self.sample(samples_at)
                samples_at += SAMPLE_S
            if at > END_AT:
                break
            act(*arguments, at)

    def sample(self, now):
        """Compares the directory of each running entry with the entries that run."""
        for entry in self.entries.values():
            if entry.ended_at is not None or now - entry.started_at < LEARNING_S:
                continue
            own = resolving.EntryAddress(
                entry.name, f"{entry.host}:80", entry.data_centre
            )
            listed = resolving.list_addresses(
                entry.table.list_alive(now), own, entry.data_centre
            )
            self.compare(entry, frozenset(listed), now)

    def compare(self, entry, listed, now):
        for other in self.entries.values():
            is_listed = f"{other.host}:80" in listed
            if other.ended_at is not None and is_listed:
                self.listed_s = max(self.listed_s, now - other.ended_at)
            runs = other.ended_at is None and other.ready
            is_new = now - other.started_at < LEARNING_S
            pair = entry.host, other.host
            if is_listed or not runs or is_new:
                self.missing_since.pop(pair, None)
                continue
            since = self.missing_since.setdefault(pair, now)
            self.missing_s = max(self.missing_s, now - since + SAMPLE_S)
