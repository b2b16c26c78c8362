"""Tests of which entries check whether they missed a change in the store."""

import pytest

from chicoryweir_policy.forwarding import peers
from chicoryweir_policy.forwarding import storechecks


def _announce(name, ready=True, reaches_store=True):
    return peers.Announcement(
        name=name,
        incarnation=1,
        sequence=1,
        host=name,
        data_centre="dc",
        address="",
        ready=ready,
        version=1,
        endpoint_loads={},
        peers=(),
        reaches_store=reaches_store,
    )


def _list_checkers(entries):
    return [
        entry.name
        for entry in entries
        if storechecks.is_checker(entry.name, [e for e in entries if e != entry])
    ]


# Guards against calls to the store that grow with the fleet.
@pytest.mark.parametrize(
    ("count", "expected"), [(1, 1), (3, 3), (8, 8), (9, 8), (99, 8)]
)
def test_a_bounded_number_of_entries_checks(count, expected):
    entries = [_announce(f"e-{number}") for number in range(count)]
    assert len(_list_checkers(entries)) == expected
    assert expected / storechecks.compute_interval_s(0.5) < 6.0


@pytest.mark.parametrize("lost", [{"ready": False}, {"reaches_store": False}])
def test_entries_that_cannot_check_are_replaced(lost):
    entries = [_announce(f"e-{number}") for number in range(20)]
    gone = set(_list_checkers(entries)[:5])
    entries = [_announce(e.name, **lost) if e.name in gone else e for e in entries]
    assert len(set(_list_checkers(entries)) - gone) == storechecks.MAX_CHECKERS


def test_entry_whose_checks_spread_makes_one_in_each_period():
    intervals = [
        storechecks.compute_interval_s(variation / 9) for variation in range(10)
    ]
    assert max(intervals) == storechecks.CHECK_PERIOD_S
    assert min(intervals) == pytest.approx(1.2)
