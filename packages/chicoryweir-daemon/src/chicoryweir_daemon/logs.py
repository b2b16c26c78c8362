"""Structured logs of numbered events."""

from __future__ import annotations

import collections
import dataclasses
import sys

import structlog

from chicoryweir_policy import catalogue
from chicoryweir_policy.cores import commands

MAX_KEPT = 2000
_NAMES = {kind.number: kind.name for kind in catalogue.KINDS}


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
        self._kept: collections.deque[LoggedEvent] = collections.deque(maxlen=MAX_KEPT)
        self._sequence = 0

    def write(self, record: commands.Record, at: float) -> None:
        """Writes one event.

        Args:
            record: The event.
            at: Wall-clock time, in seconds.
        """
        self._sequence += 1
        name = _NAMES.get(record.number, "unknown")
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


def configure_logs() -> None:
    """Sets structlog to write JSON lines on standard error."""
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(sort_keys=True),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


def make_event_log(instance: str) -> EventLog:
    """Makes the event log of a daemon."""
    return EventLog(instance)
