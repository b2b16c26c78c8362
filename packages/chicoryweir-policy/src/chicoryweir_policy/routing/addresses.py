"""Ranks the addresses of entries for a caller."""

from __future__ import annotations

import collections.abc
import dataclasses

import xxhash

from chicoryweir_policy.routing import loads

ENTRY_TIMEOUT_S = 3.0
MAX_ADDRESSES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class EntryView:
    """Status of an entry, as known to another entry or to itself.

    Attributes:
        instance: Instance of the entry.
        ip: Address for callers.
        port: Port for callers.
        data_centre: Data centre of the entry.
        leaving: Whether the entry is draining, so that callers must not be sent to it.
        last_seen_at: Monotonic time of its last status message, in seconds.
    """

    instance: str
    ip: str
    port: int
    data_centre: str
    leaving: bool
    last_seen_at: float


def rank_addresses(
    entries: collections.abc.Iterable[EntryView],
    data_centre: str,
    seed: int,
    now: float,
    latency_by_data_centre_s: collections.abc.Mapping[str, float] | None = None,
    limit: int = MAX_ADDRESSES,
) -> tuple[EntryView, ...]:
    """Ranks the entries that a caller may connect to.

    Args:
        entries: All known entries.
        data_centre: Data centre near the caller.
        seed: Hash of the caller. It determines the order within a data centre, so that
            callers are spread and each gets a stable order.
        now: Monotonic time in seconds.
        latency_by_data_centre_s: One-way latency from `data_centre` to other data
            centres, in seconds.
        limit: Maximum number of entries returned.

    Returns:
        Live entries that are not leaving, nearest data centre first.
    """
    latency_s = latency_by_data_centre_s or {}
    live = [
        entry
        for entry in entries
        if not entry.leaving and now - entry.last_seen_at <= ENTRY_TIMEOUT_S
    ]

    def make_sort_key(entry: EntryView) -> tuple[float, int]:
        distance_s = latency_s.get(entry.data_centre, loads.OTHER_DATA_CENTRE_LATENCY_S)
        if entry.data_centre == data_centre:
            distance_s = 0.0
        name = entry.instance.encode()
        return distance_s, xxhash.xxh64_intdigest(name, seed=seed)

    return tuple(sorted(live, key=make_sort_key)[:limit])
