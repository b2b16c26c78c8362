"""Tests of which entries receive and relay an announcement.

The load is a fleet of 38 entries in three data centres, in which most datagrams would
cross data centres.
"""

import dataclasses

import pytest

from chicoryweir_policy.forwarding import dissemination
from chicoryweir_policy.forwarding import peers

DATA_CENTRES = ("a", "b", "c")
ENTRIES = {
    f"e{n}": peers.Announcement(
        f"e{n}", 1, 1, f"10.0.0.{n}", DATA_CENTRES[n % 3], "", True, 1, {}, ()
    )
    for n in range(38)
}
BY_HOST = {entry.host: entry for entry in ENTRIES.values()}


def disseminate(sender, turn, unreachable=frozenset(), lag_s=0.0):
    """Returns the names that receive an announcement, and the datagrams across."""
    others = [entry for entry in ENTRIES.values() if entry.name != sender.name]
    receivers = dissemination.select_receivers(
        [entry.host for entry in others], others, sender.data_centre, turn, False
    )
    datagrams = [(sender, BY_HOST[host]) for host in receivers.direct]
    for host in receivers.relays:
        relay = BY_HOST[host]
        datagrams.append((sender, relay))
        if relay.name in unreachable:
            continue
        known = [entry for entry in ENTRIES.values() if entry.name != relay.name]
        datagrams += [
            (relay, BY_HOST[receiver])
            for receiver in dissemination.select_relay_receivers(
                sender, known, relay.data_centre, lag_s
            )
        ]
    reached = [to.name for _, to in datagrams if to.name not in unreachable]
    across = sum(one.data_centre != to.data_centre for one, to in datagrams)
    return reached, across


@pytest.mark.parametrize("turn", range(1, 30))
def test_every_entry_receives_each_announcement_once(turn):
    for sender in ENTRIES.values():
        reached, _ = disseminate(sender, turn)
        assert sorted(reached) == sorted(ENTRIES.keys() - {sender.name})


def test_datagrams_between_data_centres_are_less_than_a_third():
    turns = range(dissemination.DIRECT_INTERVAL * 4)
    across = sum(disseminate(e, turn)[1] for e in ENTRIES.values() for turn in turns)
    direct = sum(
        one.data_centre != to.data_centre
        for one in ENTRIES.values()
        for to in ENTRIES.values()
    ) * len(turns)
    assert across < direct / 3


# Guards against entries that count as ended because their relays have ended.
def test_entries_are_heard_in_time_while_half_of_the_relays_are_cut_off():
    cut_off = frozenset(f"e{n}" for n in range(0, 38, 2))
    heard_within = int(peers.ALIVE_IDLE_PERIODS * peers.IDLE_PERIODS)
    for sender in ENTRIES.values():
        if sender.name in cut_off:
            continue
        for first in range(20):
            turns = range(first, first + heard_within)
            reached = {
                name for t in turns for name in disseminate(sender, t, cut_off)[0]
            }
            assert reached == ENTRIES.keys() - cut_off - {sender.name}


def test_entry_that_was_frozen_relays_nothing():
    sender = ENTRIES["e1"]
    reached, _ = disseminate(sender, 1, lag_s=4.0)
    own = {e.name for e in ENTRIES.values() if e.data_centre == sender.data_centre}
    assert len(reached) == len(own) - 1 + 2


# Guards against entries that count as ended because two or three announcements without
# updates were lost by the same relay.
def test_announcement_without_updates_has_two_relays_in_each_data_centre():
    sender, *others = ENTRIES.values()
    hosts = [entry.host for entry in others]
    receivers = dissemination.select_receivers(hosts, others, "a", 1, False, True)
    relays = sorted(BY_HOST[host].data_centre for host in receivers.relays)
    assert relays == ["b", "b", "c", "c"]
    assert len(set(receivers.relays)) == 4


def test_small_fleet_and_urgent_announcements_need_no_relay():
    few = list(ENTRIES.values())[: peers.FULL_RATE_ENTRIES - 1]
    hosts = [entry.host for entry in few]
    assert not dissemination.select_receivers(hosts, few, "a", 1, False).relays
    everyone = list(ENTRIES.values())
    urgent = dissemination.select_receivers(BY_HOST, everyone, "a", 1, True)
    assert urgent == dissemination.Receivers(tuple(sorted(BY_HOST)))


# An entry that has just started is in nobody's list of those that are alive.
def test_host_that_was_not_heard_yet_receives_directly():
    silent = dataclasses.replace(ENTRIES["e4"], host="10.0.1.1")
    heard = [entry for entry in ENTRIES.values() if entry.name != "e4"]
    hosts = [entry.host for entry in heard] + [silent.host]
    receivers = dissemination.select_receivers(hosts, heard, "a", 1, False)
    assert silent.host in receivers.direct


def test_configuration_comes_from_an_entry_that_has_it_in_the_own_data_centre():
    newer = {"e3", "e6", "e7"}
    alive = [
        dataclasses.replace(entry, version=2) if entry.name in newer else entry
        for entry in ENTRIES.values()
    ]
    near = {ENTRIES["e3"].host, ENTRIES["e6"].host}
    names = [f"x{n}" for n in range(20)]
    found = {dissemination.select_source(alive, 2, "a", name) for name in names}
    assert found == near
    assert dissemination.select_source(alive, 2, "c", "x") in near | {"10.0.0.7"}
    assert dissemination.select_source(alive, 3, "a", "x") is None
