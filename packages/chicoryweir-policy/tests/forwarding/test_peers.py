"""What an entry knows of the others."""

import dataclasses

from chicoryweir_policy.forwarding import peers
from chicoryweir_policy.forwarding import resolving

ONE = peers.Announcement(
    "b", 5, 1, "10.0.0.2", "telavi", "10.0.0.2:80", True, 3, {}, ("10.0.0.3",)
)


def test_older_announcement_changes_nothing():
    book = peers.PeerBook("a", "10.0.0.1")
    assert book.hear(dataclasses.replace(ONE, sequence=2), 0.0)
    assert not book.hear(dataclasses.replace(ONE, ready=False), 0.1)
    assert not book.hear(dataclasses.replace(ONE, incarnation=4, sequence=9), 0.1)
    assert [peer.ready for peer in book.list_alive(0.2)] == [True]


def test_silent_entry_is_not_alive():
    book = peers.PeerBook("a", "10.0.0.1")
    book.hear(ONE, 0.0)
    assert book.count_entries(0.5) == 2
    assert book.count_entries(peers.ALIVE_S + 0.1) == 1


def test_large_fleet_announces_less_often_and_bears_longer_silence():
    book = peers.PeerBook("a", "10.0.0.1")
    small = book.period_s
    for number in range(100):
        name, host = f"p{number}", f"10.0.1.{number}"
        book.hear(dataclasses.replace(ONE, name=name, host=host), 0.0)
    assert book.period_s == 10 * small
    assert book.alive_s > 2 * peers.IDLE_PERIODS * book.period_s
    datagrams_a_second = 100 / book.period_s
    assert datagrams_a_second <= peers.FULL_RATE_ENTRIES / small


def test_entries_learn_of_one_another_through_others():
    book = peers.PeerBook("a", "10.0.0.1")
    book.hear(ONE, 0.0)
    assert book.list_hosts() == ["10.0.0.2", "10.0.0.3"]


def test_own_announcement_is_not_a_peer():
    book = peers.PeerBook("b", "10.0.0.2")
    assert not book.hear(ONE, 0.0)


def test_addresses_start_with_the_callers_data_centre():
    entries = [
        resolving.EntryAddress("a", "1:1", "telavi"),
        resolving.EntryAddress("b", "2:1", "gurjaani"),
    ]
    assert resolving.select_addresses(entries, "gurjaani") == ("2:1", "1:1")
