"""Splits a stream of server-sent events into complete events."""

from __future__ import annotations

import dataclasses
import re

_TERMINATOR = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_MAX_TERMINATOR_BYTES = 4


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
        start = 0
        for terminator in _TERMINATOR.finditer(self._pending, self._searched):
            event = self._pending[start : terminator.end()]
            events.append(StreamEvent(event, _read_id(event)))
            start = terminator.end()
        if start:
            self._pending = self._pending[start:]
        # A terminator may have arrived in part.
        self._searched = max(0, len(self._pending) - _MAX_TERMINATOR_BYTES)
        return events


def _read_id(event: bytes) -> bytes | None:
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip()
    return None
