"""Tests of the table of other entries and of the addresses for callers."""

import dataclasses

from chicoryweir_policy.forwarding import peers
from chicoryweir_policy.forwarding import resolving

ANNOUNCEMENT = peers.Announcement(
    "b", 5, 1, "10.0.0.2", "telavi", "10.0.0.2:80", True, 3, {}, ("10.0.0.3",)
)


def test_outdated_announcement_is_ignored():
    table = peers.PeerTable("a", "10.0.0.1")
    assert table.record(dataclasses.replace(ANNOUNCEMENT, sequence=2), 0.0)
    assert not table.record(dataclasses.replace(ANNOUNCEMENT, ready=False), 0.1)
    assert not table.record(
        dataclasses.replace(ANNOUNCEMENT, incarnation=4, sequence=9), 0.1
    )
    assert [peer.ready for peer in table.list_alive(0.2)] == [True]


def test_silent_entry_is_not_alive():
    table = peers.PeerTable("a", "10.0.0.1")
    table.record(ANNOUNCEMENT, 0.0)
    assert table.count_entries(0.5) == 2
    assert table.count_entries(peers.ALIVE_S + 0.1) == 1


def test_large_fleet_has_longer_period_and_timeout():
    table = peers.PeerTable("a", "10.0.0.1")
    small_fleet_period_s = table.announce_period_s
    for number in range(100):
        name, host = f"p{number}", f"10.0.1.{number}"
        table.record(dataclasses.replace(ANNOUNCEMENT, name=name, host=host), 0.0)
    assert table.announce_period_s == 10 * small_fleet_period_s
    assert table.alive_timeout_s > 2 * peers.IDLE_PERIODS * table.announce_period_s
    datagrams_per_s = 100 / table.announce_period_s
    assert datagrams_per_s <= peers.FULL_RATE_ENTRIES / small_fleet_period_s


def test_hosts_of_announced_peers_are_added():
    table = peers.PeerTable("a", "10.0.0.1")
    table.record(ANNOUNCEMENT, 0.0)
    assert table.list_hosts() == ["10.0.0.2", "10.0.0.3"]


def test_own_announcement_is_ignored():
    table = peers.PeerTable("b", "10.0.0.2")
    assert not table.record(ANNOUNCEMENT, 0.0)


def test_addresses_in_callers_data_centre_come_first():
    entries = [
        resolving.EntryAddress("a", "1:1", "telavi"),
        resolving.EntryAddress("b", "2:1", "gurjaani"),
    ]
    assert resolving.select_addresses(entries, "gurjaani") == ("2:1", "1:1")
