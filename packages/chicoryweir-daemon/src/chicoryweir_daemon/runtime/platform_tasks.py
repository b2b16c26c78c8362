"""Tasks that speak with the platform for a core."""

from __future__ import annotations

import asyncio
import collections.abc
import random
import typing

from chicoryweir_daemon.runtime import cores
from chicoryweir_platform import protocols
from chicoryweir_policy import catalogue
from chicoryweir_policy import store
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores import events

LIST_PERIOD_S = 1.0
LIST_PAGE_ROWS = 40
MAX_CONCURRENT = 16


class StoreTask:
    """Runs the core's operations on the store."""

    def __init__(
        self,
        store_client: protocols.Store,
        core: cores.CoreTask,
        log: collections.abc.Callable[[commands.Record], None],
    ) -> None:
        self._store = store_client
        self._core = core
        self._running: set[asyncio.Task[None]] = set()
        self._slots = asyncio.Semaphore(MAX_CONCURRENT)
        self._log = log
        self.is_reachable = True
        core.set_handler(commands.RunOperation, self._start)

    def _start(self, command: commands.RunOperation) -> None:
        task = asyncio.ensure_future(self._run(command))
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    async def _run(self, command: commands.RunOperation) -> None:
        async with self._slots:
            result = await self._store.run(command.operation)
        self._note(result)
        self._core.post(events.StoreReplied(command.operation_id, result))

    def _note(self, result: store.Result) -> None:
        is_reachable = not isinstance(result, store.Refused | store.Unknown)
        if is_reachable == self.is_reachable:
            return
        self.is_reachable = is_reachable
        number = catalogue.STORE_BACK if is_reachable else catalogue.STORE_UNREACHABLE
        self._log(commands.Record(number, "", "", "" if is_reachable else str(result)))


async def poll_instances(
    listing: protocols.InstanceList, core: cores.CoreTask
) -> typing.NoReturn:
    """Reads the platform's list of instances; a long list less often.

    So the bytes of it in a second stay the same as the fleet grows. Links tell sooner
    than the list, which lags, which instances are gone.
    """
    while True:
        listed = await listing.list_instances()
        pages = 1.0
        if not isinstance(listed, store.Refused):
            core.post(events.InstancesListed(listed))
            pages = max(1.0, len(listed) / LIST_PAGE_ROWS)
        await asyncio.sleep(LIST_PERIOD_S * pages * random.uniform(0.8, 1.2))
