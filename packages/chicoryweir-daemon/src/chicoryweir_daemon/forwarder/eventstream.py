"""Splits a stream of server-sent events into complete events."""

from __future__ import annotations

import dataclasses
import re

_TERMINATOR = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_MAX_TERMINATOR_BYTES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event.

    Attributes:
        data: The event with its terminating blank line.
        event_id: Its id, or None.
        is_empty: Whether it has no data, such as a comment that keeps a stream alive.
    """

    data: bytes
    event_id: bytes | None
    is_empty: bool


class EventSplitter:
    """Buffers bytes until an event is complete."""

    def __init__(self) -> None:
        self._pending = b""
        self._searched = 0

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds part of an event."""
        return bool(self._pending.strip())

    @property
    def pending_bytes(self) -> int:
        """Size of the part of an event that the buffer holds, in bytes."""
        return len(self._pending)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Adds bytes; returns the events that they complete."""
        self._pending += data
        events: list[StreamEvent] = []
        start = 0
        for terminator in _TERMINATOR.finditer(self._pending, self._searched):
            event = self._pending[start : terminator.end()]
            events.append(_parse_event(event))
            start = terminator.end()
        if start:
            self._pending = self._pending[start:]
        # A terminator may have arrived in part.
        self._searched = max(0, len(self._pending) - _MAX_TERMINATOR_BYTES)
        return events


def _parse_event(data: bytes) -> StreamEvent:
    event_id, is_empty = None, True
    for line in data.splitlines():
        if event_id is None and line.startswith(b"id:"):
            event_id = line[3:].strip()
        is_empty = is_empty and not line.startswith(b"data")
    return StreamEvent(data, event_id, is_empty)
