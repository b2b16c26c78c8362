"""Structured logs of numbered events."""

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
# Some seconds of lines on the heaviest day of one entry.
MAX_BUFFERED_BYTES = 262_144


@dataclasses.dataclass(frozen=True, slots=True)
class LoggedEvent:
    """A logged event, kept for operators who ask.

    Attributes:
        sequence: Count of events of this process.
        at: Wall-clock time, in seconds.
        number: Number in the catalogue.
        name: Name in the catalogue.
        request_id: Request it is about, or an empty string.
        peer: Instance it is about, or an empty string.
        detail: What happened.
    """

    sequence: int
    at: float
    number: int
    name: str
    request_id: str
    peer: str
    detail: str


class EventLog:
    """Writes numbered events and keeps the most recent."""

    def __init__(self, instance: str) -> None:
        self._logger = structlog.get_logger().bind(instance=instance)
        self._kept: collections.deque[LoggedEvent] = collections.deque(
            maxlen=MAX_KEPT_EVENTS
        )
        self._sequence = 0

    def write(self, record: commands.Record, at: float) -> None:
        """Writes one event.

        Args:
            record: The event.
            at: Wall-clock time, in seconds.
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
        """Returns the kept events after a sequence."""
        return [event for event in self._kept if event.sequence > sequence]


class BoundedSink:
    """Writes lines to a descriptor without ever waiting for its reader.

    What the reader doesn't take is held up to `MAX_BUFFERED_BYTES`; lines beyond that are
    dropped, and their number is written once there is room again.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._held = bytearray()
        self._dropped = 0

    def write(self, text: str) -> None:
        """Takes whole lines."""
        data = text.encode()
        if len(self._held) + len(data) > MAX_BUFFERED_BYTES:
            self._dropped += 1
        else:
            self._held += data
        self.flush()

    def flush(self) -> None:
        """Writes what the reader takes now."""
        if self._dropped and len(self._held) < MAX_BUFFERED_BYTES // 2:
            self._held += self._describe_dropped()
            self._dropped = 0
        while self._held:
            try:
                written = os.write(self._descriptor, self._held)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is no place left to say so.
                self._held.clear()
                return
            del self._held[:written]

    def _describe_dropped(self) -> bytes:
        number = catalogue.LINES_DROPPED
        line = f'{{"event":"{catalogue.NAMES[number]}","event_id":{number},'
        return f'{line}"count":{self._dropped}}}\n'.encode()


def create_output() -> BoundedSink:
    """Creates a sink on standard output, which is set not to block."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    return BoundedSink(descriptor)


def configure_logs() -> None:
    """Sets structlog to write JSON lines on standard output, without blocking."""
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
    """Makes the event log of a daemon."""
    return EventLog(instance)
