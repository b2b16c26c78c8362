"""Tests of the selection of endpoint subsets."""

import collections

import pytest

from chicoryweir_policy.routing import subsets


def _make_nodes(kind: str, count: int, data_centres: int) -> list[subsets.Node]:
    return [
        subsets.Node(f"{kind}-{number}", f"place-{number % data_centres}")
        for number in range(count)
    ]


ENTRIES = _make_nodes("entry", 380, 8)
ENDPOINTS = _make_nodes("agent", 890, 8)


def _choose_all(entries, endpoints):
    return {
        entry.instance: set(subsets.choose_subset(entry, entries, endpoints))
        for entry in entries
    }


def test_small_service_is_selected_whole():
    endpoints = _make_nodes("agent", 16, 3)
    chosen = subsets.choose_subset(ENTRIES[0], ENTRIES[:7], endpoints)
    assert chosen == tuple(sorted(node.instance for node in endpoints))


def test_subsets_are_bounded_and_cover_all_endpoints_evenly():
    chosen = _choose_all(ENTRIES, ENDPOINTS)
    covered = collections.Counter(name for names in chosen.values() for name in names)
    assert {len(names) for names in chosen.values()} == {subsets.SUBSET_SIZE}
    assert len(covered) == len(ENDPOINTS)
    mean = len(ENTRIES) * subsets.SUBSET_SIZE / len(ENDPOINTS)
    assert min(covered.values()) > mean / 2
    assert max(covered.values()) < mean * 2


@pytest.mark.parametrize(
    ("entries", "endpoints"),
    [
        (ENTRIES, ENDPOINTS[:-1]),
        (ENTRIES, [*ENDPOINTS, subsets.Node("agent-new", "place-3")]),
        (ENTRIES[:-1], ENDPOINTS),
        ([*ENTRIES, subsets.Node("entry-new", "place-3")], ENDPOINTS),
    ],
)
def test_one_member_change_barely_changes_subsets(entries, endpoints):
    before = _choose_all(ENTRIES, ENDPOINTS)
    after = _choose_all(entries, endpoints)
    changes = [
        len(after[name] - names) for name, names in before.items() if name in after
    ]
    assert sum(changes) / len(changes) <= 3
    assert max(changes) <= 12
