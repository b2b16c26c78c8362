"""What a process needs from outside to start, and waits for."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import typing

from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_policy import catalogue

# Interval between two attempts, and between two log lines on the same error.
RETRY_S = 0.1
REPORT_PERIOD_S = 5.0
# Time for which a settings file must stay unchanged; it may be read during a write.
SETTLE_S = 0.05
MAX_DETAIL_LENGTH = 500

_Result = typing.TypeVar("_Result")
_SettingsT = typing.TypeVar("_SettingsT", covariant=True)


class SettingsSource(typing.Protocol[_SettingsT]):
    """Source of the settings of a process."""

    def has_changed(self) -> bool:
        """Returns whether the settings changed since the last call."""

    def load(self) -> _SettingsT:
        """Loads the settings.

        Raises:
            ValueError: The settings are invalid; the message names the key.
        """


async def load_settings(
    source: SettingsSource[_Result], stop: asyncio.Event, event_log: eventlog.EventLog
) -> _Result | None:
    """Loads the settings once they are valid; returns None after a stop request."""

    async def load() -> _Result:
        source.has_changed()
        settings = source.load()
        await asyncio.sleep(SETTLE_S)
        if source.has_changed():
            raise ValueError("the settings file was changed while it was read")
        return settings

    return await _retry(
        load, ValueError, stop, event_log, catalogue.SETTINGS_FILE_BAD, ""
    )


async def open_listener(
    open_socket: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    address: str,
    stop: asyncio.Event,
    event_log: eventlog.EventLog,
) -> bool:
    """Opens a listener once its address is free; returns False after a stop request.

    The process before may still use its ports while it stops, an address may not be
    configured yet, and all descriptors may be in use for a while.

    Args:
        open_socket: Opens the listener; raises OSError if that is not possible now.
        address: Address, for the log.
        stop: Set once the process has to stop.
        event_log: Event log.
    """

    async def attempt() -> bool:
        await open_socket()
        return True

    opened = await _retry(
        attempt, OSError, stop, event_log, catalogue.LISTENER_UNAVAILABLE, address
    )
    return opened is not None


async def _retry(
    attempt: collections.abc.Callable[[], collections.abc.Awaitable[_Result]],
    error_type: type[Exception],
    stop: asyncio.Event,
    event_log: eventlog.EventLog,
    event: int,
    address: str,
) -> _Result | None:
    """Makes attempts until one succeeds; logs each new error, and a lasting one."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    reported, reported_at = "", 0.0
    while not stop.is_set():
        try:
            return await attempt()
        except error_type as error:
            detail = str(error)[:MAX_DETAIL_LENGTH]
        now = loop.time()
        if detail != reported or now - reported_at >= REPORT_PERIOD_S:
            reported, reported_at = detail, now
            event_log.record(
                event,
                peer=address,
                detail=detail,
                waiting_s=round(now - started_at, 3),
                next_attempt_s=RETRY_S,
            )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RETRY_S):
                await stop.wait()
    return None
