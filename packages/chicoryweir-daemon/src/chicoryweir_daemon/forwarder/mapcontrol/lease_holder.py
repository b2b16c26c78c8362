"""Acquires and renews the lease under which one entry at a time changes expert maps."""

from __future__ import annotations

import asyncio
import math

from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_daemon.forwarder import storehealth
from chicoryweir_platform import protocols
from chicoryweir_policy import catalogue
from chicoryweir_policy import store
from chicoryweir_policy.groups import leases
from chicoryweir_policy.groups import succession

DUTY = "expert-maps"
# The lease is short because a lost holder may have left a group held at a step: another
# entry must replace it within 5 s.
LEASE_SETTINGS = leases.LeaseSettings(ttl_s=3.0, margin_s=0.6, period_s=1.0, jitter=0.2)
POLL_PERIOD_S = 0.25
# Number of fencing tokens for orders under one lease.
TOKENS_PER_LEASE = 1_000_000


class LeaseHolder:
    """Acquires, renews and releases the lease.

    Tries to acquire it only while no other entry announces that it holds it.
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        store: protocols.Store,
        event_log: eventlog.EventLog,
        store_health: storehealth.StoreHealth,
        incarnation: int,
    ) -> None:
        self._fleet = fleet
        self._store = store
        self._event_log = event_log
        self._store_health = store_health
        self._incarnation = incarnation
        name = f"{fleet.settings.name}/{incarnation}"
        self._lease = leases.create_lease(DUTY, name, LEASE_SETTINGS, incarnation)
        self._era: int | None = None
        self._settled_at = math.inf
        self._token_count = 0
        self._token_fence = 0
        self._held_fence = 0
        self._acting_fence = 0
        self._store_reached_at = fleet.clock.read()
        self._listening_until = fleet.clock.read() + succession.LISTENING_S
        self._store_failure = ""

    @property
    def holds(self) -> bool:
        """Whether this entry may change expert maps now."""
        if not self._is_heard():
            # The process was suspended or its tasks run late, so another entry may
            # have replaced it.
            return False
        if leases.holds(self._lease, self._read_boot()):
            return True
        if not self._acting_fence or self._fleet.stopping:
            return False
        return succession.may_act_past_lease(
            self._compute_outage_s(), self._list_peer_states()
        )

    @property
    def fence(self) -> int:
        """Number of the lease; higher for each later one."""
        return self._lease.fence

    def _is_heard(self) -> bool:
        """Returns whether this entry announced itself recently enough."""
        age_s = self._read_boot() - self._fleet.announced_at
        max_age_share = succession.MAX_ANNOUNCEMENT_AGE_SHARE
        return age_s <= max_age_share * self._fleet.peers.alive_timeout_s

    def _read_boot(self) -> float:
        return self._fleet.clock.read_boot()

    def raise_token(self) -> int:
        """Returns a fencing token higher than all earlier ones."""
        if self._lease.fence != self._token_fence:
            self._token_fence, self._token_count = self._lease.fence, 0
        self._token_count += 1
        return self._token_fence * TOKENS_PER_LEASE + self._token_count

    async def run(self) -> None:
        """Acquires and renews the lease until the process stops, then releases it."""
        while not self._fleet.stopping:
            await self.poll()
            await asyncio.sleep(POLL_PERIOD_S)
        await self.poll()

    async def poll(self) -> None:
        """Acquires, renews or releases the lease, and announces the result."""
        previous_fence = self._held_fence
        if self._fleet.stopping:
            await self._resign(previous_fence)
            return
        self._enter_era()
        self._check_store()
        if leases.holds(self._lease, self._read_boot()) or self._is_candidate():
            await self._tick()
        self._announce(previous_fence)

    def stop_acting(self) -> None:
        """Stops acting under the lease, e.g. after a rank received a higher token."""
        fence = self._lease.fence + 1
        self._lease = leases.record_fence(self._lease, fence)
        self._acting_fence = 0

    def _check_store(self) -> None:
        """Checks whether this entry must stop acting because of a store outage.

        During an outage, it stops if another entry can acquire the lease; after an
        outage, if the lease has expired.
        """
        now = self._fleet.clock.read()
        if not self._fleet.endpoints.is_store_unreachable:
            self._store_reached_at = now
            if not leases.holds(self._lease, self._read_boot()):
                self._acting_fence = 0
            return
        if self.holds and succession.should_stop_early(
            self._compute_outage_s(), self._list_peer_states()
        ):
            self.stop_acting()

    def _compute_outage_s(self) -> float:
        if not self._fleet.endpoints.is_store_unreachable:
            return 0.0
        return self._fleet.clock.read() - self._store_reached_at

    def _list_peer_states(self) -> list[succession.PeerState]:
        return [
            succession.PeerState(
                peer.name,
                peer.incarnation,
                peer.ready,
                peer.reaches_store,
                DUTY in peer.duties,
                peer.released_fence,
                peer.capacity,
                self._fleet.peers.list_ended(peer.name),
            )
            for peer in self._fleet.peers.list_alive(self._fleet.clock.read())
        ]

    def _describe_own_state(self) -> succession.PeerState:
        return succession.PeerState(
            self._fleet.settings.name,
            self._incarnation,
            ready=True,
            reaches_store=not self._fleet.endpoints.is_store_unreachable,
            holds=False,
            released_fence=0,
            capacity=self._fleet.settings.capacity,
        )

    def _is_candidate(self) -> bool:
        if not self._fleet.is_ready or self._fleet.clock.read() < self._listening_until:
            return False
        own = self._describe_own_state()
        return succession.is_candidate(own, self._list_peer_states())

    async def _tick(self) -> None:
        own = self._describe_own_state()
        holder, fence = self._lease.row_holder, self._lease.row_fence
        others = self._list_peer_states()
        known = self._fleet.peers.list_known()
        if succession.has_stopped_acting(holder, fence, own, others) or (
            holder != self._lease.holder
            and succession.is_presumed_dead(holder, others, known)
        ):
            self._lease = leases.clear_dead_holder(self._lease, holder)
        heard = self._fleet.peers.list_heard_since(self._settled_at)
        if succession.is_unheld(others, known, heard):
            self._lease = leases.clear_vacancy(self._lease)
        self._lease, operation = leases.tick(self._lease, self._read_boot())
        if operation is not None:
            self._apply_result(await self._store.run(operation))
        if leases.holds(self._lease, self._read_boot()):
            self._acting_fence = self._lease.fence

    def _apply_result(self, result: store.Result) -> None:
        """Applies the result of an operation, unless it is of another era."""
        match result:
            case (
                store.Rows(era=era)
                | store.Committed(era=era)
                | store.Conflicted(era=era)
            ):
                if not self._store_health.observe_era(era):
                    result = store.Refused(f"an answer of the earlier era {era}")
                elif self._enter_era():
                    # The result concerns the row of the earlier era.
                    return
        self._log_failure(result)
        self._lease = leases.apply_result(self._lease, result, self._read_boot())

    def _enter_era(self) -> bool:
        """Moves on to the store's latest known era; returns whether it is another."""
        era = self._store_health.era
        if era is None or era == self._era:
            return False
        self._era = era
        self._settled_at = self._fleet.clock.read() + succession.SETTLING_S
        # It may have acted past its lease until just now, when the store was back.
        is_acting = bool(self._held_fence and self._acting_fence) and self._is_heard()
        self._lease = leases.enter_era(
            self._lease, DUTY, era, is_acting, self._read_boot()
        )
        return True

    def _log_failure(self, result: store.Result) -> None:
        """Logs the first of consecutive store failures."""
        failure = ""
        if isinstance(result, store.Refused | store.Unknown):
            failure = result.detail
        if failure and not self._store_failure:
            self._event_log.record(
                catalogue.STORE_UNREACHABLE, detail=f"lease of {DUTY}: {failure}"
            )
        self._store_failure = failure

    async def _resign(self, previous_fence: int) -> None:
        self._lease, operation = leases.resign(self._lease, self._read_boot())
        self._acting_fence = 0
        self._announce(previous_fence)
        if operation is not None:
            self._log_failure(await self._store.run(operation))

    def _announce(self, previous_fence: int) -> None:
        """Announces whether this entry holds the lease, and logs a change."""
        held = self._lease.fence if self.holds else 0
        self._held_fence = held
        self._fleet.duties = frozenset({DUTY} if held else ())
        if held == previous_fence:
            return
        if previous_fence:
            # Other entries replace this one once it announces the release, so it must
            # never act under this fence again.
            self._lease = leases.record_fence(self._lease, previous_fence + 1)
            self._fleet.released_fence = max(self._fleet.released_fence, previous_fence)
        self._event_log.record(
            catalogue.LEASE_HELD if held else catalogue.LEASE_LOST,
            duty=DUTY,
            fence=self._lease.fence,
            state=self._lease.state,
            seen_fence=self._lease.row_fence,
            holder=self._lease.row_holder,
        )
