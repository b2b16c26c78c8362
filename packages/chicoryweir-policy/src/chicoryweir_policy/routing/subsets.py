"""Bounded subsets of the endpoints with which an entry keeps links."""

from __future__ import annotations

import collections.abc
import dataclasses

import xxhash

SUBSET_SIZE = 48


@dataclasses.dataclass(frozen=True, slots=True)
class Node:
    """An instance and its data_centre."""

    instance: str
    data_centre: str


def choose_subset(
    entry: Node,
    entries: collections.abc.Iterable[Node],
    endpoints: collections.abc.Iterable[Node],
    size: int = SUBSET_SIZE,
) -> tuple[str, ...]:
    """Chooses the endpoints of one service for an entry.

    Entries and endpoints are spread over a ring in the order of their hashes, at
    equal distances; an entry takes the endpoints that follow it. So all endpoints
    are covered by equally many entries, and a change of members moves each subset
    by an endpoint or two. Half of a subset is taken in this way from the entry's own
    data_centre, the rest from all places.

    Args:
        entry: The entry; it counts as a member even when the list lacks it.
        entries: All live entries.
        endpoints: All endpoints of the service.
        size: Most endpoints in the subset.

    Returns:
        Instances of the endpoints, sorted.
    """
    everyone = _sort_by_hash({*entries, entry})
    known = _sort_by_hash(set(endpoints))
    if len(known) <= size:
        return tuple(sorted(node.instance for node in known))
    local = _take_arc(
        entry,
        [node for node in everyone if node.data_centre == entry.data_centre],
        [node for node in known if node.data_centre == entry.data_centre],
        size // 2,
    )
    taken = set(local)
    others = [node for node in known if node not in taken]
    taken.update(_take_arc(entry, everyone, others, size - len(taken)))
    return tuple(sorted(node.instance for node in taken))


def _sort_by_hash(nodes: set[Node]) -> list[Node]:
    keyed = [
        (xxhash.xxh64_intdigest(node.instance.encode()), node.instance, node)
        for node in nodes
    ]
    return [node for _, _, node in sorted(keyed, key=lambda item: item[:2])]


def _take_arc(
    entry: Node, entries: list[Node], endpoints: list[Node], count: int
) -> list[Node]:
    if count >= len(endpoints):
        return endpoints
    start = entries.index(entry) * len(endpoints) // len(entries)
    return [endpoints[(start + step) % len(endpoints)] for step in range(count)]
