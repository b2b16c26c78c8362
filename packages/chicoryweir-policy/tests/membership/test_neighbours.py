"""Tests of the links between entries."""

from __future__ import annotations

import pytest

from chicoryweir_policy.membership import neighbours


def _name(count: int) -> list[str]:
    return [f"entry-{number:03d}" for number in range(count)]


@pytest.mark.parametrize("count", [1, 2, 7, 9])
def test_few_entries_form_a_full_mesh_with_one_link_a_pair(count) -> None:
    names = _name(count)
    links = {
        frozenset((own, other))
        for own in names
        for other in neighbours.choose_entries(own, names)
    }
    dials = sum(len(neighbours.choose_entries(own, names)) for own in names)
    assert len(links) == dials == count * (count - 1) // 2


@pytest.mark.parametrize("count", [10, 90, 380])
def test_many_entries_reach_one_another_over_few_links_each(count) -> None:
    names = _name(count)
    linked: dict[str, set[str]] = {name: set() for name in names}
    for own in names:
        for other in neighbours.choose_entries(own, names):
            linked[own].add(other)
            linked[other].add(own)
    reached = {names[0]}
    fresh = {names[0]}
    while fresh:
        fresh = {peer for name in fresh for peer in linked[name]} - reached
        reached |= fresh
    assert reached == set(names)
    assert max(map(len, linked.values())) <= 2 * neighbours.RING_LINKS


def test_few_entries_contend_for_a_group() -> None:
    names = _name(90)
    for group in ("desk-1", "desk-2"):
        chosen = [own for own in names if neighbours.contends(own, names, group)]
        assert len(chosen) == neighbours.GROUP_CONTENDERS
