"""Ranks the addresses of the entries for a caller."""

from __future__ import annotations

import collections.abc
import dataclasses

import xxhash

from chicoryweir_policy.routing import loads

DEAD_AFTER_S = 3.0
MAX_ADDRESSES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class EntryView:
    """What an entry knows of an entry, itself included.

    Attributes:
        instance: Its instance.
        ip: Address for callers.
        port: Port for callers.
        place: Its place.
        leaving: Whether callers must no longer be sent to it.
        heard_at: Monotonic time at which it was last heard of, in seconds.
    """

    instance: str
    ip: str
    port: int
    place: str
    leaving: bool
    heard_at: float


def rank_addresses(
    entries: collections.abc.Iterable[EntryView],
    place: str,
    seed: int,
    now: float,
    place_latency_s: collections.abc.Mapping[str, float] | None = None,
    limit: int = MAX_ADDRESSES,
) -> tuple[EntryView, ...]:
    """Ranks the entries that a caller may use.

    Args:
        entries: All entries known.
        place: Place near the caller.
        seed: Hash of the caller; equal seeds get equal orders, others are spread.
        now: Monotonic time in seconds.
        place_latency_s: One-way latency from `place` to others, in seconds.
        limit: Most entries returned.

    Returns:
        Live entries that are not leaving, nearest first.
    """
    latency_s = place_latency_s or {}
    live = [
        entry
        for entry in entries
        if not entry.leaving and now - entry.heard_at <= DEAD_AFTER_S
    ]

    def order(entry: EntryView) -> tuple[float, int]:
        distance_s = latency_s.get(entry.place, loads.OTHER_PLACE_LATENCY_S)
        if entry.place == place:
            distance_s = 0.0
        key = entry.instance.encode()
        return distance_s, xxhash.xxh64_intdigest(key, seed=seed)

    return tuple(sorted(live, key=order)[:limit])
