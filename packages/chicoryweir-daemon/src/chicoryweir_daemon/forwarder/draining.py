"""Stops a forwarding process gracefully."""

from __future__ import annotations

import asyncio

from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_daemon.forwarder import gossip as gossips
from chicoryweir_daemon.forwarder import ingress as ingresses
from chicoryweir_daemon.forwarder import listeners
from chicoryweir_daemon.forwarder import registration
from chicoryweir_daemon.lifecycle import eventloop
from chicoryweir_policy import catalogue
from chicoryweir_policy.forwarding import resolving
from chicoryweir_policy.forwarding import stopping

# Time for which a stopping entry still accepts connections, as a multiple of the
# address TTL; some callers cache an address for three TTLs.
LINGER_TTLS = 3.2
# Part of the grace period that is reserved for ending the process, and part of it that
# is reserved for ending unfinished requests before that.
ABORT_MARGIN_S = 0.4
ANSWER_MARGIN_S = 0.3
# Interval at which a stopping entry checks for open connections.
CONNECTION_CHECK_S = 0.05


class Drain:
    """Ends the work of an entry before its process stops."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        ingress: ingresses.Ingress,
        gossip: gossips.Gossip,
        open_listeners: listeners.Listeners,
        entry_registration: registration.Registration,
        event_log: eventlog.EventLog,
    ) -> None:
        self._fleet = fleet
        self._ingress = ingress
        self._gossip = gossip
        self._listeners = open_listeners
        self._registration = entry_registration
        self._event_log = event_log

    async def run(self, registration_task: asyncio.Task[None], grace_s: float) -> None:
        """Announces the stop, then closes listeners and waits for open answers.

        The listeners stay open until the addresses that callers cache have expired.

        Args:
            registration_task: Task that registers this entry.
            grace_s: Time until the process is killed, in seconds.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        deadline_at = started_at + grace_s - ABORT_MARGIN_S
        self._fleet.stopping = True
        self._fleet.stop = stopping.Stop(
            started_at, max(started_at, deadline_at - ANSWER_MARGIN_S)
        )
        self._ingress.begin_stop()
        self._event_log.record(
            catalogue.DRAIN_STARTED, connections=len(self._listeners.caller_connections)
        )
        self._gossip.announce(force=True)
        deregistration = asyncio.create_task(
            self._registration.deregister(registration_task)
        )
        linger_s = resolving.ANSWER_TTL_S * LINGER_TTLS
        await asyncio.sleep(min(linger_s, deadline_at - started_at))
        self._listeners.close_idle_connections()
        self._listeners.close()
        await self._await_callers(deadline_at)
        await eventloop.cancel_tasks([deregistration])
        self._registration.log_deregistration(deregistration)
        if self._listeners.caller_connections:
            self._event_log.record(
                catalogue.DRAIN_TIMED_OUT,
                connections=len(self._listeners.caller_connections),
            )

    async def _await_callers(self, deadline_at: float) -> None:
        """Waits until no caller is connected, or until a time of the loop's clock."""
        loop = asyncio.get_running_loop()
        while loop.time() < deadline_at:
            if not self._listeners.caller_connections:
                return
            await asyncio.sleep(CONNECTION_CHECK_S)
