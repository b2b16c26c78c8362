"""Structured logging of numbered events as JSON lines."""

from __future__ import annotations

import collections
import dataclasses
import os
import sys
import typing

import structlog

from chicoryweir_policy import catalogue
from chicoryweir_policy.cores import commands

MAX_KEPT_EVENTS = 2000
# Holds a few seconds of one entry's log lines at peak traffic.
MAX_BUFFERED_BYTES = 262_144


@dataclasses.dataclass(frozen=True, slots=True)
class LoggedEvent:
    """A logged event, kept for the operators' event listing.

    Attributes:
        sequence: Sequence number within this process, from 1.
        at: Wall-clock time, in seconds since the epoch.
        number: Number in the catalogue.
        name: Name in the catalogue.
        request_id: Request concerned, or an empty string.
        peer: Instance concerned, or an empty string.
        detail: Description of the event.
    """

    sequence: int
    at: float
    number: int
    name: str
    request_id: str
    peer: str
    detail: str


class EventLog:
    """Logs numbered events and keeps the `MAX_KEPT_EVENTS` most recent."""

    def __init__(self, instance: str) -> None:
        self._logger = structlog.get_logger().bind(instance=instance)
        self._kept: collections.deque[LoggedEvent] = collections.deque(
            maxlen=MAX_KEPT_EVENTS
        )
        self._sequence = 0

    def write(self, record: commands.LogEvent, at: float) -> None:
        """Logs one event.

        Args:
            record: The event.
            at: Wall-clock time, in seconds since the epoch.
        """
        self._sequence += 1
        name = catalogue.NAMES.get(record.number, "unknown")
        self._kept.append(
            LoggedEvent(
                self._sequence,
                at,
                record.number,
                name,
                record.request_id,
                record.peer,
                record.detail,
            )
        )
        self._logger.info(
            name,
            event_id=record.number,
            request_id=record.request_id,
            peer=record.peer,
            detail=record.detail,
        )

    def list_after(self, sequence: int) -> list[LoggedEvent]:
        """Returns the kept events with a greater sequence number."""
        return [event for event in self._kept if event.sequence > sequence]


class BoundedSink:
    """Writes lines to a non-blocking file descriptor through a bounded buffer.

    Data that the reader doesn't accept yet is buffered, up to `MAX_BUFFERED_BYTES`.
    Further lines are dropped; their count is logged once half of the buffer is free.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._dropped = 0

    def write(self, text: str) -> None:
        """Buffers and writes `text`, which consists of whole lines."""
        data = text.encode()
        if len(self._buffer) + len(data) > MAX_BUFFERED_BYTES:
            self._dropped += 1
        else:
            self._buffer += data
        self.flush()

    def flush(self) -> None:
        """Writes buffered data until the descriptor would block."""
        if self._dropped and len(self._buffer) < MAX_BUFFERED_BYTES // 2:
            self._buffer += self._encode_dropped_event()
            self._dropped = 0
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe, so the error can't be logged either.
                self._buffer.clear()
                return
            del self._buffer[:written]

    def _encode_dropped_event(self) -> bytes:
        number = catalogue.LINES_DROPPED
        line = f'{{"event":"{catalogue.NAMES[number]}","event_id":{number},'
        return f'{line}"count":{self._dropped}}}\n'.encode()


def create_output() -> BoundedSink:
    """Sets standard output to non-blocking and returns a sink on it."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    return BoundedSink(descriptor)


def configure_logs() -> None:
    """Configures structlog to write JSON lines to standard output, non-blocking."""
    file = typing.cast(typing.TextIO, create_output())
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(sort_keys=True),
        ],
        logger_factory=structlog.WriteLoggerFactory(file),
        cache_logger_on_first_use=True,
    )


def make_event_log(instance: str) -> EventLog:
    """Creates the event log of a daemon."""
    return EventLog(instance)
