"""Tests of the table of other entries and of the addresses for callers."""

import dataclasses
import random

import pytest

from chicoryweir_policy.forwarding import peers
from chicoryweir_policy.forwarding import resolving

ANNOUNCEMENT = peers.Announcement(
    "b", 5, 1, "10.0.0.2", "telavi", "10.0.0.2:80", True, 3, {}, ("10.0.0.3",)
)


def test_outdated_announcement_is_ignored():
    table = peers.PeerTable("a", "10.0.0.1")
    assert table.record(dataclasses.replace(ANNOUNCEMENT, sequence=2), 0.0)
    assert not table.record(dataclasses.replace(ANNOUNCEMENT, ready=False), 0.1)
    assert [peer.ready for peer in table.list_alive(0.2)] == [True]


# Guards against ordering processes by the time of day at their start, which may have
# been set back.
@pytest.mark.parametrize("incarnation", [4, 6])
def test_restarted_entry_is_heard_at_once(incarnation):
    table = peers.PeerTable("a", "10.0.0.1")
    table.record(dataclasses.replace(ANNOUNCEMENT, sequence=90), 0.0)
    restarted = dataclasses.replace(
        ANNOUNCEMENT, incarnation=incarnation, sequence=1, version=4
    )
    assert table.record(restarted, 0.1)
    assert [peer.version for peer in table.list_alive(0.2)] == [4]


@pytest.mark.parametrize("incarnation", [4, 6])
def test_late_announcement_of_an_ended_process_is_ignored(incarnation):
    table = peers.PeerTable("a", "10.0.0.1")
    table.record(ANNOUNCEMENT, 0.0)
    restarted = dataclasses.replace(ANNOUNCEMENT, incarnation=incarnation)
    table.record(restarted, 0.1)
    assert not table.record(dataclasses.replace(ANNOUNCEMENT, sequence=9), 0.2)
    assert table.list_ended("b") == (ANNOUNCEMENT.incarnation,)


# An announcement of an ended process that arrives first must not hide the new process.
def test_process_taken_for_ended_is_heard_again_once_the_other_is_silent():
    table = peers.PeerTable("a", "10.0.0.1")
    running = dataclasses.replace(ANNOUNCEMENT, incarnation=4)
    table.record(running, 0.0)
    table.record(ANNOUNCEMENT, 0.1)
    later = dataclasses.replace(running, sequence=20)
    assert not table.record(later, 0.2)
    silent_at = 0.1 + table.alive_timeout_s + 0.1
    assert table.record(later, silent_at)
    assert table.list_ended("b") == (ANNOUNCEMENT.incarnation,)


def test_number_of_remembered_ended_processes_is_bounded():
    table = peers.PeerTable("a", "10.0.0.1")
    for incarnation in range(3 * peers.MAX_ENDED_PROCESSES):
        table.record(dataclasses.replace(ANNOUNCEMENT, incarnation=incarnation), 0.0)
    assert len(table.list_ended("b")) == peers.MAX_ENDED_PROCESSES


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


def _create_table(count, now=0.0):
    table = peers.PeerTable("a", "10.0.0.1")
    for number in range(count):
        name, host = f"p{number}", f"10.0.1.{number}"
        table.record(dataclasses.replace(ANNOUNCEMENT, name=name, host=host), now)
    return table


# Guards against announcements whose size grows with the fleet: each is sent to all.
@pytest.mark.parametrize("count", [3, 99, 380])
def test_announced_hosts_are_few_and_cover_all_in_turn(count):
    table = _create_table(count)
    hosts = set()
    for _ in range(count // peers.ANNOUNCED_HOSTS + 1):
        announced = table.select_announced_hosts(0.1)
        assert len(announced) == len(set(announced)) <= peers.ANNOUNCED_HOSTS
        hosts.update(announced)
    assert hosts == {f"10.0.1.{number}" for number in range(count)}


def test_silent_entries_are_not_announced():
    table = _create_table(3)
    assert table.select_announced_hosts(60.0) == ()


# Guards against an entry that is forgotten before it counts as ended.
def test_entry_of_a_large_fleet_is_kept_until_it_counts_as_ended():
    table = _create_table(380)
    later = table.alive_timeout_s - 0.1
    assert later > peers.FORGET_S
    assert table.expire(later) == []
    assert len(table.list_alive(later)) == 380


# A new entry that knows one other learns of all from the hosts that they announce.
@pytest.mark.parametrize("seed", range(3))
def test_new_entry_learns_of_a_large_fleet_within_seconds(seed):
    rng = random.Random(seed)
    running = [f"10.0.1.{number}" for number in range(99)]
    table = peers.PeerTable("a", "10.0.0.1")
    table.add_hosts(running[:1], 0.0)
    fleet = _create_table(99)
    rounds = 0
    while len(table.list_hosts()) < 99:
        rounds += 1
        assert rounds <= 4
        for host in table.list_hosts():
            if rng.random() < 0.05:
                continue
            for _ in range(rng.randrange(20)):
                announced = fleet.select_announced_hosts(0.1)
            name = f"p{host.rpartition('.')[2]}"
            table.record(
                dataclasses.replace(
                    ANNOUNCEMENT, name=name, host=host, sequence=rounds, peers=announced
                ),
                float(rounds),
            )


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
