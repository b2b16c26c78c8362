"""Selects the entry addresses that are returned to callers."""

from __future__ import annotations

import collections.abc
import dataclasses

from chicoryweir_policy.forwarding import peers

# Time for which callers cache an answer; some cache it three times as long. A stopping
# entry keeps its listener open until caches expire, so this limits the time to stop.
ANSWER_TTL_S = 1.5
# Maximum number of addresses in an answer.
MAX_ADDRESSES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class EntryAddress:
    """An entry that accepts callers.

    Attributes:
        name: Name of the entry.
        address: Host and port for callers.
        data_centre: Its data centre.
    """

    name: str
    address: str
    data_centre: str


def select_addresses(
    entries: collections.abc.Iterable[EntryAddress], data_centre: str
) -> tuple[str, ...]:
    """Returns entry addresses for a caller, those in its data centre first."""
    ordered = sorted(entries, key=lambda e: (e.data_centre != data_centre, e.name))
    return tuple(entry.address for entry in ordered[:MAX_ADDRESSES])


def list_addresses(
    alive: collections.abc.Iterable[peers.Announcement],
    own: EntryAddress | None,
    data_centre: str,
) -> tuple[str, ...]:
    """Returns the addresses of the entries that accept callers.

    Args:
        alive: Latest announcements of the other entries that are alive.
        own: This entry; None if it stops.
        data_centre: Data centre of the caller.
    """
    entries = [
        EntryAddress(peer.name, peer.address, peer.data_centre)
        for peer in alive
        if peer.ready
    ]
    if own is not None:
        entries.append(own)
    return select_addresses(entries, data_centre)
