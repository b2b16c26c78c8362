"""Queue with one reader, which takes all that waits at once."""

from __future__ import annotations

import asyncio
import collections.abc
import typing

Item = typing.TypeVar("Item")


class Inbox(typing.Generic[Item]):
    """Items from any task of this loop for the one task that owns the inbox.

    It costs less than `asyncio.Queue`, whose every item wakes or locks something; an
    entry passes each token of its callers through two of them.
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
        """Returns all items, once there is at least one."""
        while not self._items:
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        taken, self._items = self._items, []
        return taken

    def _wake(self) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
