"""Logs endpoint transitions and records crashes with the requests that ran."""

from __future__ import annotations

import typing

from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_policy import catalogue
from chicoryweir_policy.forwarding import crashes
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.forwarding import partattribution
from chicoryweir_policy.forwarding import promptparts


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


def record_refused_connection(
    fleet: fleets.Fleet,
    event_log: eventlog.EventLog,
    endpoint: endpoints.Endpoint,
    request_id: str,
) -> None:
    """Records a crash of an endpoint that no longer listens, unless it is leaving."""
    current = fleet.endpoints.get(endpoint.instance)
    if current is not None and not current.leaving:
        _record_crash(fleet, event_log, endpoint.instance, None, "refused", request_id)


def record_part_transitions(fleet: fleets.Fleet, event_log: eventlog.EventLog) -> None:
    """Logs the prompt parts that were held or released since the last call."""
    now = fleet.clock.read()
    for transition in fleet.crashes.parts.take_transitions(now):
        match transition:
            case partattribution.Held(part, losses, until):
                event_log.record(
                    catalogue.PROMPT_PART_HELD,
                    part=part,
                    lost=[f"{loss.instance}/{loss.incarnation}" for loss in losses],
                    trial_in_s=round(until - now, 2),
                )
            case promptparts.Released(part):
                event_log.record(catalogue.PROMPT_PART_RELEASED, part=part)


def _record_crash(
    fleet: fleets.Fleet,
    event_log: eventlog.EventLog,
    instance: str,
    successor: endpoints.Endpoint | None,
    evidence: str,
    request_id: str,
) -> None:
    now = fleet.clock.read()
    endpoint = successor or fleet.endpoints.get(instance)
    if endpoint is not None:
        fleet.cold_endpoints.record_restart(endpoint, now)
    losses = fleet.crashes.record_crash(instance, successor, now)
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
