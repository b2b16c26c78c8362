"""Structured logging of numbered events as JSON lines.

Importing this module needs the standard library only, so that a failure to import
anything else can be logged.
"""

from __future__ import annotations

import collections
import dataclasses
import datetime
import functools
import json
import time
import traceback
import typing

from chicoryweir_daemon import outputs
from chicoryweir_policy import catalogue

if typing.TYPE_CHECKING:
    from chicoryweir_policy.cores import commands

MAX_KEPT_EVENTS = 2000
# Number of stack frames and of characters of an error in the log.
MAX_FRAMES = 3
MAX_DETAIL_LENGTH = 500
# Greatest time for which the end of a failed process waits for the reader of its log.
FAILURE_FLUSH_S = 0.2


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


def record_failure(error: BaseException, instance: str) -> None:
    """Logs the error that ends the process, also before `configure_logs`.

    Args:
        error: The error.
        instance: Instance that ends, or an empty string if it isn't known yet.
    """
    number = catalogue.DAEMON_FAILED
    line = {
        "detail": _describe(error),
        "event": catalogue.NAMES[number],
        "event_id": number,
        "frames": _list_frames(error),
        "instance": instance,
        "timestamp": _format_now(),
    }
    _open_outputs().output.write_last(json.dumps(line) + "\n")
    flush_remaining(FAILURE_FLUSH_S)


@functools.cache
def _open_outputs() -> outputs.StandardOutputs:
    return outputs.StandardOutputs()


def _describe(error: BaseException) -> str:
    try:
        return repr(error)[:MAX_DETAIL_LENGTH]
    except Exception:
        return type(error).__name__


def _list_frames(error: BaseException) -> list[str]:
    # `traceback.extract_tb` would read source files.
    frames = [
        f"{frame.f_code.co_name}:{line}"
        for frame, line in traceback.walk_tb(error.__traceback__)
    ]
    return frames[-MAX_FRAMES:]


def _format_now() -> str:
    now = datetime.datetime.now(datetime.UTC).replace(tzinfo=None)
    return f"{now.isoformat()}Z"


def make_event_log(instance: str) -> EventLog:
    """Creates the event log of a daemon."""
    return EventLog(instance)
