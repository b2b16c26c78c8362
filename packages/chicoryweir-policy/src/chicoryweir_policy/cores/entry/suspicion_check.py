"""Decides whether content that may have crashed endpoints may be sent now."""

from __future__ import annotations

import dataclasses
import typing

from chicoryweir_policy import outcomes
from chicoryweir_policy.cores.entry import active_requests
from chicoryweir_policy.cores.entry import problems
from chicoryweir_policy.cores.entry import state as entry_state
from chicoryweir_policy.quarantine import records

RECHECK_DELAY_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Allowed:
    """The content may be sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Delayed:
    """The content must be checked again at `until`, in monotonic seconds."""

    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The content is quarantined."""

    problem: outcomes.Problem


Decision = Allowed | Delayed | Rejected


def check_suspicion(
    state: entry_state.EntryState, active: active_requests.ActiveRequest, now: float
) -> Decision:
    """Checks a request's content and updates `suspect` and `lost_on` of the request.

    At most one attempt with suspect content is in flight at a time.
    """
    fingerprint = active.request.fingerprint
    verdict = state.suspicions.tracker.get_verdict(fingerprint, now)
    match verdict:
        case records.Unsuspected():
            active.suspect = False
            return Allowed()
        case records.Quarantined(losses):
            peer = state.config.instance
            return Rejected(
                problems.make_quarantined(peer, len(losses), active.outcome)
            )
        case records.Suspected(lost_on, retry_at):
            active.suspect = True
            active.lost_on = lost_on
            if now >= retry_at and not state.requests.is_content_in_flight(fingerprint):
                return Allowed()
            return Delayed(max(retry_at, now + RECHECK_DELAY_S))
        case _:
            typing.assert_never(verdict)
