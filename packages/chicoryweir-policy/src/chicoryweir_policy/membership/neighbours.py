"""Selects the entries to link to and the contenders for a group's lease."""

from __future__ import annotations

import collections.abc

import xxhash

MAX_MESH_ENTRIES = 9
RING_LINKS = 4
GROUP_CONTENDERS = 3


def choose_entries(own: str, entries: collections.abc.Iterable[str]) -> set[str]:
    """Returns the entries that an entry dials.

    Up to `MAX_MESH_ENTRIES` entries form a full mesh. More form a ring ordered by the
    hashes of their names; each dials its `RING_LINKS` successors, and gossip is
    forwarded.

    Args:
        own: Name of the dialling entry.
        entries: Names of all known entries.
    """
    names = sorted({*entries, own}, key=_hash_name)
    if len(names) <= MAX_MESH_ENTRIES:
        return {name for name in names if name < own}
    position = names.index(own)
    return {
        names[(position + offset) % len(names)] for offset in range(1, RING_LINKS + 1)
    }


def contends(own: str, entries: collections.abc.Iterable[str], group: str) -> bool:
    """Returns whether an entry is among the contenders for a group's lease."""
    names = {*entries, own}
    ranked = sorted(names, key=lambda name: _hash_name(f"{group}/{name}"))
    return own in ranked[:GROUP_CONTENDERS]


def _hash_name(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
