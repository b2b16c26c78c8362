"""Endpoints that want no request from this entry for some time.

An endpoint that has declined requests has the least load when its rest is over, and
would get most requests until the first answer. It therefore gets one at a time until it
answers without asking for another rest.

An endpoint that asks one entry for a rest usually declines the requests of the others,
too, or at least of those in the same data centre. Entries announce the rests that they
were asked for. Those in the same data centre avoid the endpoint meanwhile, and all do
if it rests for several data centres, unless it has lately answered one of their
requests without asking for a rest.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import math

from chicoryweir_policy.forwarding import crashes
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.quarantine import records

# Time without an answer after which the next request may be sent to an endpoint whose
# rest is over. One that declines answers within some milliseconds.
TRIAL_S = 1.0
# Time after its end for which a rest is remembered.
KEPT_S = 30.0
# Time for which an own answer without a rest outweighs an announced rest.
ANSWERED_S = 3.0
# Number of data centres for which an endpoint rests until all entries avoid it.
MIN_DATA_CENTRES = 2
# Maximum number of rests in an announcement, to keep datagrams small.
MAX_ANNOUNCED = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Announced:
    """A rest that an endpoint asked an entry for.

    Attributes:
        process: The process of the endpoint.
        left_s: Time until the rest is over, in seconds.
    """

    process: records.LossId
    left_s: float


@dataclasses.dataclass(slots=True)
class _Rest:
    """A rest of a process.

    Attributes:
        until: Time of its end, monotonic seconds.
        next_trial_at: Time from which the next request may be sent.
    """

    until: float
    next_trial_at: float


class Rests:
    """Knows which endpoints want no request from this entry, and until when."""

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._rests: dict[records.LossId, _Rest] = {}
        self._answered_at: dict[records.LossId, float] = {}
        self._announced_until: dict[records.LossId, dict[str, float]] = {}
        self._expired_at = -math.inf

    def record(
        self, endpoint: endpoints.Endpoint, rest_s: float, sent_at: float, now: float
    ) -> None:
        """Records what an endpoint stated in an answer.

        Args:
            endpoint: The endpoint.
            rest_s: Time for which it wants no request, in seconds; 0 if it asked for no
                rest.
            sent_at: Time at which the request was sent.
            now: Present time, monotonic seconds.
        """
        process = crashes.make_process_id(endpoint)
        rest = self._rests.get(process)
        if rest_s > 0.0:
            until = max(now + rest_s, 0.0 if rest is None else rest.until)
            self._rests[process] = _Rest(until, until)
            self._answered_at.pop(process, None)
            return
        self._answered_at[process] = now
        if rest is not None and sent_at >= rest.until:
            del self._rests[process]

    def merge(
        self,
        announced: collections.abc.Iterable[Announced],
        data_centre: str,
        now: float,
    ) -> None:
        """Merges the rests that another entry announces.

        Args:
            announced: The rests.
            data_centre: Data centre of that entry.
            now: Present time, monotonic seconds.
        """
        for rest in announced:
            known = self._announced_until.setdefault(rest.process, {})
            known[data_centre] = max(now + rest.left_s, known.get(data_centre, now))

    def list_own(self, now: float) -> tuple[Announced, ...]:
        """Returns the rests to announce, the longest ones first."""
        self._expire(now)
        rests = [
            Announced(process, rest.until - now)
            for process, rest in self._rests.items()
            if now < rest.until
        ]
        rests.sort(key=lambda rest: -rest.left_s)
        return tuple(rests[:MAX_ANNOUNCED])

    def is_avoided(self, endpoint: endpoints.Endpoint, now: float) -> bool:
        """Returns whether to avoid an endpoint that rests for other entries."""
        if not self._announced_until:
            return False
        process = crashes.make_process_id(endpoint)
        announced = self._announced_until.get(process, {})
        resting = [name for name, until in announced.items() if now < until]
        if self._data_centre not in resting and len(resting) < MIN_DATA_CENTRES:
            return False
        return now - self._answered_at.get(process, -math.inf) > ANSWERED_S

    def is_resting(self, endpoint: endpoints.Endpoint, now: float) -> bool:
        """Returns whether an endpoint wants no request now."""
        rest = self._find(endpoint)
        return rest is not None and now < rest.until

    def count_available(self, endpoint: endpoints.Endpoint, now: float) -> int | None:
        """Returns how many requests may be sent now; None for any number."""
        rest = self._find(endpoint)
        if rest is None:
            return None
        return 1 if now >= rest.next_trial_at else 0

    def predict_wait_s(
        self, resting: collections.abc.Iterable[endpoints.Endpoint], now: float
    ) -> float | None:
        """Returns the time until the first of these rests is over, in seconds.

        None stands for no rest.
        """
        rests = [self._find(endpoint) for endpoint in resting]
        ends = [rest.until for rest in rests if rest is not None]
        return max(0.0, min(ends) - now) if ends else None

    def record_sent(self, endpoint: endpoints.Endpoint, now: float) -> None:
        """Records that a request is about to be sent."""
        rest = self._find(endpoint)
        if rest is not None:
            rest.next_trial_at = max(rest.next_trial_at, now + TRIAL_S)

    def _find(self, endpoint: endpoints.Endpoint) -> _Rest | None:
        if not self._rests:
            return None
        return self._rests.get(crashes.make_process_id(endpoint))

    def _expire(self, now: float) -> None:
        """Forgets what is over for long."""
        if now - self._expired_at < KEPT_S:
            return
        self._expired_at = now
        self._rests = {
            process: rest
            for process, rest in self._rests.items()
            if now - rest.until <= KEPT_S
        }
        self._announced_until = {
            process: announced
            for process, announced in self._announced_until.items()
            if now < max(announced.values())
        }
        self._answered_at = {
            process: at
            for process, at in self._answered_at.items()
            if now - at <= ANSWERED_S
        }
