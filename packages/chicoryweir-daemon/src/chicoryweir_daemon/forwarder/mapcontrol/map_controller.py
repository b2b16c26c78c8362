"""Controls the expert maps of all groups while this entry holds the lease."""

from __future__ import annotations

import asyncio

from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_daemon.forwarder import supervision
from chicoryweir_daemon.forwarder.mapcontrol import group_controller
from chicoryweir_daemon.forwarder.mapcontrol import lease_holder
from chicoryweir_policy.forwarding import endpoints

# Pause between two rounds of updates. A step takes at most about this time; the counts
# of a few steps are enough to detect a shift in demand.
UPDATE_PERIOD_S = 0.12


class MapController:
    """Updates the maps of all groups, one group after the other."""

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

    async def run(self) -> None:
        """Updates the groups until cancelled."""
        while True:
            await asyncio.sleep(UPDATE_PERIOD_S)
            if not self._holder.holds:
                self._groups.clear()
                self._fleet.set_slowdowns({}, self._fleet.clock.read())
                continue
            for name, members in self._find_groups().items():
                try:
                    await self._update_group(name, members)
                except Exception as error:
                    supervision.record_error(
                        self._event_log, f"expert map of {name}", error
                    )
                    self._groups.pop(name, None)
            slowdowns: dict[str, float] = {}
            for controller in self._groups.values():
                slowdowns |= controller.get_slowdowns()
            self._fleet.set_slowdowns(slowdowns, self._fleet.clock.read())

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
