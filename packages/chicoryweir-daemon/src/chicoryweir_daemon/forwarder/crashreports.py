"""Records what became of an endpoint, and what it may have crashed under."""

from __future__ import annotations

import typing

from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_daemon.forwarder import journal as journals
from chicoryweir_policy import catalogue
from chicoryweir_policy.forwarding import crashes
from chicoryweir_policy.forwarding import endpoints


def note_transition(
    fleet: fleets.Fleet,
    journal: journals.Journal,
    change: endpoints.Transition,
    request_id: str = "",
    **inputs: typing.Any,
) -> None:
    """Takes a change of an endpoint, which may tell of a crash.

    Args:
        fleet: What the entry knows.
        journal: Takes the lines.
        change: The change.
        request_id: Request that found it, or an empty string.
        **inputs: What else decided, for the line.
    """
    journal.record(
        catalogue.ENDPOINT_CHANGED,
        request_id,
        change.instance,
        service=change.service,
        meaning=change.meaning,
        **inputs,
    )
    if change.meaning in crashes.CRASH_MEANINGS:
        successor = fleet.endpoints.get(change.instance)
        _note(fleet, journal, change.instance, successor, change.meaning, "")


def note_blamed(
    fleet: fleets.Fleet, journal: journals.Journal, address: str, request_id: str
) -> None:
    """Takes the address of an endpoint that another one blames for its failure."""
    blamed = fleet.endpoints.find_by_address(address)
    if blamed is not None:
        _note(fleet, journal, blamed.instance, None, "blamed", request_id)


def _note(
    fleet: fleets.Fleet,
    journal: journals.Journal,
    instance: str,
    successor: endpoints.Endpoint | None,
    evidence: str,
    request_id: str,
) -> None:
    found = fleet.crashes.record_crash(instance, successor, fleet.clock.read())
    for loss in found:
        journal.record(
            catalogue.ENDPOINT_LOST,
            request_id,
            instance,
            incarnation=loss.loss_id.incarnation,
            evidence=evidence,
            fingerprints=[f"{one:016x}" for one in sorted(loss.fingerprints)],
        )
