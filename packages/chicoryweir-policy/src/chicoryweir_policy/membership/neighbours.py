"""Which daemons an entry keeps links to beside its subsets of endpoints."""

from __future__ import annotations

import collections.abc

import xxhash

MESH_LIMIT = 9
RING_LINKS = 4
GROUP_CONTENDERS = 3


def choose_entries(own: str, entries: collections.abc.Iterable[str]) -> set[str]:
    """Chooses the entries that an entry dials.

    Few entries form a full mesh. Many form a ring in the order of their hashes, and
    each dials those that follow it; what entries tell one another is passed on.

    Args:
        own: The entry.
        entries: All entries known.
    """
    names = sorted({*entries, own}, key=_hash_name)
    if len(names) <= MESH_LIMIT:
        return {name for name in names if name < own}
    at = names.index(own)
    return {names[(at + step) % len(names)] for step in range(1, RING_LINKS + 1)}


def contends(own: str, entries: collections.abc.Iterable[str], group: str) -> bool:
    """Tells whether an entry is one of the few that contend for a group's lease."""
    names = {*entries, own}
    ranked = sorted(names, key=lambda name: _hash_name(f"{group}/{name}"))
    return own in ranked[:GROUP_CONTENDERS]


def _hash_name(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
