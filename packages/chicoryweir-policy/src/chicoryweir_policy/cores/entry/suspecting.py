"""Decides whether a content that endpoints were lost under may be sent now."""

from __future__ import annotations

import dataclasses
import typing

from chicoryweir_policy import outcomes
from chicoryweir_policy.cores.entry import lives
from chicoryweir_policy.cores.entry import problems
from chicoryweir_policy.cores.entry import state as entry_state
from chicoryweir_policy.quarantine import records

WAIT_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Free:
    """The content may be sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Delayed:
    """The decision is due again at this monotonic time, in seconds."""

    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The content is quarantined."""

    problem: outcomes.Problem


Decision = Free | Delayed | Refused


def check_suspicion(
    state: entry_state.EntryState, live: lives.Live, now: float
) -> Decision:
    """Decides on a request's content, and notes on the request what is suspected."""
    fingerprint = live.request.fingerprint
    verdict = state.suspicions.book.get_verdict(fingerprint, now)
    match verdict:
        case records.Unsuspected():
            live.suspect = False
            return Free()
        case records.Quarantined(losses):
            peer = state.facts.instance
            return Refused(problems.make_quarantined(peer, len(losses), live.outcome))
        case records.Suspected(lost_on, retry_at):
            live.suspect = True
            live.lost_on = lost_on
            if now >= retry_at and not state.requests.is_content_sent(fingerprint):
                return Free()
            return Delayed(max(retry_at, now + WAIT_S))
        case _:
            typing.assert_never(verdict)
