"""Endpoints that want no request from this entry for some time.

An endpoint that has declined requests has the least load when its rest is over, and
would get most requests until the first answer. It therefore gets one at a time until it
accepts one.
"""

from __future__ import annotations

import collections.abc
import dataclasses

from chicoryweir_policy.forwarding import crashes
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.quarantine import records

# Time without an answer after which the next request may be sent to an endpoint whose
# rest is over. One that declines answers within some milliseconds.
TRIAL_S = 1.0
# Time after its end for which a rest is remembered.
KEPT_S = 30.0


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

    def __init__(self) -> None:
        self._rests: dict[records.LossId, _Rest] = {}

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
            self._expire(now)
            self._rests[process] = _Rest(until, until)
        elif rest is not None and sent_at >= rest.until:
            del self._rests[process]

    def is_resting(self, endpoint: endpoints.Endpoint, now: float) -> bool:
        """Returns whether an endpoint wants no request now."""
        rest = self._find(endpoint)
        return rest is not None and now < rest.until

    def is_on_trial(self, endpoint: endpoints.Endpoint, now: float) -> bool:
        """Returns whether an endpoint has not accepted a request since its rest."""
        rest = self._find(endpoint)
        return rest is not None and now >= rest.until

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
        self._rests = {
            process: rest
            for process, rest in self._rests.items()
            if now - rest.until <= KEPT_S
        }
