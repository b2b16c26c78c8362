"""Splits a stream of server-sent events into complete events."""

from __future__ import annotations

import dataclasses

_TERMINATORS = (b"\n\n", b"\r\n\r\n", b"\r\r")
_MAX_TERMINATOR_BYTES = max(map(len, _TERMINATORS))


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event with its terminating blank line, and its id or None."""

    data: bytes
    event_id: bytes | None


class EventSplitter:
    """Buffers bytes until an event is complete."""

    def __init__(self) -> None:
        self._pending = b""
        self._searched = 0

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds part of an event."""
        return bool(self._pending.strip())

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Adds bytes; returns the events that they complete."""
        self._pending += data
        events: list[StreamEvent] = []
        while True:
            end = _find_end(self._pending, self._searched)
            if end < 0:
                # A terminator may have arrived in part.
                self._searched = max(0, len(self._pending) - _MAX_TERMINATOR_BYTES)
                return events
            event, self._pending = self._pending[:end], self._pending[end:]
            self._searched = 0
            events.append(StreamEvent(event, _read_id(event)))


def _find_end(data: bytes, start: int) -> int:
    """Returns the length of the first complete event, or -1.

    Args:
        data: Bytes received and not yet split.
        start: Position before which no terminator begins.
    """
    ends = [
        position + len(terminator)
        for terminator in _TERMINATORS
        if (position := data.find(terminator, start)) >= 0
    ]
    return min(ends, default=-1)


def _read_id(event: bytes) -> bytes | None:
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip()
    return None
