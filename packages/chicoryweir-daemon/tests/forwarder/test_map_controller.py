"""Tests of the updates of several groups."""

import asyncio

from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_daemon.forwarder.mapcontrol import map_controller
from chicoryweir_policy.forwarding import endpoints


class Clock:
    def read(self):
        return 0.0


class Holder:
    holds = True


def register(fleet, instance, group):
    member = endpoints.GroupMember(group, 1, 0, 1, True)
    endpoint = endpoints.Endpoint(
        instance, "s", "10.0.0.1", len(instance) + 80, "dc", 5, False, 0.0, 1, member
    )
    fleet.endpoints.apply(endpoints.Registered(endpoint), 0.0)


# A shift of demand in all groups at once was answered in one group after the other,
# each of which took some tenths of a second to copy weights.
async def test_group_in_a_change_does_not_delay_the_others(settings, monkeypatch):
    monkeypatch.setattr(map_controller, "UPDATE_PERIOD_S", 0.001)
    fleet = fleets.Fleet(settings, Clock())
    register(fleet, "i-1", "slow")
    register(fleet, "i-22", "quick")
    controller = map_controller.MapController(
        fleet, Holder(), None, eventlog.EventLog("front-1")
    )
    begun = []
    updated_often = asyncio.Event()
    ended = asyncio.Event()

    async def update(name, members):
        begun.append(name)
        if name == "slow":
            try:
                await asyncio.Event().wait()
            finally:
                ended.set()
        if begun.count("quick") == 3:
            updated_often.set()

    monkeypatch.setattr(controller, "_update_group", update)
    task = asyncio.create_task(controller.run())
    async with asyncio.timeout(5.0):
        await updated_often.wait()
    assert begun.count("slow") == 1
    task.cancel()
    await asyncio.wait({task})
    assert ended.is_set()
