"""Records which endpoints are cold, and logs those that turn cold or warm."""

from __future__ import annotations

import collections.abc

from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_policy import catalogue
from chicoryweir_policy.forwarding import coldness
from chicoryweir_policy.forwarding import endpoints

# Meanings of endpoint transitions after which the process is one that has just started,
# or may be one.
_START_MEANINGS = frozenset({"registered", "restarted"})


def record_registrations(
    fleet: fleets.Fleet, registered: collections.abc.Iterable[endpoints.Endpoint]
) -> None:
    """Records registrations as they arrive from the store."""
    now = fleet.clock.read()
    is_current = fleet.endpoints.has_current_registrations(now)
    for endpoint in registered:
        fleet.cold_endpoints.record_registration(endpoint, now, is_current)


def record_start(fleet: fleets.Fleet, transition: endpoints.Transition) -> None:
    """Records that an endpoint started if a transition indicates it.

    What was measured of its speed and failures before doesn't count any more.
    """
    endpoint = fleet.endpoints.get(transition.instance)
    if endpoint is not None and transition.meaning in _START_MEANINGS:
        fleet.discard_measurements(endpoint, fleet.clock.read())
        fleet.cold_endpoints.record_restart(
            endpoint, fleet.clock.read(), coldness.Reason.STARTED
        )


def record_transitions(fleet: fleets.Fleet, event_log: eventlog.EventLog) -> None:
    """Logs the endpoints that turned cold or warm since the last call."""
    listed = fleet.endpoints.list_current()
    now = fleet.clock.read()
    for transition in fleet.cold_endpoints.take_transitions(listed, now):
        if not transition.is_cold:
            event_log.record(
                catalogue.ENDPOINT_WARM,
                peer=transition.instance,
                reason=transition.reason.value,
                age_s=round(transition.age_s, 3),
            )
            continue
        event_log.record(
            catalogue.ENDPOINT_COLD,
            peer=transition.instance,
            reason=transition.reason.value,
            age_s=round(transition.age_s, 3),
            left_s=round(transition.left_s, 3),
            max_requests=transition.max_requests,
        )
