"""Parses the server-sent events of engines."""

from __future__ import annotations

MAX_EVENT_BYTES = 1 << 20
DONE_MARKER = b"[DONE]"
_DATA_PREFIX = b"data:"


class EventTooLongError(ValueError):
    """An event of an engine exceeds `MAX_EVENT_BYTES`."""


class EventParser:
    """Extracts the data of complete events from a stream of bytes.

    Attributes:
        is_done: Whether the marker of the stream's end has been received.
    """

    def __init__(self) -> None:
        self._buffer = b""
        self.is_done = False

    def feed(self, data: bytes) -> tuple[bytes, ...]:
        """Parses bytes and returns the data of the events that they complete.

        Raises:
            EventTooLongError: An event is larger than `MAX_EVENT_BYTES`.
        """
        text = (self._buffer + data).replace(b"\r\n", b"\n")
        blocks = text.split(b"\n\n")
        self._buffer = blocks.pop()
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLongError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        payloads: list[bytes] = []
        for block in blocks:
            payload = _extract_data(block)
            if payload == DONE_MARKER:
                self.is_done = True
                break
            if payload is not None:
                payloads.append(payload)
        return tuple(payloads)


def _extract_data(block: bytes) -> bytes | None:
    lines = [
        line[len(_DATA_PREFIX) :].removeprefix(b" ")
        for line in block.split(b"\n")
        if line.startswith(_DATA_PREFIX)
    ]
    return b"\n".join(lines) if lines else None
