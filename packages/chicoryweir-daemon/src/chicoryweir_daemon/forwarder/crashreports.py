"""Logs endpoint transitions and records crashes with the requests that ran."""

from __future__ import annotations

import typing

from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_policy import catalogue
from chicoryweir_policy.forwarding import crashes
from chicoryweir_policy.forwarding import endpoints


def record_transition(
    fleet: fleets.Fleet,
    event_log: eventlog.EventLog,
    transition: endpoints.Transition,
    request_id: str = "",
    **inputs: typing.Any,
) -> None:
    """Logs a transition of an endpoint; also records a crash if it indicates one.

    Args:
        fleet: State of the entry.
        event_log: Event log.
        transition: The transition.
        request_id: Request that detected it, or an empty string.
        **inputs: Further fields of the log line.
    """
    event_log.record(
        catalogue.ENDPOINT_CHANGED,
        request_id,
        transition.instance,
        service=transition.service,
        meaning=transition.meaning,
        **inputs,
    )
    if transition.meaning in crashes.CRASH_MEANINGS:
        successor = fleet.endpoints.get(transition.instance)
        _record_crash(
            fleet, event_log, transition.instance, successor, transition.meaning, ""
        )


def record_endpoint_at_fault(
    fleet: fleets.Fleet,
    event_log: eventlog.EventLog,
    address: str,
    reported_by: str,
    request_id: str,
) -> None:
    """Records a crash of an endpoint that another endpoint reports as at fault.

    Args:
        fleet: State of the entry.
        event_log: Event log.
        address: Address of the endpoint at fault; empty if none is reported.
        reported_by: Instance that reports it. One that reports itself only declines
            the request.
        request_id: Request that was answered with the report.
    """
    at_fault = fleet.endpoints.find_by_address(address)
    if at_fault is not None and at_fault.instance != reported_by:
        _record_crash(fleet, event_log, at_fault.instance, None, "blamed", request_id)


def _record_crash(
    fleet: fleets.Fleet,
    event_log: eventlog.EventLog,
    instance: str,
    successor: endpoints.Endpoint | None,
    evidence: str,
    request_id: str,
) -> None:
    losses = fleet.crashes.record_crash(instance, successor, fleet.clock.read())
    for loss in losses:
        event_log.record(
            catalogue.ENDPOINT_LOST,
            request_id,
            instance,
            incarnation=loss.loss_id.incarnation,
            evidence=evidence,
            fingerprints=[
                f"{fingerprint:016x}" for fingerprint in sorted(loss.fingerprints)
            ],
        )
