"""Records that an endpoint crashed, with the evidence."""

from __future__ import annotations

from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_daemon.forwarder import journal as journals
from chicoryweir_policy import catalogue
from chicoryweir_policy.forwarding import crashes
from chicoryweir_policy.forwarding import endpoints


def note_transition(
    fleet: fleets.Fleet, journal: journals.Journal, change: endpoints.Transition
) -> None:
    """Takes a change of an endpoint, which may tell of a crash."""
    if change.meaning in crashes.CRASHED_MEANINGS:
        successor = fleet.endpoints.get(change.instance)
        _note(fleet, journal, change.instance, successor, change.meaning, "")


def note_blamed(
    fleet: fleets.Fleet, journal: journals.Journal, address: str, request_id: str
) -> None:
    """Takes the address of an endpoint that another one blames for its failure."""
    blamed = fleet.endpoints.find_address(address)
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
    found = fleet.crashes.note_crash(instance, successor, fleet.clock.read())
    for crash in found:
        journal.record(
            catalogue.ENDPOINT_LOST,
            request_id,
            instance,
            incarnation=crash.process.incarnation,
            evidence=evidence,
            fingerprints=[f"{one:016x}" for one in sorted(crash.fingerprints)],
        )
