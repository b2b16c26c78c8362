"""Ejects endpoints that fail or answer slowly compared with the others."""

from __future__ import annotations

import asyncio

from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_policy import catalogue

EJECTION_PERIOD_S = 1.0


async def eject_outliers(fleet: fleets.Fleet, event_log: eventlog.EventLog) -> None:
    """Ejects outliers periodically; runs until it is cancelled."""
    while True:
        await asyncio.sleep(EJECTION_PERIOD_S)
        now = fleet.clock.read()
        for service, _ in fleet.list_dispatchers():
            _eject_from_service(fleet, event_log, service, now)


def _eject_from_service(
    fleet: fleets.Fleet, event_log: eventlog.EventLog, service: str, now: float
) -> None:
    usable = fleet.endpoints.list_usable(service, now)
    instances = [endpoint.instance for endpoint in usable]
    for ejection in fleet.outliers.eject(instances, now):
        fleet.ejected_until[ejection.instance] = ejection.until
        event_log.record(
            catalogue.ENDPOINT_EJECTED,
            peer=ejection.instance,
            for_s=round(ejection.until - now, 2),
            pace_s=round(ejection.token_time_s, 4),
            median_pace_s=round(ejection.median_token_time_s, 4),
            failure_share=round(ejection.failure_share, 2),
        )
