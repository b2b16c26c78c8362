"""Tasks that call the platform on behalf of a core."""

from __future__ import annotations

import asyncio
import collections.abc
import math
import random
import typing

from chicoryweir_daemon.runtime import cores
from chicoryweir_platform import protocols
from chicoryweir_policy import catalogue
from chicoryweir_policy import store
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores import events

LIST_PERIOD_S = 1.0
INSTANCES_PER_LIST_PERIOD = 40
MAX_CONCURRENT_OPERATIONS = 16


class StoreTask:
    """Runs the store operations that the core requests."""

    def __init__(
        self,
        store_client: protocols.Store,
        core_task: cores.CoreTask,
        log: collections.abc.Callable[[commands.LogEvent], None],
    ) -> None:
        self._store = store_client
        self._core_task = core_task
        self._running: set[asyncio.Task[None]] = set()
        self._slots = asyncio.Semaphore(MAX_CONCURRENT_OPERATIONS)
        self._log = log
        self.is_reachable = True
        # When the latest operation was sent that was answered, loop time.
        self._answered_since = -math.inf
        core_task.set_handler(commands.RunOperation, self._start)

    def _start(self, command: commands.RunOperation) -> None:
        task = asyncio.ensure_future(self._run(command))
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    async def _run(self, command: commands.RunOperation) -> None:
        async with self._slots:
            sent_at = asyncio.get_running_loop().time()
            result = await self._store.run(command.operation)
        self._record_reachability(result, sent_at)
        self._core_task.post(events.StoreReplied(command.operation_id, result))

    def _record_reachability(self, result: store.Result, sent_at: float) -> None:
        """Records whether the store is reachable, by an operation sent at `sent_at`.

        The failure of one that was sent before another one that was answered says
        nothing of the present.
        """
        is_reachable = not isinstance(result, store.Refused | store.Unknown)
        if is_reachable:
            self._answered_since = max(self._answered_since, sent_at)
        elif sent_at < self._answered_since:
            return
        if is_reachable == self.is_reachable:
            return
        self.is_reachable = is_reachable
        number = catalogue.STORE_BACK if is_reachable else catalogue.STORE_UNREACHABLE
        self._log(
            commands.LogEvent(number, "", "", "" if is_reachable else str(result))
        )


async def poll_instances(
    listing: protocols.InstanceList, core_task: cores.CoreTask
) -> typing.NoReturn:
    """Polls the platform's list of instances, with a period that grows with the list.

    This bounds the bytes read per second as the fleet grows. A longer period is
    harmless: the list lags anyway, and a closed link reveals a lost instance earlier.
    """
    while True:
        listed = await listing.list_instances()
        period_factor = 1.0
        if not isinstance(listed, store.Refused):
            core_task.post(events.InstancesListed(listed))
            period_factor = max(1.0, len(listed) / INSTANCES_PER_LIST_PERIOD)
        await asyncio.sleep(LIST_PERIOD_S * period_factor * random.uniform(0.8, 1.2))
