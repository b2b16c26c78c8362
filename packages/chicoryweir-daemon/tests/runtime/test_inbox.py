"""Tests of the inbox."""

from __future__ import annotations

import asyncio

from chicoryweir_daemon.runtime import inbox


async def test_reader_gets_all_queued_items_in_order() -> None:
    box: inbox.Inbox[int] = inbox.Inbox()
    box.put(1)
    box.put_all([2, 3])
    assert await box.get_all() == [1, 2, 3]
    assert len(box) == 0


async def test_waiting_reader_gets_all_items_in_one_batch() -> None:
    box: inbox.Inbox[int] = inbox.Inbox()
    reader = asyncio.ensure_future(box.get_all())
    await asyncio.sleep(0)
    box.put(1)
    box.put(2)
    assert await reader == [1, 2]


async def test_cancelled_reader_leaves_the_inbox_usable() -> None:
    box: inbox.Inbox[int] = inbox.Inbox()
    reader = asyncio.ensure_future(box.get_all())
    await asyncio.sleep(0)
    reader.cancel()
    await asyncio.gather(reader, return_exceptions=True)
    box.put(1)
    assert await box.get_all() == [1]
