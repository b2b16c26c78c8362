"""Keeps the tasks of a process running past unexpected errors, and logs these."""

from __future__ import annotations

import asyncio
import collections.abc
import traceback
import typing

from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_policy import catalogue

# Delay before a task is started again, so that one that keeps failing doesn't use the
# processor up.
RESTART_DELAY_S = 0.5
# Number of stack frames and of characters of an error in the log.
MAX_FRAMES = 3
MAX_DETAIL_LENGTH = 500


async def supervise(
    run: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    name: str,
    event_log: eventlog.EventLog,
) -> None:
    """Runs a task until it returns; starts it again after an unexpected error.

    An entry that ended instead would cut off its callers, and would read what caused
    the error again after its start.

    Args:
        run: Creates a run of the task; it keeps what it needs between two runs.
        name: Name of the task, for the log.
        event_log: Event log.
    """
    while True:
        try:
            return await run()
        except Exception as error:
            record_error(event_log, name, error)
        await asyncio.sleep(RESTART_DELAY_S)


def create_exception_handler(
    event_log: eventlog.EventLog,
) -> collections.abc.Callable[[asyncio.AbstractEventLoop, dict[str, typing.Any]], None]:
    """Returns a handler that logs the errors that nothing else catches."""

    def handle(loop: asyncio.AbstractEventLoop, context: dict[str, typing.Any]) -> None:
        error = context.get("exception")
        record_error(event_log, context["message"], error)

    return handle


def record_error(
    event_log: eventlog.EventLog, task: str, error: BaseException | None
) -> None:
    """Logs an unexpected error with the innermost frames of its stack."""
    frames = [] if error is None else traceback.extract_tb(error.__traceback__)
    event_log.record(
        catalogue.TASK_FAILED,
        task=task[:MAX_DETAIL_LENGTH],
        detail=repr(error)[:MAX_DETAIL_LENGTH],
        frames=[f"{frame.name}:{frame.lineno}" for frame in frames[-MAX_FRAMES:]],
    )
