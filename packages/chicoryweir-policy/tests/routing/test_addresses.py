"""Tests of the ranking of entry addresses for callers."""

import collections

from chicoryweir_policy.routing import addresses

NOW = 100.0


def _make_entry(
    number: int, data_centre: str, leaving: bool = False, last_seen_at: float = NOW
):
    return addresses.EntryView(
        f"entry-{number}",
        "127.0.0.1",
        18080 + number,
        data_centre,
        leaving,
        last_seen_at,
    )


def test_nearest_entries_come_first():
    entries = [
        _make_entry(1, "far"),
        _make_entry(2, "near"),
        _make_entry(3, "here"),
        _make_entry(4, "here"),
    ]
    latency_s = {"near": 0.0005, "far": 0.04}
    ranked = addresses.rank_addresses(entries, "here", 7, NOW, latency_s)
    assert [entry.data_centre for entry in ranked] == ["here", "here", "near", "far"]


def test_leaving_and_dead_entries_are_omitted():
    entries = [
        _make_entry(1, "here", leaving=True),
        _make_entry(2, "here", last_seen_at=NOW - addresses.ENTRY_TIMEOUT_S - 0.1),
        _make_entry(3, "here"),
    ]
    ranked = addresses.rank_addresses(entries, "here", 7, NOW)
    assert [entry.instance for entry in ranked] == ["entry-3"]


def test_order_is_stable_for_a_caller_and_spread_over_callers():
    entries = [_make_entry(number, "here") for number in range(7)]
    firsts = collections.Counter()
    for seed in range(700):
        ranked = addresses.rank_addresses(entries, "here", seed, NOW)
        assert ranked == addresses.rank_addresses(entries[::-1], "here", seed, NOW)
        firsts[ranked[0].instance] += 1
    assert len(firsts) == 7
    assert max(firsts.values()) < 150


def test_number_of_addresses_is_bounded():
    entries = [_make_entry(number, "here") for number in range(380)]
    ranked = addresses.rank_addresses(entries, "here", 7, NOW)
    assert len(ranked) == addresses.MAX_ADDRESSES
