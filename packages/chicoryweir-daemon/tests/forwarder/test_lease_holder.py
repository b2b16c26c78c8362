"""Tests of which entry holds the lease after outages, pauses and restarts."""

import dataclasses
import random

import pytest

from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import fleet as fleets
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


class StoreStandIn:
    """Store with conditional writes, shared by all entries."""

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


class StoreLink:
    """One entry's connection to the store; refuses operations while disconnected."""

    def __init__(self, store_rows):
        self._store_rows = store_rows
        self.disconnected = False

    async def run(self, operation):
        if self.disconnected:
            return store.Refused("disconnected")
        return await self._store_rows.run(operation)


def _settings(name, capacity=0.0):
    listener = process.Listener("127.0.0.1", 1)
    bounds = process.Bounds(8.0, 0.2, 90.0, 10.0, 1.5, 5.0)
    return process.Settings(
        name,
        name,
        "dc",
        listener,
        None,
        None,
        1,
        2,
        (),
        listener,
        1.2,
        bounds,
        capacity,
    )


class Entries:
    """Entries named by letters that share a clock and a store."""

    def __init__(self, names, capacities=None):
        self.names = names
        self.capacities = capacities or {}
        self.clock = Clock()
        self.store = StoreStandIn()
        self.sequence = 0
        self.random = random.Random(3)
        self.loss_rate = 0.0
        self.links = {name: StoreLink(self.store) for name in names}
        self.fleets = {}
        self.holders = {}
        for name in names:
            self.start(name, 1)

    def start(self, name, incarnation):
        settings = _settings(name, self.capacities.get(name, 0.0))
        fleet = fleets.Fleet(settings, self.clock)
        config = configuration.Configuration(1, (), (), None, configuration.Limits())
        fleet.adopt(config, b"{}")
        fleet.endpoints_listed = True
        self.fleets[name] = fleet
        self.holders[name] = lease_holder.LeaseHolder(
            fleet, self.links[name], eventlog.EventLog(name), incarnation
        )
        fleet.incarnation = incarnation

    async def advance(self, seconds, silent=()):
        for _ in range(round(seconds / lease_holder.POLL_PERIOD_S)):
            self.clock.now += lease_holder.POLL_PERIOD_S
            for name in self.names:
                if name in silent:
                    continue
                disconnected = self.links[name].disconnected
                self.fleets[name].endpoints.record_store_call(
                    not disconnected, self.clock.now
                )
                await self.holders[name].poll()
            self._announce(silent)
            assert self.count_holders() <= 1

    def count_holders(self):
        return sum(holder.holds for holder in self.holders.values())

    def _announce(self, silent):
        self.sequence += 1
        for name in set(self.names) - set(silent):
            fleet = self.fleets[name]
            fleet.announced_at = self.clock.now
            announcement = peers.Announcement(
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
                released_fence=fleet.released_fence,
                reaches_store=not fleet.endpoints.is_store_unreachable,
                capacity=fleet.settings.capacity,
            )
            for other in sorted(set(self.names) - {name} - set(silent)):
                if self.random.random() < self.loss_rate:
                    continue
                self.fleets[other].peers.record(
                    dataclasses.replace(announcement), self.clock.now
                )


@pytest.fixture
def entries():
    return Entries("ab")


@pytest.fixture
def three_entries():
    return Entries("abc")


async def test_first_entry_by_name_holds_the_lease(entries):
    await entries.advance(2.0)
    assert entries.holders["a"].holds
    assert not entries.holders["b"].holds


# Guards against a small machine that acquires the lease before it hears the others.
async def test_entry_with_the_largest_machine_holds_the_lease_from_the_start():
    entries = Entries("abc", {"a": 1.0, "b": 9.0, "c": 2.0})
    await entries.advance(2.0)
    assert entries.holders["b"].holds
    assert entries.holders["b"].raise_token() // lease_holder.TOKENS_PER_LEASE == 1


async def test_isolated_holder_is_replaced_within_three_seconds(entries):
    await entries.advance(2.0)
    token = entries.holders["a"].raise_token()
    entries.links["a"].disconnected = True
    await entries.advance(3.0)
    assert entries.holders["b"].holds
    assert entries.holders["b"].raise_token() > token


async def test_holder_acts_during_outage_and_only_one_entry_holds_afterwards(
    entries,
):
    await entries.advance(2.0)
    token = entries.holders["a"].raise_token()
    for link in entries.links.values():
        link.disconnected = True
    await entries.advance(30.0)
    assert entries.holders["a"].holds
    assert entries.holders["a"].raise_token() > token
    for link in entries.links.values():
        link.disconnected = False
    await entries.advance(3.0)
    (holder,) = [h for h in entries.holders.values() if h.holds]
    assert holder.raise_token() > token + 1


async def test_silent_holder_is_replaced_after_its_lease_expires(entries):
    await entries.advance(2.0)
    await entries.advance(lease_holder.LEASE_SETTINGS.ttl_s + 3.0, silent="a")
    assert entries.holders["b"].holds


async def test_killed_holder_is_replaced_at_its_next_start(entries):
    await entries.advance(2.0)
    token = entries.holders["a"].raise_token()
    entries.start("a", 2)
    await entries.advance(1.0)
    assert entries.count_holders() == 1
    holder = next(h for h in entries.holders.values() if h.holds)
    assert holder.raise_token() > token


async def test_stopping_holder_releases_the_lease(entries):
    await entries.advance(2.0)
    entries.fleets["a"].stopping = True
    await entries.advance(1.5)
    assert entries.holders["b"].holds


async def test_released_fence_is_never_held_again(entries):
    await entries.advance(2.0)
    fleet = entries.fleets["a"]
    entries.holders["a"].stop_acting()
    await entries.advance(2.0)
    assert fleet.released_fence
    for holder in entries.holders.values():
        if holder.holds:
            token = holder.raise_token()
            assert token // lease_holder.TOKENS_PER_LEASE > fleet.released_fence


async def test_frozen_holder_is_replaced_before_its_lease_expires(three_entries):
    await three_entries.advance(2.0)
    token = three_entries.holders["a"].raise_token()
    await three_entries.advance(2.0, silent="a")
    assert three_entries.holders["b"].holds
    assert three_entries.holders["b"].raise_token() > token
    assert not three_entries.holders["a"].holds
    await three_entries.advance(3.0)
    assert three_entries.count_holders() == 1


async def test_entry_without_peers_waits_until_the_lease_expires(three_entries):
    await three_entries.advance(2.0)
    await three_entries.advance(2.0, silent="ab")
    assert not three_entries.holders["c"].holds
    await three_entries.advance(lease_holder.LEASE_SETTINGS.ttl_s + 1.0, silent="ab")
    assert three_entries.holders["c"].holds


async def test_holder_with_late_tasks_does_not_act(three_entries):
    await three_entries.advance(2.0)
    three_entries.clock.now += 0.9
    assert three_entries.count_holders() == 0
    await three_entries.advance(2.0)
    assert three_entries.count_holders() == 1


async def test_holder_keeps_the_lease_while_some_announcements_are_lost(three_entries):
    await three_entries.advance(2.0)
    token = three_entries.holders["a"].raise_token()
    three_entries.loss_rate = 0.05
    await three_entries.advance(60.0)
    assert three_entries.holders["a"].holds
    assert three_entries.holders["a"].raise_token() == token + 1
