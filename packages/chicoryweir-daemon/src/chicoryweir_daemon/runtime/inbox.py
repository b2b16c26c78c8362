"""Queue whose single reader fetches all queued items at once."""

from __future__ import annotations

import asyncio
import collections.abc
import typing

Item = typing.TypeVar("Item")


class Inbox(typing.Generic[Item]):
    """Unbounded queue from any task of the event loop to a single reader task.

    Cheaper than `asyncio.Queue`, which does work to wake a reader for every item; an
    entry passes every token of its callers' answers through two inboxes.
    """

    def __init__(self) -> None:
        self._items: list[Item] = []
        self._waiter: asyncio.Future[None] | None = None

    def __len__(self) -> int:
        return len(self._items)

    def put(self, item: Item) -> None:
        """Adds an item."""
        self._items.append(item)
        self._wake()

    def put_all(self, items: collections.abc.Iterable[Item]) -> None:
        """Adds items in order."""
        self._items.extend(items)
        self._wake()

    async def get_all(self) -> list[Item]:
        """Waits for at least one item; removes and returns all items in order."""
        while not self._items:
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        items, self._items = self._items, []
        return items

    def _wake(self) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
