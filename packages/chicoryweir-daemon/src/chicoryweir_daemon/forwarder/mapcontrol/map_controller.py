"""Controls the expert maps of all groups while this entry holds the lease."""

from __future__ import annotations

import asyncio

from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_daemon.forwarder import supervision
from chicoryweir_daemon.forwarder.mapcontrol import group_controller
from chicoryweir_daemon.forwarder.mapcontrol import lease_holder
from chicoryweir_daemon.lifecycle import eventloop
from chicoryweir_policy.forwarding import endpoints

# Pause between two rounds of updates. A step takes at most about this time; the counts
# of a few steps are enough to detect a shift in demand.
UPDATE_PERIOD_S = 0.12


class MapController:
    """Updates the maps of all groups, each in a task of its own.

    A change takes some tenths of a second, most of which ranks need to copy weights.
    One group must not wait for another meanwhile, as demand often shifts in all of them
    at the same time.
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        holder: lease_holder.LeaseHolder,
        client: group_controller.RankClient,
        event_log: eventlog.EventLog,
    ) -> None:
        self._fleet = fleet
        self._holder = holder
        self._client = client
        self._event_log = event_log
        self._groups: dict[str, group_controller.GroupController] = {}
        self._updates: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Updates the groups until cancelled."""
        try:
            while True:
                await asyncio.sleep(UPDATE_PERIOD_S)
                if not self._holder.holds:
                    self._groups.clear()
                    self._fleet.set_slowdowns({}, self._fleet.clock.read())
                    continue
                self._start_updates()
                slowdowns: dict[str, float] = {}
                for controller in self._groups.values():
                    slowdowns |= controller.get_slowdowns()
                self._fleet.set_slowdowns(slowdowns, self._fleet.clock.read())
        finally:
            await eventloop.cancel_tasks(self._updates.values())

    def _start_updates(self) -> None:
        """Starts an update of each group whose last update has ended."""
        self._updates = {
            name: task for name, task in self._updates.items() if not task.done()
        }
        for name, members in self._find_groups().items():
            if name not in self._updates:
                self._updates[name] = asyncio.create_task(
                    self._update_guarded(name, members)
                )

    async def _update_guarded(
        self, name: str, members: dict[int, endpoints.Endpoint]
    ) -> None:
        """Updates a group; logs an error and starts over with the group after it."""
        try:
            await self._update_group(name, members)
        except Exception as error:
            supervision.record_error(self._event_log, f"expert map of {name}", error)
            self._groups.pop(name, None)

    def _find_groups(self) -> dict[str, dict[int, endpoints.Endpoint]]:
        found: dict[str, dict[int, endpoints.Endpoint]] = {}
        for endpoint in self._fleet.endpoints.list_current():
            if endpoint.member is not None:
                by_rank = found.setdefault(endpoint.member.group, {})
                by_rank[endpoint.member.rank] = endpoint
        return found

    async def _update_group(
        self, name: str, members: dict[int, endpoints.Endpoint]
    ) -> None:
        table = self._fleet.table
        first_member = next(iter(members.values()))
        service = None if table is None else table.get_service(first_member.service)
        if service is None or service.engine is None or service.engine.experts is None:
            return
        controller = self._groups.get(name)
        if controller is None:
            controller = group_controller.GroupController(
                name, self._fleet, self._holder, self._client, self._event_log
            )
            self._groups[name] = controller
        await controller.update(members, service.engine, service.engine.experts)
