"""Splits a stream of server-sent events into whole events."""

from __future__ import annotations

import dataclasses

_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event with the blank line that ends it; `event_id` is None without one."""

    data: bytes
    event_id: bytes | None


class EventSplitter:
    """Collects bytes until an event is whole."""

    def __init__(self) -> None:
        self._pending = b""

    @property
    def has_rest(self) -> bool:
        """Whether part of an event is left over."""
        return bool(self._pending.strip())

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Returns the events that the bytes complete."""
        self._pending += data
        found: list[StreamEvent] = []
        while True:
            end = _find_end(self._pending)
            if end < 0:
                return found
            event, self._pending = self._pending[:end], self._pending[end:]
            found.append(StreamEvent(event, _read_id(event)))


def _find_end(data: bytes) -> int:
    """Returns the length of the first whole event, or -1."""
    ends = [
        position + len(mark) for mark in _ENDS if (position := data.find(mark)) >= 0
    ]
    return min(ends, default=-1)


def _read_id(event: bytes) -> bytes | None:
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip()
    return None
