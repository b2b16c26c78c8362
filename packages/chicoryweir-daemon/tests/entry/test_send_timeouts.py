"""Tests of the time limit for sends to callers that have stopped reading."""

from __future__ import annotations

import asyncio

from chicoryweir_daemon.entry import send_timeouts


async def test_answer_is_cancelled_after_send_timeout() -> None:
    timers = send_timeouts.SendTimers()

    async def send() -> None:
        timers.add("r1").started_at = 100.0
        await asyncio.Event().wait()

    task = asyncio.ensure_future(send())
    await asyncio.sleep(0)
    assert timers.cancel_expired(100.0 + send_timeouts.SEND_TIMEOUT_S) == 0
    assert timers.cancel_expired(101.0 + send_timeouts.SEND_TIMEOUT_S) == 1
    await asyncio.gather(task, return_exceptions=True)
    assert task.cancelled()


async def test_answer_between_sends_is_not_cancelled() -> None:
    timers = send_timeouts.SendTimers()
    timer = timers.add("r1")
    timer.start()
    timer.stop()
    assert timers.cancel_expired(1e12) == 0
