"""Log of cache events, published with a lag and with gaps."""

from __future__ import annotations

import collections
import dataclasses
import typing

import xxhash

_MAX_RETAINED_EVENTS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A block was stored or evicted; `seq` counts lost events as well."""

    seq: int
    kind: str
    block: int


class CacheEventLog:
    """Bounded log of events.

    A share of the events is lost, which leaves gaps in the sequence numbers.
    """

    def __init__(self, lag_s: float, gap_share: float, seed: int) -> None:
        """Publishes events after `lag_s`; the seed selects the lost ones."""
        self._lag_s = lag_s
        self._gap_share = gap_share
        self._seed = seed
        self._next_seq = 1
        self._events: collections.deque[tuple[float, CacheEvent]] = collections.deque(
            maxlen=_MAX_RETAINED_EVENTS
        )

    def append(self, kind: str, block: int, now: float) -> None:
        """Records an event at `now`."""
        event = CacheEvent(self._next_seq, kind, block)
        self._next_seq += 1
        fraction = xxhash.xxh64_intdigest(b"%d" % event.seq, self._seed) / 2.0**64
        if fraction >= self._gap_share:
            self._events.append((now + self._lag_s, event))

    def read(self, after: int, now: float) -> dict[str, typing.Any]:
        """Returns the events after `after` that are published by `now`."""
        published = [e for at, e in self._events if at <= now and e.seq > after]
        return {
            "events": [dataclasses.asdict(event) for event in published],
            "next": published[-1].seq if published else after,
        }
