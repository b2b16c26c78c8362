"""Tests of what the results of operations show of the store."""

import asyncio

import pytest

from chicoryweir_daemon.runtime import platform_tasks
from chicoryweir_policy import store
from chicoryweir_policy.cores import commands


class Core:
    def set_handler(self, kind, handler):
        self.start = handler

    def post(self, event):
        pass


class Store:
    """Answers each operation when the test sets its result."""

    def __init__(self):
        self.results = {}

    async def run(self, operation):
        self.results[operation.keys[0]] = asyncio.get_running_loop().create_future()
        return await self.results[operation.keys[0]]


# Guards against a store that counts as unreachable since a call was lost long ago.
@pytest.mark.parametrize(("second", "expected"), [(True, True), (False, False)])
async def test_late_failure_is_no_outage_if_a_later_call_was_answered(second, expected):
    client, core, logged = Store(), Core(), []
    task = platform_tasks.StoreTask(client, core, logged.append)
    for number, key in enumerate("ab"):
        core.start(commands.RunOperation(number, store.Read((key,))))
        await asyncio.sleep(0.01)
    failure = store.Refused("no answer in time")
    client.results["b"].set_result(store.Rows(()) if second else failure)
    await asyncio.sleep(0.01)
    client.results["a"].set_result(failure)
    await asyncio.sleep(0.01)
    assert task.is_reachable is expected
    assert len(logged) == (not expected)
