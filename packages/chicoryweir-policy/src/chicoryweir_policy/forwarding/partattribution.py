"""Attributes crashes of endpoints to parts of prompts.

The requests with a crashing part differ in everything else, so each of them is new.
Only the parts that no request has proven are suspected at first. Of those of one
request, the one with the most crashes is held, and among equals the last, since
requests share their first parts with most others. A proven part is held if several
crashes of different requests have no other explanation.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import math

from chicoryweir_policy.quarantine import attribution
from chicoryweir_policy.quarantine import records

# Crashes, each of another request, after which a part is held although it was proven
# before them, or although many endpoints crashed together.
CONVICTING_CRASHES = 3
# Time for which a part is held after its latest crash, in seconds. Each further crash
# multiplies it by `HOLD_GROWTH`, so that few endpoints are lost to trials.
HOLD_S = 30.0
HOLD_GROWTH = 10.0
MAX_HOLD_S = 12 * 3600.0


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Suspect:
    """A request that was unproven when its endpoint crashed.

    Attributes:
        fingerprint: Fingerprint of the request.
        parts: Parts of its prompt that other requests may share, in order.
    """

    fingerprint: int
    parts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class KnownCrash:
    """A crash of an endpoint's process.

    Attributes:
        at: Time of the crash, monotonic seconds.
        suspects: Requests that were unproven there.
        changed_at: Time at which the record last changed, monotonic seconds.
    """

    at: float
    suspects: frozenset[Suspect]
    changed_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """A part whose requests are rejected.

    Attributes:
        part: The part.
        crashes: Crashes that it is held for.
        until: Time of its first trial, monotonic seconds.
    """

    part: str
    crashes: tuple[records.LossId, ...]
    until: float


Crashes = collections.abc.Mapping[records.LossId, KnownCrash]
_Charges = dict[str, frozenset[records.LossId]]


def attribute(
    crashes: Crashes, proven_at: collections.abc.Mapping[str, float]
) -> dict[str, Held]:
    """Returns the parts to hold.

    Args:
        crashes: Known crashes.
        proven_at: Time of the latest proof of each proven part, monotonic seconds.
    """
    charges = _charge(crashes, proven_at)
    unproven = {p: charged for p, charged in charges.items() if p not in proven_at}
    suspected = _drop_common_failures(crashes, unproven)
    held: dict[str, Held] = {}
    explained: set[records.LossId] = set()
    for process, crash in crashes.items():
        for part in _select_culprits(process, crash, suspected):
            held[part] = _make_hold(part, suspected[part], 1, crashes)
            if len(suspected[part]) > 1:
                explained.add(process)
    for part in charges.keys() & proven_at.keys():
        charged = charges[part] - explained
        if _count_requests(part, charged, crashes) >= CONVICTING_CRASHES:
            held[part] = _make_hold(part, charged, CONVICTING_CRASHES, crashes)
    return held


def _charge(
    crashes: Crashes, proven_at: collections.abc.Mapping[str, float]
) -> _Charges:
    """Returns the crashes since the last proof of each part that was involved."""
    charges: dict[str, set[records.LossId]] = {}
    for process, crash in crashes.items():
        for suspect in crash.suspects:
            for part in suspect.parts:
                if crash.at > proven_at.get(part, -math.inf):
                    charges.setdefault(part, set()).add(process)
    return {part: frozenset(charged) for part, charged in charges.items()}


def _drop_common_failures(crashes: Crashes, charges: _Charges) -> _Charges:
    """Drops the parts that only crashed as many endpoints did at the same time."""
    bursts = attribution.find_bursts(
        {process: crash.at for process, crash in crashes.items()}
    )
    return {
        part: charged
        for part, charged in charges.items()
        if charged - bursts
        or _count_requests(part, charged, crashes) >= CONVICTING_CRASHES
    }


def _count_requests(
    part: str, charged: frozenset[records.LossId], crashes: Crashes
) -> int:
    """Returns the number of crashes with different requests."""
    fingerprints = {
        suspect.fingerprint
        for process in charged
        for suspect in crashes[process].suspects
        if part in suspect.parts
    }
    return min(len(charged), len(fingerprints))


def _select_culprits(
    process: records.LossId, crash: KnownCrash, charges: _Charges
) -> list[str]:
    """Returns the parts that probably caused a crash, one of each request at most."""
    candidates = []
    for suspect in crash.suspects:
        ranked = [
            (len(charges[part]), position, part)
            for position, part in enumerate(suspect.parts)
            if process in charges.get(part, ())
        ]
        if ranked:
            candidates.append(max(ranked))
    most = max((count for count, _, _ in candidates), default=0)
    return [part for count, _, part in candidates if count == most]


def _make_hold(
    part: str, charged: frozenset[records.LossId], required: int, crashes: Crashes
) -> Held:
    exponent = len(charged) - required
    last_at = max(crashes[process].at for process in charged)
    hold_s = min(HOLD_S * HOLD_GROWTH**exponent, MAX_HOLD_S)
    return Held(part, tuple(sorted(charged)), last_at + hold_s)
