"""Structured logging of numbered events as JSON lines.

Importing this module needs the standard library only, so that a failure to import
anything else can be logged.
"""

from __future__ import annotations

import collections
import dataclasses
import functools
import time
import typing

from chicoryweir_daemon import outputs
from chicoryweir_policy import catalogue

if typing.TYPE_CHECKING:
    from chicoryweir_policy.cores import commands

MAX_KEPT_EVENTS = 2000


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
        import structlog

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


def configure_logs() -> None:
    """Configures structlog to write JSON lines to standard output.

    What is printed to standard output and standard error is written without blocking,
    too.
    """
    import structlog

    standard_outputs = _open_outputs()
    standard_outputs.replace_streams()
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(sort_keys=True),
        ],
        logger_factory=structlog.WriteLoggerFactory(
            typing.cast(typing.TextIO, standard_outputs.output)
        ),
        cache_logger_on_first_use=True,
    )


def flush_remaining(timeout_s: float) -> None:
    """Writes the lines that a slow reader hasn't accepted yet.

    To be called at the end of a process, which would lose them.

    Args:
        timeout_s: Greatest time that this takes, in seconds.
    """
    _open_outputs().flush_until(time.monotonic() + timeout_s)


@functools.cache
def _open_outputs() -> outputs.StandardOutputs:
    return outputs.StandardOutputs()


def make_event_log(instance: str) -> EventLog:
    """Creates the event log of a daemon."""
    return EventLog(instance)
