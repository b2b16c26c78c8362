"""Applies evacuations of data centres, and logs what they change."""

from __future__ import annotations

import asyncio
import collections.abc
import dataclasses

from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_daemon.forwarder import interfaces
from chicoryweir_daemon.forwarder import metrics_registry
from chicoryweir_policy import catalogue
from chicoryweir_policy.forwarding import evacuations
from chicoryweir_policy.forwarding import peers

# Interval at which an entry checks whether its requests in evacuated data centres have
# ended.
CHECK_PERIOD_S = 0.1
# Time after which an evacuated data centre without an endpoint or entry is logged. An
# entry that has just started hears the others within it.
UNKNOWN_AFTER_S = 2.0

_EVENT_BY_MEANING = {
    evacuations.Meaning.STARTED: catalogue.EVACUATION_STARTED,
    evacuations.Meaning.ENDED: catalogue.EVACUATION_ENDED,
    evacuations.Meaning.KEPT: catalogue.EVACUATION_KEPT,
    evacuations.Meaning.IGNORED: catalogue.EVACUATION_IGNORED,
}


def apply_changes(
    fleet: fleets.Fleet,
    event_log: eventlog.EventLog,
    records: collections.abc.Iterable[evacuations.Record],
) -> None:
    """Applies changes from the store's feed."""
    now = fleet.clock.read()
    transitions = fleet.evacuations.apply_changes(records, now)
    _record_transitions(fleet, event_log, transitions, "store")


def apply_listing(
    fleet: fleets.Fleet,
    event_log: eventlog.EventLog,
    records: collections.abc.Iterable[evacuations.Record],
    position: interfaces.Position,
) -> interfaces.Position:
    """Applies a complete read of the store.

    Returns:
        The position from which to read the feed. It is earlier than that of the read if
        the feed may explain records that the read contradicts.
    """
    transitions = fleet.evacuations.apply_listing(
        records, position.era or 0, position.version, fleet.clock.read()
    )
    _record_transitions(fleet, event_log, transitions, "store")
    kept = [
        transition.record.version
        for transition in transitions
        if transition.meaning is evacuations.Meaning.KEPT
    ]
    return dataclasses.replace(position, version=min([position.version, *kept]))


def merge_announced(
    fleet: fleets.Fleet,
    event_log: eventlog.EventLog,
    announcement: peers.Announcement,
) -> None:
    """Merges what another entry announces, unless it knows nothing."""
    if announcement.evacuations is None:
        return
    now = fleet.clock.read()
    transitions = fleet.evacuations.merge(announcement.evacuations, now)
    _record_transitions(fleet, event_log, transitions, announcement.name)


def count_running(fleet: fleets.Fleet, data_centre: str) -> int:
    """Returns the number of this entry's requests that run in a data centre."""
    return sum(
        load.requests
        for instance, load in fleet.loads.copy_own().items()
        if (endpoint := fleet.endpoints.get(instance)) is not None
        and endpoint.data_centre == data_centre
    )


def register_gauges(
    fleet: fleets.Fleet, metrics: metrics_registry.MetricsRegistry
) -> None:
    """Registers the gauges of evacuated data centres."""
    known = fleet.evacuations
    metrics.register_gauge(
        "evacuated_data_centres", lambda: len(known.list_evacuated())
    )
    metrics.register_gauge(
        "evacuated_endpoints", lambda: len(fleet.endpoints.list_evacuated())
    )
    metrics.register_gauge(
        "evacuated_running_requests",
        lambda: sum(count_running(fleet, name) for name in known.list_evacuated()),
    )


def _record_transitions(
    fleet: fleets.Fleet,
    event_log: eventlog.EventLog,
    transitions: list[evacuations.Transition],
    source: str,
) -> None:
    for transition in transitions:
        record = transition.record
        if transition.meaning is evacuations.Meaning.ENDED:
            fleet.cold_endpoints.record_evacuation_end(
                record.data_centre, fleet.clock.read()
            )
        registered = [
            endpoint
            for endpoint in fleet.endpoints.list_all()
            if endpoint.data_centre == record.data_centre
        ]
        event_log.record(
            _EVENT_BY_MEANING[transition.meaning],
            data_centre=record.data_centre,
            source=source,
            era=record.era,
            version=record.version,
            evacuated=record.evacuated,
            endpoints=len(registered),
            running=count_running(fleet, record.data_centre),
        )


class Reporter:
    """Logs how evacuations proceed and what they leave without endpoints."""

    def __init__(self, fleet: fleets.Fleet, event_log: eventlog.EventLog) -> None:
        self._fleet = fleet
        self._event_log = event_log
        self._started_at: dict[str, float] = {}
        self._drained: set[str] = set()
        self._unknown: set[str] = set()
        self._without_endpoints: set[str] = set()

    async def run(self) -> None:
        """Checks evacuations until cancelled."""
        while True:
            self.check(self._fleet.clock.read())
            await asyncio.sleep(CHECK_PERIOD_S)

    def check(self, now: float) -> None:
        """Logs what changed since the last call."""
        frozen_s = self._fleet.freezes.take_freeze()
        if frozen_s:
            self._event_log.record(
                catalogue.PROCESS_FROZEN, frozen_s=round(frozen_s, 1)
            )
        evacuated = self._fleet.evacuations.list_evacuated()
        self._started_at = {name: self._started_at.get(name, now) for name in evacuated}
        self._drained.intersection_update(evacuated)
        self._unknown.intersection_update(evacuated)
        for name, started_at in self._started_at.items():
            if name not in self._drained and not count_running(self._fleet, name):
                self._drained.add(name)
                self._event_log.record(
                    catalogue.EVACUATION_DRAINED,
                    data_centre=name,
                    after_s=round(now - started_at, 1),
                )
            is_due = self._fleet.endpoints_listed and (
                now - started_at >= UNKNOWN_AFTER_S
            )
            if is_due and name not in self._unknown and not self._is_known(name, now):
                self._unknown.add(name)
                self._event_log.record(catalogue.EVACUATION_UNKNOWN, data_centre=name)
        self._check_services(evacuated)

    def _is_known(self, data_centre: str, now: float) -> bool:
        """Returns whether an endpoint or an entry is in a data centre."""
        alive = self._fleet.peers.list_alive(now)
        return (
            data_centre == self._fleet.settings.data_centre
            or any(peer.data_centre == data_centre for peer in alive)
            or any(
                endpoint.data_centre == data_centre
                for endpoint in self._fleet.endpoints.list_all()
            )
        )

    def _check_services(self, evacuated: list[str]) -> None:
        """Logs services all of whose endpoints are evacuated, once each time."""
        table = self._fleet.endpoints
        services = {endpoint.service for endpoint in table.list_evacuated()}
        without = {service for service in services if table.is_evacuated(service)}
        for service in sorted(without - self._without_endpoints):
            self._event_log.record(
                catalogue.SERVICE_EVACUATED, service=service, evacuated=evacuated
            )
        self._without_endpoints = without
