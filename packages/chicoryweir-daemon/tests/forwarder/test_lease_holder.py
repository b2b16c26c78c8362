"""Entries that follow one another as holders of a lease."""

import dataclasses
import random

import pytest

from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_daemon.forwarder import journal
from chicoryweir_daemon.forwarder import process
from chicoryweir_daemon.forwarder.mapcontrol import lease_holder
from chicoryweir_policy import store
from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.forwarding import peers


class Clock:
    def __init__(self):
        self.now = 0.0

    def read(self):
        return self.now

    def read_wall(self):
        return self.now

    def read_boot(self):
        return self.now


class Table:
    """Rows of the store; entries that are cut off are refused."""

    def __init__(self):
        self.rows = {}
        self.version = 0

    async def run(self, operation):
        match operation:
            case store.Read(keys):
                found = tuple(self.rows[key] for key in keys if key in self.rows)
                return store.Rows(found)
            case store.Transact(checks, writes):
                for check in checks:
                    row = self.rows.get(check.key)
                    if (row.version if row else 0) != check.version:
                        return store.Conflicted((row,) if row else ())
                for write in writes:
                    self.version += 1
                    self.rows[write.key] = store.Row(
                        write.key, self.version, write.value
                    )
                return store.Committed({w.key: self.version for w in writes})


class Link:
    def __init__(self, table):
        self._table = table
        self.cut = False

    async def run(self, operation):
        if self.cut:
            return store.Refused("cut off")
        return await self._table.run(operation)


def _settings(name):
    place = process.Listener("127.0.0.1", 1)
    bounds = process.Bounds(8.0, 0.2, 90.0, 10.0, 1.5, 5.0)
    return process.Settings(
        name, name, "dc", place, None, None, 1, 2, (), place, 1.2, bounds
    )


class Entries:
    """Entries named by letters, with one clock and one store."""

    def __init__(self, names):
        self.names = names
        self.clock = Clock()
        self.table = Table()
        self.sequence = 0
        self.loss = random.Random(3)
        self.lost_share = 0.0
        self.links = {name: Link(self.table) for name in names}
        self.fleets = {}
        self.holders = {}
        for name in names:
            self.start(name, 1)

    def start(self, name, incarnation):
        fleet = fleets.Fleet(_settings(name), self.clock)
        config = configuration.Configuration(1, (), (), None, configuration.Limits())
        fleet.adopt(config, b"{}")
        fleet.listed = True
        self.fleets[name] = fleet
        self.holders[name] = lease_holder.LeaseHolder(
            fleet, self.links[name], journal.Journal(name), incarnation
        )
        fleet.incarnation = incarnation

    async def advance(self, seconds, silent=()):
        for _ in range(round(seconds / lease_holder.POLL_PERIOD_S)):
            self.clock.now += lease_holder.POLL_PERIOD_S
            for name in self.names:
                if name in silent:
                    continue
                away = self.links[name].cut
                self.fleets[name].endpoints.record_store_call(not away, self.clock.now)
                await self.holders[name].poll()
            self._announce(silent)
            assert self.count_fences() <= 1

    def count_fences(self):
        return sum(holder.holds for holder in self.holders.values())

    def _announce(self, silent):
        self.sequence += 1
        for name in set(self.names) - set(silent):
            fleet = self.fleets[name]
            fleet.announced_at = self.clock.now
            told = peers.Announcement(
                name,
                fleet.incarnation,
                self.sequence,
                name,
                "dc",
                "x:1",
                fleet.is_ready,
                1,
                {},
                (),
                duties=fleet.duties,
                released_fence=fleet.released,
                reaches_store=not fleet.endpoints.is_store_unreachable,
            )
            for other in sorted(set(self.names) - {name} - set(silent)):
                if self.loss.random() < self.lost_share:
                    continue
                self.fleets[other].peers.record(
                    dataclasses.replace(told), self.clock.now
                )


@pytest.fixture
def entries():
    return Entries("ab")


@pytest.fixture
def three():
    return Entries("abc")


async def test_first_entry_by_name_holds(entries):
    await entries.advance(2.0)
    assert entries.holders["a"].holds
    assert not entries.holders["b"].holds


async def test_holder_that_alone_is_cut_off_is_followed_within_three_seconds(entries):
    await entries.advance(2.0)
    token = entries.holders["a"].raise_token()
    entries.links["a"].cut = True
    await entries.advance(3.0)
    assert entries.holders["b"].holds
    assert entries.holders["b"].raise_token() > token


async def test_holder_goes_on_through_an_outage_for_all_and_gives_way_after_it(
    entries,
):
    await entries.advance(2.0)
    token = entries.holders["a"].raise_token()
    for link in entries.links.values():
        link.cut = True
    await entries.advance(30.0)
    assert entries.holders["a"].holds
    assert entries.holders["a"].raise_token() > token
    for link in entries.links.values():
        link.cut = False
    await entries.advance(3.0)
    (held,) = [h for h in entries.holders.values() if h.holds]
    assert held.raise_token() > token + 1


async def test_holder_that_falls_silent_is_followed_when_its_lease_has_lapsed(entries):
    await entries.advance(2.0)
    await entries.advance(lease_holder.LEASE_SETTINGS.ttl_s + 3.0, silent="a")
    assert entries.holders["b"].holds


async def test_process_that_was_killed_is_followed_at_its_next_start(entries):
    await entries.advance(2.0)
    token = entries.holders["a"].raise_token()
    entries.start("a", 2)
    await entries.advance(1.0)
    assert entries.count_fences() == 1
    held = next(h for h in entries.holders.values() if h.holds)
    assert held.raise_token() > token


async def test_holder_that_stops_gives_the_lease_away(entries):
    await entries.advance(2.0)
    entries.fleets["a"].stopping = True
    await entries.advance(1.5)
    assert entries.holders["b"].holds


async def test_fence_that_was_released_is_never_held_again(entries):
    await entries.advance(2.0)
    fence = entries.fleets["a"]
    entries.holders["a"].stop_acting()
    await entries.advance(2.0)
    assert fence.released
    for holder in entries.holders.values():
        if holder.holds:
            token = holder.raise_token()
            assert token // lease_holder.TOKENS_PER_LEASE > fence.released


async def test_frozen_holder_is_followed_before_its_lease_has_lapsed(three):
    await three.advance(2.0)
    token = three.holders["a"].raise_token()
    await three.advance(2.0, silent="a")
    assert three.holders["b"].holds
    assert three.holders["b"].raise_token() > token
    assert not three.holders["a"].holds
    await three.advance(3.0)
    assert three.count_fences() == 1


async def test_entry_that_hears_nobody_waits_until_the_lease_has_lapsed(three):
    await three.advance(2.0)
    await three.advance(2.0, silent="ab")
    assert not three.holders["c"].holds
    await three.advance(lease_holder.LEASE_SETTINGS.ttl_s + 1.0, silent="ab")
    assert three.holders["c"].holds


async def test_holder_whose_tasks_are_late_does_not_act(three):
    await three.advance(2.0)
    three.clock.now += 0.9
    assert three.count_fences() == 0
    await three.advance(2.0)
    assert three.count_fences() == 1


async def test_lease_stays_where_it_is_while_some_announcements_are_lost(three):
    await three.advance(2.0)
    token = three.holders["a"].raise_token()
    three.lost_share = 0.05
    await three.advance(60.0)
    assert three.holders["a"].holds
    assert three.holders["a"].raise_token() == token + 1
