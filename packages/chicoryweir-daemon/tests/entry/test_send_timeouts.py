"""Tests of the bound on callers that take no data."""

from __future__ import annotations

import asyncio

from chicoryweir_daemon.entry import send_timeouts


async def test_answer_that_waits_too_long_is_ended() -> None:
    kept = send_timeouts.Senders()

    async def send() -> None:
        kept.open("r1").since = 100.0
        await asyncio.Event().wait()

    task = asyncio.ensure_future(send())
    await asyncio.sleep(0)
    assert kept.sweep(100.0 + send_timeouts.SEND_TIMEOUT_S) == 0
    assert kept.sweep(101.0 + send_timeouts.SEND_TIMEOUT_S) == 1
    await asyncio.gather(task, return_exceptions=True)
    assert task.cancelled()


async def test_answer_between_sends_is_left_alone() -> None:
    kept = send_timeouts.Senders()
    sender = kept.open("r1")
    sender.begin()
    sender.end()
    assert kept.sweep(1e12) == 0
