"""Tests of the selection of links between entries and of contenders."""

from __future__ import annotations

import pytest

from chicoryweir_policy.membership import neighbours


def _name_entries(count: int) -> list[str]:
    return [f"entry-{number:03d}" for number in range(count)]


@pytest.mark.parametrize("count", [1, 2, 7, 9])
def test_few_entries_form_full_mesh_with_one_link_per_pair(count) -> None:
    names = _name_entries(count)
    links = {
        frozenset((own, other))
        for own in names
        for other in neighbours.choose_entries(own, names)
    }
    dials = sum(len(neighbours.choose_entries(own, names)) for own in names)
    assert len(links) == dials == count * (count - 1) // 2


@pytest.mark.parametrize("count", [10, 90, 380])
def test_many_entries_are_connected_with_few_links_each(count) -> None:
    names = _name_entries(count)
    linked: dict[str, set[str]] = {name: set() for name in names}
    for own in names:
        for other in neighbours.choose_entries(own, names):
            linked[own].add(other)
            linked[other].add(own)
    reached = {names[0]}
    newly_reached = {names[0]}
    while newly_reached:
        newly_reached = {
            peer for name in newly_reached for peer in linked[name]
        } - reached
        reached |= newly_reached
    assert reached == set(names)
    assert max(map(len, linked.values())) <= 2 * neighbours.RING_LINKS


def test_few_entries_contend_for_a_group() -> None:
    names = _name_entries(90)
    for group in ("desk-1", "desk-2"):
        chosen = [own for own in names if neighbours.contends(own, names, group)]
        assert len(chosen) == neighbours.GROUP_CONTENDERS
