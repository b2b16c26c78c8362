"""Selects the bounded subset of endpoints that an entry keeps links to."""

from __future__ import annotations

import collections.abc
import dataclasses

import xxhash

SUBSET_SIZE = 48


@dataclasses.dataclass(frozen=True, slots=True)
class Node:
    """An instance and its data centre."""

    instance: str
    data_centre: str


def choose_subset(
    entry: Node,
    entries: collections.abc.Iterable[Node],
    endpoints: collections.abc.Iterable[Node],
    size: int = SUBSET_SIZE,
) -> tuple[str, ...]:
    """Selects the endpoints of one service for an entry.

    Entries and endpoints are placed on a ring in the order of their hashes, at equal
    distances; an entry selects the endpoints that follow it. Each endpoint is thereby
    selected by about the same number of entries, and a change of members changes each
    subset by one or two endpoints. Half of a subset comes from the data centre of the
    entry, the rest from all data centres.

    Args:
        entry: The entry; counted as a member even if `entries` lacks it.
        entries: All live entries.
        endpoints: All endpoints of the service.
        size: Maximum number of endpoints in the subset.

    Returns:
        Instances of the endpoints, sorted.
    """
    sorted_entries = _sort_by_hash({*entries, entry})
    sorted_endpoints = _sort_by_hash(set(endpoints))
    if len(sorted_endpoints) <= size:
        return tuple(sorted(node.instance for node in sorted_endpoints))
    local = _select_arc(
        entry,
        [node for node in sorted_entries if node.data_centre == entry.data_centre],
        [node for node in sorted_endpoints if node.data_centre == entry.data_centre],
        size // 2,
    )
    selected = set(local)
    others = [node for node in sorted_endpoints if node not in selected]
    selected.update(_select_arc(entry, sorted_entries, others, size - len(selected)))
    return tuple(sorted(node.instance for node in selected))


def _sort_by_hash(nodes: set[Node]) -> list[Node]:
    keyed = [
        (xxhash.xxh64_intdigest(node.instance.encode()), node.instance, node)
        for node in nodes
    ]
    return [node for _, _, node in sorted(keyed, key=lambda item: item[:2])]


def _select_arc(
    entry: Node, entries: list[Node], endpoints: list[Node], count: int
) -> list[Node]:
    if count >= len(endpoints):
        return endpoints
    start = entries.index(entry) * len(endpoints) // len(entries)
    return [endpoints[(start + offset) % len(endpoints)] for offset in range(count)]
