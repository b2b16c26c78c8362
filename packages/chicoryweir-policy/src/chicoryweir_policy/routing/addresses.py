"""Ranks the addresses of the entries for a caller."""

from __future__ import annotations

import collections.abc
import dataclasses

import xxhash

from chicoryweir_policy.routing import loads

ENTRY_TIMEOUT_S = 3.0
MAX_ADDRESSES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class EntryView:
    """What an entry knows of an entry, itself included.

    Attributes:
        instance: Its instance.
        ip: Address for callers.
        port: Port for callers.
        data_centre: Its data_centre.
        leaving: Whether callers must no longer be sent to it.
        last_seen_at: Monotonic time at which it was last heard of, in seconds.
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
    """Ranks the entries that a caller may use.

    Args:
        entries: All entries known.
        data_centre: Place near the caller.
        seed: Hash of the caller; equal seeds get equal orders, others are spread.
        now: Monotonic time in seconds.
        latency_by_data_centre_s: One-way latency from `data_centre` to others, in seconds.
        limit: Most entries returned.

    Returns:
        Live entries that are not leaving, nearest first.
    """
    latency_s = latency_by_data_centre_s or {}
    live = [
        entry
        for entry in entries
        if not entry.leaving and now - entry.last_seen_at <= ENTRY_TIMEOUT_S
    ]

    def order(entry: EntryView) -> tuple[float, int]:
        distance_s = latency_s.get(entry.data_centre, loads.OTHER_DATA_CENTRE_LATENCY_S)
        if entry.data_centre == data_centre:
            distance_s = 0.0
        key = entry.instance.encode()
        return distance_s, xxhash.xxh64_intdigest(key, seed=seed)

    return tuple(sorted(live, key=order)[:limit])
