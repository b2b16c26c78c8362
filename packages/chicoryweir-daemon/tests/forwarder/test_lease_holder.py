"""Tests of which entry holds the lease after outages, pauses and restarts."""

import dataclasses
import random

import pytest
import pytest_asyncio

from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_daemon.forwarder import process
from chicoryweir_daemon.forwarder import storehealth
from chicoryweir_daemon.forwarder.mapcontrol import lease_holder
from chicoryweir_policy import store
from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.forwarding import peers


class Clock:
    def __init__(self):
        self.now = 0.0

    def read(self):
        return self.now

    def read_boot(self):
        return self.now


class StoreStandIn:
    """Store with conditional writes, shared by all entries.

    With an era of None, it states none.
    """

    def __init__(self, era):
        self.rows = {}
        self.version = 0
        self.era = era

    def copy(self):
        return dict(self.rows), self.version

    def restore(self, copy):
        self.rows, self.version = dict(copy[0]), copy[1]
        self.era += 1

    async def run(self, operation):
        match operation:
            case store.Read(keys):
                found = tuple(self.rows[key] for key in keys if key in self.rows)
                return store.Rows(found, self.era)
            case store.Transact(checks, writes):
                for check in checks:
                    row = self.rows.get(check.key)
                    if (row.version if row else 0) != check.version:
                        return store.Conflicted((row,) if row else (), self.era)
                for write in writes:
                    self.version += 1
                    self.rows[write.key] = store.Row(
                        write.key, self.version, write.value
                    )
                versions = {write.key: self.version for write in writes}
                return store.Committed(versions, self.era)


class StoreLink:
    """One entry's connection to the store.

    Attributes:
        disconnected: Whether the store refuses all operations.
        loses_replies: Whether transactions are performed without a reply.
        lost: Number of transactions performed without a reply.
        delayed: Transactions that were not performed, without a reply; None if all are.
    """

    def __init__(self, store_rows):
        self._store_rows = store_rows
        self.disconnected = False
        self.loses_replies = False
        self.lost = 0
        self.delayed = None

    async def run(self, operation):
        if self.disconnected:
            return store.Refused("disconnected")
        if isinstance(operation, store.Transact):
            if self.delayed is not None:
                self.delayed.append(operation)
                return store.Unknown("delayed")
            if self.loses_replies:
                self.lost += 1
                await self._store_rows.run(operation)
                return store.Unknown("lost")
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

    def __init__(self, names, capacities=None, era=None):
        self.names = names
        self.capacities = capacities or {}
        self.clock = Clock()
        self.store = StoreStandIn(era)
        self.sequence = 0
        self.random = random.Random(3)
        self.loss_rate = 0.0
        self.links = {name: StoreLink(self.store) for name in names}
        self.fleets = {}
        self.health = {}
        self.holders = {}
        for name in names:
            self.start(name, 1)

    def start(self, name, incarnation):
        settings = _settings(name, self.capacities.get(name, 0.0))
        fleet = fleets.Fleet(settings, self.clock)
        config = configuration.Configuration(1, (), (), None, configuration.Limits())
        fleet.adopt(config, b"{}")
        fleet.endpoints_listed = True
        fleet.evacuations.apply_listing([], 1, 1, 0.0)
        self.fleets[name] = fleet
        event_log = eventlog.EventLog(name)
        self.health[name] = storehealth.StoreHealth(fleet, event_log)
        self.holders[name] = lease_holder.LeaseHolder(
            fleet, self.links[name], event_log, self.health[name], incarnation
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
                if not disconnected:
                    self.health[name].observe_era(self.store.era)
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


@pytest_asyncio.fixture
async def restorable_entries():
    """Three entries and a store that states its era; entry `a` holds the lease."""
    entries = Entries("abc", era=1)
    await entries.advance(5.0)
    assert entries.holders["a"].holds
    return entries


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


@pytest.mark.parametrize("incarnation", [0, 2])
async def test_killed_holder_is_replaced_at_its_next_start(entries, incarnation):
    await entries.advance(2.0)
    token = entries.holders["a"].raise_token()
    entries.start("a", incarnation)
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


# Guards against a token that two entries use: the copy lacks the row of the first.
async def test_token_of_a_lost_row_is_not_assigned_again(restorable_entries):
    entries = restorable_entries
    copy = entries.store.copy()
    entries.holders["a"].stop_acting()
    await entries.advance(2.0)
    (last,) = [h for h in entries.holders.values() if h.holds]
    token = last.raise_token()
    entries.store.restore(copy)
    for name in "abc":
        entries.start(name, 2)
    await entries.advance(8.0)
    (holder,) = [h for h in entries.holders.values() if h.holds]
    assert holder.raise_token() > token


# Guards against two holders: the copy names an earlier holder, or none.
@pytest.mark.parametrize("emptied", [True, False])
async def test_restored_row_does_not_make_a_second_holder(restorable_entries, emptied):
    entries = restorable_entries
    copy = ({}, 0) if emptied else entries.store.copy()
    await entries.advance(1.0, silent="a")
    await entries.advance(3.0, silent="a")
    assert entries.holders["b"].holds
    token = entries.holders["b"].raise_token()
    entries.store.restore(copy)
    # Entry b is not heard and can't reach the store, but acts until its lease expires.
    entries.links["b"].disconnected = True
    for _ in range(40):
        entries.clock.now += 0.1
        for name in "ac":
            await entries.holders[name].poll()
            entries.fleets[name].announced_at = entries.clock.now
        entries.fleets["b"].announced_at = entries.clock.now
        assert entries.count_holders() <= 1
    await entries.advance(4.0, silent="b")
    (holder,) = [h for h in entries.holders.values() if h.holds]
    assert holder.raise_token() > token


async def _lose_reply_before_outage(entries):
    """Loses the reply to a renewal of `a`, then the store until the lease lapsed."""
    link = entries.links["a"]
    link.loses_replies = True
    while not link.lost:
        await entries.advance(0.25)
    link.loses_replies = False
    for other in entries.links.values():
        other.disconnected = True
    await entries.advance(1.75)
    for other in entries.links.values():
        other.disconnected = False


async def _assert_released_tokens_are_unused(entries):
    for _ in range(40):
        await entries.advance(0.25)
        for name, holder in entries.holders.items():
            if holder.holds:
                held = holder.raise_token() // lease_holder.TOKENS_PER_LEASE
                assert held > entries.fleets[name].released_fence
    assert entries.count_holders() == 1


# Guards against a renewal that was lost and is taken for performed, since the version
# of the restored row differs from the latest known one.
async def test_lost_renewal_is_not_taken_for_performed_after_a_restore(
    restorable_entries,
):
    entries = restorable_entries
    copy = entries.store.copy()
    await entries.advance(3.0)
    await _lose_reply_before_outage(entries)
    entries.store.restore(copy)
    await _assert_released_tokens_are_unused(entries)


# Guards against a token that is used again after its release, when the renewal whose
# reply was lost turns out to have been performed.
async def test_released_token_is_unused_although_a_lost_renewal_was_performed(entries):
    await entries.advance(5.0)
    await _lose_reply_before_outage(entries)
    await _assert_released_tokens_are_unused(entries)


# Guards against a write from before the restore that is performed after it, since the
# version that it expects was assigned again.
async def test_late_write_of_an_earlier_era_does_not_end_the_lease(restorable_entries):
    entries = restorable_entries
    copy = entries.store.copy()
    await entries.advance(3.0)
    link = entries.links["a"]
    link.delayed = []
    while not link.delayed:
        await entries.advance(0.25)
    (late,) = link.delayed
    link.disconnected = True
    entries.store.restore(copy)
    await entries.advance(8.0, silent="a")
    (holder,) = [h for h in entries.holders.values() if h.holds]
    token = holder.raise_token()
    (check,) = late.checks
    row = entries.store.rows.get(check.key)
    if row is not None:
        row = dataclasses.replace(row, version=check.version)
        entries.store.rows[check.key] = row
    await entries.store.run(late)
    await entries.advance(6.0, silent="a")
    assert holder.holds
    assert holder.raise_token() == token + 1


# Guards against a gap without a holder, and against a change of maps that is cut off.
async def test_holder_goes_on_acting_over_a_restore(restorable_entries):
    entries = restorable_entries
    token = entries.holders["a"].raise_token()
    copy = entries.store.copy()
    await entries.advance(2.0)
    for _ in range(3):
        entries.store.restore(copy)
        for _ in range(12):
            await entries.advance(0.25)
            assert entries.holders["a"].holds
            next_token = entries.holders["a"].raise_token()
            assert next_token > token
            token = next_token


async def test_holder_that_outlived_its_lease_in_the_outage_goes_on_after_a_restore(
    restorable_entries,
):
    entries = restorable_entries
    copy = entries.store.copy()
    for link in entries.links.values():
        link.disconnected = True
    await entries.advance(6.0)
    entries.store.restore(copy)
    for link in entries.links.values():
        link.disconnected = False
    await entries.advance(1.5)
    assert entries.holders["a"].holds


# Guards against a gap of a lease's duration: the holder gave up in the outage, as the
# others reached the restored store first.
async def test_lease_given_up_before_a_restore_was_known_is_soon_held_again(
    restorable_entries,
):
    entries = restorable_entries
    token = entries.holders["a"].raise_token()
    copy = entries.store.copy()
    for link in entries.links.values():
        link.disconnected = True
    await entries.advance(3.0)
    assert entries.holders["a"].holds
    entries.store.restore(copy)
    entries.links["b"].disconnected = entries.links["c"].disconnected = False
    await entries.advance(0.5)
    assert not entries.holders["a"].holds
    entries.links["a"].disconnected = False
    await entries.advance(1.5)
    (holder,) = [h for h in entries.holders.values() if h.holds]
    assert holder.raise_token() > token


async def test_holder_killed_at_a_restore_is_replaced(restorable_entries):
    entries = restorable_entries
    token = entries.holders["a"].raise_token()
    entries.store.restore(({}, 0))
    await entries.advance(6.0, silent="a")
    assert entries.holders["b"].holds
    assert entries.holders["b"].raise_token() > token
