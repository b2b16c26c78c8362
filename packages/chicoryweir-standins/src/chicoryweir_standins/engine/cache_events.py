"""Cache events, published late and with gaps."""

from __future__ import annotations

import collections
import dataclasses
import typing

import xxhash

_RETAINED_EVENTS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A block was stored or evicted; `seq` counts the published and lost alike."""

    seq: int
    kind: str
    block: int


class CacheEventLog:
    """Bounded log of events.

    A share of the events is lost: their numbers are skipped.
    """

    def __init__(self, lag_s: float, gap_share: float, seed: int) -> None:
        """Publishes events `lag_s` late; the seed decides which are lost."""
        self._lag_s = lag_s
        self._gap_share = gap_share
        self._seed = seed
        self._next = 1
        self._events: collections.deque[tuple[float, CacheEvent]] = collections.deque(
            maxlen=_RETAINED_EVENTS
        )

    def append(self, kind: str, block: int, now: float) -> None:
        """Notes an event at `now`."""
        event = CacheEvent(self._next, kind, block)
        self._next += 1
        draw = xxhash.xxh64_intdigest(b"%d" % event.seq, self._seed) / 2.0**64
        if draw >= self._gap_share:
            self._events.append((now + self._lag_s, event))

    def read(self, after: int, now: float) -> dict[str, typing.Any]:
        """Returns the events past `after` that are due at `now`."""
        due = [e for at, e in self._events if at <= now and e.seq > after]
        return {
            "events": [dataclasses.asdict(event) for event in due],
            "next": due[-1].seq if due else after,
        }
