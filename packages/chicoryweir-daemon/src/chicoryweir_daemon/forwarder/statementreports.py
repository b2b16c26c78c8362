"""Records and logs what endpoints state about themselves."""

from __future__ import annotations

from chicoryweir_daemon.forwarder import crashreports
from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_policy import catalogue
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.forwarding import peers
from chicoryweir_policy.forwarding import statements


def record_statement(
    fleet: fleets.Fleet,
    event_log: eventlog.EventLog,
    endpoint: endpoints.Endpoint,
    statement: statements.Statement,
    sent_at: float,
    request_id: str,
) -> None:
    """Records what an endpoint states in an answer, and logs what it changes.

    Args:
        fleet: State of the entry.
        event_log: Event log.
        endpoint: The endpoint.
        statement: What it states.
        sent_at: Time at which the request was sent.
        request_id: Request that was answered.
    """
    now = fleet.clock.read()
    transition = fleet.record_statement(endpoint, statement, sent_at, now)
    if transition is not None:
        crashreports.record_transition(
            fleet, event_log, transition, request_id, evidence="stated"
        )
    if statement.rest_s:
        event_log.record(
            catalogue.ENDPOINT_RESTING,
            request_id,
            endpoint.instance,
            rest_s=statement.rest_s,
        )
    for name in fleet.take_unknown_statements(endpoint.service, statement):
        event_log.record(
            catalogue.STATEMENT_UNKNOWN,
            request_id,
            endpoint.instance,
            header=name,
            service=endpoint.service,
        )


def record_leaving(
    fleet: fleets.Fleet,
    event_log: eventlog.EventLog,
    announcement: peers.Announcement,
) -> None:
    """Records that endpoints told another entry that they leave, and logs it."""
    for leaving in announcement.leaving:
        transition = fleet.endpoints.record_leaving(leaving)
        if transition is not None:
            crashreports.record_transition(
                fleet,
                event_log,
                transition,
                evidence="announced",
                source=announcement.name,
            )
