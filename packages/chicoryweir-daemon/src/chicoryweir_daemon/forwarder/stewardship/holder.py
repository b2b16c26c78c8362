"""Task that holds the lease of a duty, so that one entry at a time has it."""

from __future__ import annotations

import asyncio
import time

from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_daemon.forwarder import journal as journals
from chicoryweir_platform import protocols
from chicoryweir_policy import catalogue
from chicoryweir_policy.groups import leases

DUTY = "expert-maps"
# A holder that is lost is followed within 5 s: a group may be held meanwhile.
LEASE = leases.LeaseSettings(ttl_s=3.0, margin_s=0.6, period_s=1.0, jitter=0.2)
POLL_S = 0.25
# Orders of one lease are told apart by this many tokens.
TOKENS_PER_LEASE = 1_000_000


def read_boot_time() -> float:
    """Returns time in seconds that goes on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Holder:
    """Contends for the lease while no other entry announces that it holds it."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        store: protocols.Store,
        journal: journals.Journal,
        incarnation: int,
    ) -> None:
        self._fleet = fleet
        self._store = store
        self._journal = journal
        self._incarnation = incarnation
        name = f"{fleet.settings.name}/{incarnation}"
        self._lease = leases.create_lease(DUTY, name, LEASE, incarnation)
        self._given = 0

    @property
    def holds(self) -> bool:
        """Whether this entry may act now."""
        return leases.holds(self._lease, read_boot_time())

    def raise_token(self) -> int:
        """Returns a fencing token higher than all before."""
        self._given += 1
        return self._lease.fence * TOKENS_PER_LEASE + self._given

    async def run(self) -> None:
        """Holds the lease, or waits for it, until cancelled."""
        while True:
            before = self.holds
            if self._fleet.stopping:
                await self._resign()
                return
            if self._is_candidate() or before:
                await self._tick()
            self._note(before)
            self._fleet.duties = frozenset({DUTY} if self.holds else ())
            await asyncio.sleep(POLL_S)

    def stop_acting(self) -> None:
        """Lets the lease lapse after a rank has seen a higher token."""
        fence = self._lease.fence + 1
        self._lease = leases.raise_floor(self._lease, fence)
        self._given = 0

    def _is_candidate(self) -> bool:
        """Tells whether this entry is the first that could hold the lease."""
        if not self._fleet.is_ready:
            return False
        alive = self._fleet.peers.list_alive(self._fleet.clock.read())
        if any(DUTY in peer.duties for peer in alive):
            return False
        if self._fleet.endpoints.is_away:
            return False
        own = self._fleet.settings.name
        rivals = (peer for peer in alive if peer.ready and peer.reaches_store)
        return all(own < peer.name for peer in rivals)

    def _has_ended(self, holder: str) -> bool:
        """Tells whether the process that wrote the lease is known to have ended."""
        name, _, incarnation = holder.rpartition("/")
        if not incarnation.isdigit():
            return False
        if name == self._fleet.settings.name:
            return int(incarnation) < self._incarnation
        return self._fleet.peers.has_ended(name, int(incarnation))

    async def _tick(self) -> None:
        if self._has_ended(self._lease.row_holder):
            self._lease = leases.note_ended(self._lease, self._lease.row_holder)
        self._lease, operation = leases.tick(self._lease, read_boot_time())
        if operation is not None:
            result = await self._store.run(operation)
            self._lease = leases.settle(self._lease, result, read_boot_time())

    async def _resign(self) -> None:
        self._lease, operation = leases.resign(self._lease, read_boot_time())
        self._fleet.duties = frozenset()
        if operation is not None:
            await self._store.run(operation)

    def _note(self, before: bool) -> None:
        now_holds = self.holds
        if now_holds == before:
            return
        self._given = 0
        number = catalogue.LEASE_HELD if now_holds else catalogue.LEASE_LOST
        self._journal.record(
            number,
            duty=DUTY,
            fence=self._lease.fence,
            state=self._lease.state,
            seen_fence=self._lease.row_fence,
            holder=self._lease.row_holder,
        )
