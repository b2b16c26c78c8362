"""Task that looks after all groups while this entry holds the lease."""

from __future__ import annotations

import asyncio

from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_daemon.forwarder.stewardship import care as cares
from chicoryweir_daemon.forwarder.stewardship import holder as holders
from chicoryweir_policy.forwarding import endpoints

# Time between looks at a group, in seconds. Counts of a few steps tell a shift, and
# steps last up to this long.
PERIOD_S = 0.12


class Steward:
    """Looks after the groups of all services, one after the other."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        holder: holders.Holder,
        client: cares.RankClient,
        journal: eventlog.EventLog,
    ) -> None:
        self._fleet = fleet
        self._holder = holder
        self._client = client
        self._journal = journal
        self._groups: dict[str, cares.GroupCare] = {}

    async def run(self) -> None:
        """Looks after the groups until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S)
            if not self._holder.holds:
                self._groups.clear()
                self._fleet.set_slowdowns({}, self._fleet.clock.read())
                continue
            for name, members in self._find_groups().items():
                await self._look_after(name, members)
            paces: dict[str, float] = {}
            for care in self._groups.values():
                paces |= care.list_slow()
            self._fleet.set_slowdowns(paces, self._fleet.clock.read())

    def _find_groups(self) -> dict[str, dict[int, endpoints.Endpoint]]:
        found: dict[str, dict[int, endpoints.Endpoint]] = {}
        for endpoint in self._fleet.endpoints.list_current():
            if endpoint.member is not None:
                by_rank = found.setdefault(endpoint.member.group, {})
                by_rank[endpoint.member.rank] = endpoint
        return found

    async def _look_after(
        self, name: str, members: dict[int, endpoints.Endpoint]
    ) -> None:
        table = self._fleet.table
        first = next(iter(members.values()))
        service = None if table is None else table.get_service(first.service)
        if service is None or service.engine is None or service.engine.experts is None:
            return
        care = self._groups.get(name)
        if care is None:
            care = cares.GroupCare(
                name, self._fleet, self._holder, self._client, self._journal
            )
            self._groups[name] = care
        await care.look(members, service.engine, service.engine.experts)
