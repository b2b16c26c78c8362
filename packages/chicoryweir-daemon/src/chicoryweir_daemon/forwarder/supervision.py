"""Keeps the tasks of a process running past unexpected errors, and logs these."""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import contextlib
import traceback
import typing

from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_policy import catalogue

# Delay before a task is started again, so that one that keeps failing doesn't use the
# processor up.
RESTART_DELAY_S = 0.5
# Interval in which only the first of equal errors is logged.
REPEAT_PERIOD_S = 1.0
# Number of different errors whose last report is kept.
MAX_REPORTED = 100
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


@contextlib.contextmanager
def isolate_errors(step: str) -> collections.abc.Iterator[None]:
    """Keeps an unexpected error in a step away from what follows it.

    For records of what happened: an answer must not be cut off since one of them can't
    be made. The error goes to the event loop's exception handler, which logs it.

    Args:
        step: What is recorded, for the log.
    """
    try:
        yield
    except Exception as error:
        context = {"message": step, "exception": error}
        asyncio.get_running_loop().call_exception_handler(context)


def create_exception_handler(
    event_log: eventlog.EventLog,
) -> collections.abc.Callable[[asyncio.AbstractEventLoop, dict[str, typing.Any]], None]:
    """Returns a handler that logs the errors that nothing else catches.

    An error that repeats is logged once in `REPEAT_PERIOD_S`, with the number of those
    that were left out.
    """
    reported_at: dict[str, float] = {}
    omitted: collections.Counter[str] = collections.Counter()

    def handle(loop: asyncio.AbstractEventLoop, context: dict[str, typing.Any]) -> None:
        error = context.get("exception")
        message, now = context["message"], loop.time()
        key = f"{message} {error!r}"[:MAX_DETAIL_LENGTH]
        if now - reported_at.get(key, -REPEAT_PERIOD_S) < REPEAT_PERIOD_S:
            omitted[key] += 1
            return
        if len(reported_at) >= MAX_REPORTED:
            reported_at.clear()
        reported_at[key] = now
        record_error(event_log, message, error, omitted.pop(key, 0))

    return handle


def record_error(
    event_log: eventlog.EventLog,
    task: str,
    error: BaseException | None,
    omitted: int = 0,
) -> None:
    """Logs an unexpected error with the innermost frames of its stack.

    Args:
        event_log: Event log.
        task: Task that the error occurred in.
        error: The error, if there is one.
        omitted: Number of equal errors that were not logged before this one.
    """
    frames = [] if error is None else traceback.extract_tb(error.__traceback__)
    event_log.record(
        catalogue.TASK_FAILED,
        task=task[:MAX_DETAIL_LENGTH],
        omitted=omitted,
        detail=repr(error)[:MAX_DETAIL_LENGTH],
        frames=[f"{frame.name}:{frame.lineno}" for frame in frames[-MAX_FRAMES:]],
    )
